package steward

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/roster"
)

// beat notes that an upstream was heard, here or at another host.
func (l *leadership) beat(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.beats[id]) {
		l.beats[id] = at
	}
}

// follows reports whether a word of an earlier-born life is of the present one, and marks
// it so. While that is in doubt, nobody may be promised no more work that the record of
// the known life brings it.
func (l *leadership) follows(u *roster.Upstream, now time.Time) (bool, error) {
	held, known := l.steward.machine.upstream(u.ID)
	if !known {
		return false, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	pause := l.announcing.silentAfter()
	observed := l.successions.Observes(*u, now, pause)
	switch {
	case l.successions.Receive(*u, held, l.lastHeard(u.ID), now, pause):
		u.Follows = held.StartedMs
		return true, nil
	case observed && u.State != roster.Serving && held.State == roster.Serving:
		return false, eris.Wrapf(ErrUnavailable, "%s: which of its lives is the present one is in doubt", u.ID)
	}
	return false, nil
}

// left notes that an upstream has said that it leaves or is gone.
func (l *leadership) left(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.successions.Drop(id)
}

// lastHeard returns when an upstream was last heard; a new leader gives
// everyone the time since its election.
func (l *leadership) lastHeard(id string) time.Time {
	if at, known := l.beats[id]; known {
		return at
	}
	return l.since
}

func (l *leadership) silent(live []roster.Upstream, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var silent []string
	for i := range live {
		if now.Sub(l.lastHeard(live[i].ID)) > l.announcing.silentAfter() {
			silent = append(silent, live[i].ID)
		}
	}
	return silent
}

const (
	// listsEvery is how often a control host is told the entries while they come, leave or
	// become ready. It asks 25 times a second, and hundreds of entries in each answer take
	// the leader's processor longer than all else that it tells.
	listsEvery = 200 * time.Millisecond
	// ratesEvery is how often it is told them while only the requests change that they
	// serve. Callers keep what they are told of the entries for longer.
	ratesEvery = time.Second
)

// listTold is a list of the entries as a control host was told it.
type listTold struct {
	at    time.Time
	views []EntryView
}

// toldLists reports whether a control host was told the entries lately, and notes it if it
// was not.
func (l *leadership) toldLists(from port.Peer, views []EntryView, now time.Time) bool {
	if from.Role == roleEntry {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if told, known := l.listsTold[from.Host]; known {
		age := now.Sub(told.at)
		if age < listsEvery || age < ratesEvery && slices.EqualFunc(told.views, views, sameState) {
			return true
		}
	}
	if l.listsTold == nil {
		l.listsTold = make(map[ident.Host]listTold)
	}
	l.listsTold[from.Host] = listTold{at: now, views: views}
	return false
}

// silentEvery is the least time between two looks for silent upstreams. Each answer to a
// watch tells them, and a look at thousands takes a host's processor a millisecond.
const silentEvery = 100 * time.Millisecond

// silentNow lists the silent upstreams, as of silentEvery ago at most, and the revision of
// the list, which is above 0.
func (l *leadership) silentNow(now time.Time) ([]string, uint64) {
	l.mu.Lock()
	told, at, revision := l.silentTold, l.silentAt, l.silentRevision
	l.mu.Unlock()
	if !at.IsZero() && now.Sub(at) < silentEvery {
		return told, revision
	}
	silent := l.silentOf(l.steward.machine.liveIDs(), now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silentRevision == 0 || !slices.Equal(silent, l.silentTold) {
		l.silentRevision++
	}
	l.silentTold, l.silentAt = silent, now
	return silent, l.silentRevision
}

// silentOf lists those of some upstreams that are silent, by name.
func (l *leadership) silentOf(ids []string, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var silent []string
	for _, id := range ids {
		if now.Sub(l.lastHeard(id)) > l.announcing.silentAfter() {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	return silent
}

// heard lists the upstreams that are not silent, and of those with one address the
// one heard last. The others have ended: whoever asked them would be answered by it.
func (l *leadership) heard(live []roster.Upstream, now time.Time) []roster.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := make(map[string]time.Time, len(live))
	for i := range live {
		if at := l.lastHeard(live[i].ID); at.After(last[live[i].Address]) {
			last[live[i].Address] = at
		}
	}
	return slices.DeleteFunc(live, func(u roster.Upstream) bool {
		at := l.lastHeard(u.ID)
		return now.Sub(at) > l.announcing.silentAfter() || at.Before(last[u.Address])
	})
}

// succeeded reports whether another upstream was heard at an upstream's address
// after it.
func (l *leadership) succeeded(u *roster.Upstream, live []roster.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(live, func(other roster.Upstream) bool {
		return other.ID != u.ID && other.Address == u.Address && l.lastHeard(other.ID).After(l.lastHeard(u.ID))
	})
}

// lost lists the upstreams to give up: those that have been silent for long,
// and the silent ones at whose address another is heard.
func (l *leadership) lost(live []roster.Upstream, now time.Time) []roster.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := make(map[string]bool)
	for i := range live {
		if now.Sub(l.lastHeard(live[i].ID)) <= l.announcing.silentAfter() {
			taken[live[i].Address] = true
		}
	}
	return slices.DeleteFunc(live, func(u roster.Upstream) bool {
		silent := now.Sub(l.lastHeard(u.ID))
		return silent < forgetAfter && (silent <= l.announcing.silentAfter() || !taken[u.Address])
	})
}
