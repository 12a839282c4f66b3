package steward

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/roster"
)

// recordContact records a contact of an upstream, with this or another host.
func (l *leadership) recordContact(id string, at time.Time) {
	at = l.clock.at(at)
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.lastContacts[id]) {
		l.lastContacts[id] = at
	}
}

// follows reports whether an announcement with an earlier start time is from the current
// incarnation, and marks it so. While that is undecided, a departure can't be acknowledged: the
// record of the other incarnation still attracts work to the upstream.
func (l *leadership) follows(u *roster.Upstream, now time.Time) (bool, error) {
	now = l.clock.at(now)
	held, known := l.steward.machine.upstream(u.ID)
	if !known {
		return false, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	pause := l.announceEvery.silentAfter()
	observed := l.successions.Observes(*u, now, pause)
	switch {
	case l.successions.Receive(*u, held, l.lastContact(u.ID), now, pause):
		u.Supersedes = held.StartedMs
		return true, nil
	case observed && u.State != roster.Serving && held.State == roster.Serving:
		return false, eris.Wrapf(ErrUnavailable, "%s: which of its lives is the present one is in doubt", u.ID)
	}
	return false, nil
}

// dropSuccession is called for an announcement that an upstream leaves or is gone, and drops
// its tracked succession.
func (l *leadership) dropSuccession(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.successions.Drop(id)
}

// lastContact returns the time of an upstream's latest contact; for a new leader at least the
// time of its election. The caller holds the lock.
func (l *leadership) lastContact(id string) time.Time {
	if at, known := l.lastContacts[id]; known {
		return at
	}
	return l.since.Add(-l.stalledBefore)
}

func (l *leadership) silent(live []roster.Upstream, now time.Time) []string {
	now = l.clock.at(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	var silent []string
	for i := range live {
		if now.Sub(l.lastContact(live[i].ID)) > l.announceEvery.silentAfter() {
			silent = append(silent, live[i].ID)
		}
	}
	return silent
}

const (
	// listsEvery is the minimum time between two lists of entries to one control host while
	// entries come, leave or become ready. The host sends 25 requests a second, and hundreds of
	// entries in each answer cost the leader more processor time than everything else in it.
	listsEvery = 200 * time.Millisecond
	// ratesEvery is that time while only the request rates change. Callers keep their list of
	// entries for longer.
	ratesEvery = time.Second
)

// sentList is a list of the entries as sent to a control host.
type sentList struct {
	at    time.Time
	views []EntryView
}

// entriesSentRecently reports whether the list of entries was sent to a control host recently,
// and records it as sent if it was not.
func (l *leadership) entriesSentRecently(from port.Peer, views []EntryView, now time.Time) bool {
	if from.Role == roleEntry {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent, found := l.sentLists[from.Host]; found {
		age := now.Sub(sent.at)
		if age < listsEvery || age < ratesEvery && slices.EqualFunc(sent.views, views, sameState) {
			return true
		}
	}
	if l.sentLists == nil {
		l.sentLists = make(map[ident.Host]sentList)
	}
	l.sentLists[from.Host] = sentList{at: now, views: views}
	return false
}

// silentEvery is the minimum time between two checks for silent upstreams. Each answer to a
// watch carries their list, and a check of thousands takes a millisecond of a host's processor.
const silentEvery = 100 * time.Millisecond

// recentSilent lists the silent upstreams, as of at most silentEvery ago, and the revision of
// the list, which is above 0.
func (l *leadership) recentSilent(now time.Time) ([]string, uint64) {
	l.mu.Lock()
	list, at, revision := l.silentList, l.silentAt, l.silentRevision
	l.mu.Unlock()
	if !at.IsZero() && now.Sub(at) < silentEvery {
		return list, revision
	}
	silent := l.silentOf(l.steward.machine.liveIDs(), now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silentRevision == 0 || !slices.Equal(silent, l.silentList) {
		l.silentRevision++
	}
	l.silentList, l.silentAt = silent, now
	return silent, l.silentRevision
}

// silentOf lists those of the given upstreams that are silent, by ID.
func (l *leadership) silentOf(ids []string, now time.Time) []string {
	now = l.clock.at(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	var silent []string
	for _, id := range ids {
		if now.Sub(l.lastContact(id)) > l.announceEvery.silentAfter() {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	return silent
}

// current lists the upstreams that are not silent, and of those with the same address only the
// one with the latest contact. The others have ended: a query to them would be answered by it.
func (l *leadership) current(live []roster.Upstream, now time.Time) []roster.Upstream {
	now = l.clock.at(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	last := make(map[string]time.Time, len(live))
	for i := range live {
		if at := l.lastContact(live[i].ID); at.After(last[live[i].Address]) {
			last[live[i].Address] = at
		}
	}
	return slices.DeleteFunc(live, func(u roster.Upstream) bool {
		at := l.lastContact(u.ID)
		return now.Sub(at) > l.announceEvery.silentAfter() || at.Before(last[u.Address])
	})
}

// replaced reports whether another upstream at the same address had a later contact.
func (l *leadership) replaced(u *roster.Upstream, live []roster.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(live, func(other roster.Upstream) bool {
		return other.ID != u.ID && other.Address == u.Address && l.lastContact(other.ID).After(l.lastContact(u.ID))
	})
}

// lost lists the upstreams to remove: those that have been silent for forgetAfter, and the
// silent ones whose address has another upstream in contact.
func (l *leadership) lost(live []roster.Upstream, now time.Time) []roster.Upstream {
	now = l.clock.at(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	inUse := make(map[string]bool)
	for i := range live {
		if now.Sub(l.lastContact(live[i].ID)) <= l.announceEvery.silentAfter() {
			inUse[live[i].Address] = true
		}
	}
	return slices.DeleteFunc(live, func(u roster.Upstream) bool {
		silent := now.Sub(l.lastContact(u.ID))
		return silent < forgetAfter && (silent <= l.announceEvery.silentAfter() || !inUse[u.Address])
	})
}
