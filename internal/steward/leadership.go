package steward

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/rollout"
	"github.com/lovagereach/lovagereach/roster"
	"github.com/lovagereach/lovagereach/warmup"
)

const (
	// barrierTimeout bounds the proof that a new leader has applied everything.
	barrierTimeout = time.Second
	// forgetAfter is when a silent upstream is given up for good. One behind a
	// cut comes back sooner; a crashed one says nothing any more.
	forgetAfter = 60 * time.Second
	// relaysWithin is how long after an election other control hosts have to
	// come to answer entries. They need the shelves first, which takes 0.5 s.
	relaysWithin = 2 * time.Second
	// housekeeping is how often silent upstreams are looked for.
	housekeeping = 500 * time.Millisecond
)

// leadership is what a host knows only while it leads.
type leadership struct {
	steward *Steward
	// elected is the term in which this host leads.
	elected  uint64
	since    time.Time
	watchers *watchers
	inUse    takers
	shelves  *shelves
	loader   *loader

	floorMu sync.Mutex
	floor   *rollout.MinimumVersions
	// floorTold is what the floor was at floorAt.
	floorTold []roster.Loaded
	floorAt   time.Time

	grantMu   sync.Mutex
	granter   *warmup.Granter
	grantedAt time.Time

	announcing announcing

	mu    sync.Mutex
	beats map[string]time.Time
	// successions are the earlier-born lives that announce themselves.
	successions roster.Successions
	// told is the most entries that callers had been told of before, and sized tells that
	// they, or this host, know how many there are.
	told  int
	sized bool
	// reports are being gathered for a command, nil if none are.
	reports *reportBatch
	// forgotAt is when ends were last looked for that no longer count.
	forgotAt time.Time
	// listsTold is what each control host was told of the entries last.
	listsTold map[ident.Host]listTold
	// silentTold are the silent upstreams as of silentAt, of revision silentRevision.
	silentTold     []string
	silentAt       time.Time
	silentRevision uint64
	// small is since when the group has been below its size, zero when it is
	// not.
	small time.Time
}

// followLeadership runs the leader's part whenever this host leads.
func (s *Steward) followLeadership(ctx context.Context) {
	for wait.For(ctx, leaderPoll) {
		status := s.replica().Status()
		if !status.IsLeader {
			continue
		}
		barrier, cancel := context.WithTimeout(ctx, barrierTimeout)
		err := s.replica().ReadBarrier(barrier)
		cancel()
		if err != nil {
			s.options.Log.Info("leader not caught up yet", "term", status.Term, "cause", err)
			continue
		}
		s.lead(ctx, status.Term)
	}
}

// lead runs until this host no longer leads in term.
func (s *Steward) lead(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := newLeadership(s, term, time.Now())
	s.leading.Store(l)
	defer s.leading.Store(nil)
	s.meter.led.Inc()
	s.options.Log.Info("leading", "term", term)
	var tasks errgroup.Group
	tasks.Go(func() error { (&members{steward: s, silent: make(map[ident.Host]time.Time)}).run(ctx); return nil })
	tasks.Go(func() error { l.shelves.run(ctx); return nil })
	tasks.Go(func() error { l.housekeep(ctx); return nil })
	tasks.Go(func() error { l.loader.run(ctx); return nil })
	tasks.Go(func() error { newRetirer(l).run(ctx); return nil })
	for wait.For(ctx, leaderPoll) {
		status := s.replica().Status()
		if !status.IsLeader || status.Term != term {
			break
		}
	}
	s.leading.Store(nil)
	s.book.stepDown()
	cancel()
	if err := tasks.Wait(); err != nil {
		s.options.Log.Error("leader's tasks", "err", err)
	}
	s.options.Log.Info("no longer leading", "term", term)
}

func newLeadership(s *Steward, term uint64, now time.Time) *leadership {
	l := &leadership{
		steward: s, elected: term, since: now, watchers: newWatchers(s.options.Log), beats: make(map[string]time.Time),
		floor: rollout.NewMinimumVersions(), granter: warmup.NewGranter(now), announcing: announcing(s.options.AnnounceEvery),
	}
	l.shelves = newShelves(l)
	l.loader = newLoader(l)
	s.book.lead(term)
	// The entries will call within one watch; until then the list of the
	// leader before keeps callers supplied with addresses.
	for _, view := range s.entryList() {
		l.watchers.expect(view, now)
		l.sized = true
	}
	return l
}

// mayCommit reports whether a group of so many voters may commit.
func (l *leadership) mayCommit(voters int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if voters >= l.steward.options.voters() {
		l.small = time.Time{}
		return true
	}
	if l.small.IsZero() {
		l.small = now
	}
	return voters > l.steward.options.Tolerated && now.Sub(l.small) > smallFor
}

// raiseFloor lists the oldest weights on which a prompt may begin. It looks once in
// loadEvery, for each answer to a watch carries them.
func (l *leadership) raiseFloor(now time.Time) []roster.Loaded {
	s := l.steward
	l.floorMu.Lock()
	defer l.floorMu.Unlock()
	if now.Sub(l.floorAt) < loadEvery {
		return l.floorTold
	}
	l.floorAt = now
	namings := s.machine.namedAt()
	l.floorTold = l.floor.Raise(namings, func() []rollout.Runner {
		live := s.machine.live()
		silent := make(map[string]bool)
		for _, id := range l.silent(live, now) {
			silent[id] = true
		}
		runners := make([]rollout.Runner, len(live))
		for i := range live {
			runners[i] = rollout.Runner{Upstream: live[i], Heard: !silent[live[i].ID]}
		}
		return runners
	}, l.since, s.options.VersionTime, now)
	return l.floorTold
}

// housekeep gives up upstreams that are lost, and forgets old ends.
func (l *leadership) housekeep(ctx context.Context) {
	for wait.For(ctx, housekeeping) {
		l.forgetEnds(ctx, time.Now())
		for _, u := range l.lost(l.steward.machine.live(), time.Now()) {
			u.State = roster.Gone
			l.steward.options.Log.Info("upstream given up", "upstream", u.ID, "address", u.Address)
			if _, err := l.steward.propose(ctx, command{Upstream: &u}); err != nil {
				l.steward.options.Log.Warn("upstream not given up", "upstream", u.ID, "err", err)
				break
			}
		}
	}
}

// follow implements bulletin.
func (l *leadership) follow(from port.Peer, request *WatchRequest, now time.Time) {
	l.mu.Lock()
	l.told = max(l.told, request.Entries)
	l.sized = l.sized || request.Entries > 0
	l.mu.Unlock()
	for _, heard := range request.LastContacts {
		l.beat(heard.Upstream, now.Add(-heard.Age))
	}
	l.watchers.follow(from, request, now)
}

// now implements bulletin.
func (l *leadership) now() time.Time { return time.Now() }

// timeAt implements bulletin.
func (l *leadership) timeAt(time.Time) time.Time { return time.Now() }

// touch implements bulletin.
func (l *leadership) touch(from port.Peer, now time.Time) { l.watchers.touch(from, now) }

// expected is the number of entries that are to call, 0 once all have had the time.
// After a restart of all control hosts none has called: a leader that took the first
// ones for all would tell each the shelves, and lose the lead over it.
func (l *leadership) expected(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= relaysWithin {
		return 0
	}
	return l.told
}

// knowsSize reports whether it is known how many entries there are, or all have had the
// time to call. After a restart of all hosts, entries included, the first ones that call
// were told of no others, and tell nothing of the hundreds that may follow.
func (l *leadership) knowsSize(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sized || now.Sub(l.since) >= relaysWithin
}

// entryCount is the number of entries, those that are to call among them.
func (l *leadership) entryCount(now time.Time) int {
	return max(l.watchers.count(), l.expected(now))
}

// fill implements bulletin. The leader of many entries does not tell them the shelves
// before others can, or while others do. After a restart of all, each lacks all of
// them, those that pass them on are busy with it, and entries whose word grows old
// meanwhile turn to the leader: it tells them the rest, which costs it little beside a
// page of the shelves.
func (l *leadership) fill(request *WatchRequest, answer *WatchAnswer) bool {
	now := time.Now()
	if request.Entry != nil && l.entryCount(now) > entriesAlone && (now.Sub(l.since) < relaysWithin || len(l.relays(now)) > 0) {
		return false
	}
	// Past its lease another host may lead and retire parts: an entry must not rely for
	// longer on what is told here.
	asked := l.steward.leaseNow()
	heard := l.asOf(asked)
	if heard.IsZero() {
		return false
	}
	found := l.shelves.fill(request, answer)
	answer.InventoryAge = asked.Sub(heard)
	return found
}

// serves reports whether the leader answers a watch by itself: not an entry's,
// where there are others to ask. After an election all entries come to the new
// leader at once, each without anything of its term; answers to all of them
// would take it seconds. One whose word is overdue is answered all the same: the
// others may be listed here for their questions, and yet have no answers. After a
// restart of all, when no entry tells how many there are, the first few that call show
// that there are many, and those that hold nothing yet wait for the others: an answer
// with all of the configuration and the roster takes five times as long.
func (l *leadership) serves(request *WatchRequest, now time.Time) bool {
	switch {
	case request.Entry == nil || request.Direct || request.Overdue:
		return true
	case len(l.relays(now)) > 0:
		return false
	}
	return request.Document != 0 || now.Sub(l.since) >= relaysWithin || l.entryCount(now) <= entriesAlone
}

// asOf implements bulletin. A host that stood still, or has no time for its part in the
// group, may still take itself for the leader when another one has acknowledged more:
// what it knows is all that there is until its lease ends.
func (l *leadership) asOf(now time.Time) time.Time {
	status := l.steward.replica().Status()
	switch {
	case !status.IsLeader || status.Term != l.elected:
		return time.Time{}
	case now.Before(status.LeaseEnd):
		return now
	}
	return status.LeaseEnd
}

// relays lists the hosts that entries are to ask instead of the leader, none
// while there are few entries.
func (l *leadership) relays(now time.Time) []RelayView {
	if l.entryCount(now) <= entriesAlone {
		return nil
	}
	return l.watchers.relays(now)
}

// busy implements bulletin.
func (l *leadership) busy() int { return l.watchers.busy() }

// term implements bulletin.
func (l *leadership) term() uint64 { return l.elected }

// complete implements bulletin.
func (l *leadership) complete(from port.Peer, answer *WatchAnswer, now time.Time) {
	answer.Term = l.elected
	answer.Leader = string(l.steward.options.Self)
	entries := l.watchers.recentEntries(now)
	answer.EntryCount, answer.Counting = max(len(entries), l.expected(now)), !l.knowsSize(now)
	if answer.EntriesUnchanged = l.toldLists(from, entries, now); !answer.EntriesUnchanged {
		answer.Entries = entries
	}
	answer.Silent, answer.SilentAt = l.silentNow(now)
	answer.ActiveEntries = l.takerCount(entries, now)
	answer.RelayedRevision = l.watchers.belowAt(from.Host)
	answer.Relaying = answer.EntryCount > entriesAlone
	answer.Relays = l.relays(now)
	answer.Loading = l.loader.loading()
	answer.MinVersions = l.raiseFloor(now)
	answer.Clock = l.shelves.clock(now)
	answer.Loads = l.watchers.loadsBut(from.Host, nil, now)
}

// certain reports whether no other host can lead at this moment.
func (l *leadership) certain() bool {
	status := l.steward.replica().Status()
	return status.IsLeader && status.Term == l.elected && l.steward.leaseNow().Before(status.LeaseEnd)
}
