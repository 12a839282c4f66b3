package steward

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/ratelimit"
	"github.com/lovagereach/lovagereach/rollout"
	"github.com/lovagereach/lovagereach/roster"
	"github.com/lovagereach/lovagereach/warmup"
)

const (
	// barrierTimeout bounds the read barrier that proves that a new leader has applied the
	// complete log.
	barrierTimeout = time.Second
	// forgetAfter is the time after which a silent upstream is removed permanently. One behind
	// a network partition returns sooner; a crashed one never does.
	forgetAfter = 60 * time.Second
	// relaysWithin is the time after an election within which other control hosts become
	// relays. They need the inventories first, which takes 0.5 s.
	relaysWithin = 2 * time.Second
	// controlHostsWithin is the time after an election within which the other control hosts call.
	controlHostsWithin = 150 * time.Millisecond
	// maxControlHosts bounds the control hosts whose calls are recorded.
	maxControlHosts = 64
	// withheldLogEvery is the minimum time between two log lines about minimum versions that are not
	// raised.
	withheldLogEvery = time.Second
	// housekeeping is the interval at which silent upstreams are checked.
	housekeeping = 500 * time.Millisecond
)

// leadership is the state that a host has only while it leads.
type leadership struct {
	steward *Steward
	// elected is the term in which this host leads.
	elected uint64
	since   time.Time
	clock   listeningClock
	// stalledBefore is the time for which this host did not run until since.
	stalledBefore time.Duration
	watchers      *watchers
	active        activeEntries
	inventories   *inventoryFollower
	loader        *loader

	minVersionsMu sync.Mutex
	minVersions   *rollout.MinimumVersions
	// minVersionsList is the result of minVersions as of minVersionsAt.
	minVersionsList []roster.Loaded
	minVersionsAt   time.Time
	// withheldAt is the time of the latest log line about a minimum version that was not raised.
	withheldAt time.Time

	grantMu   sync.Mutex
	granter   *warmup.Granter
	limits    *ratelimit.Observations
	divider   *ratelimit.Divider
	grantedAt time.Time

	announceEvery announceInterval

	// learnedCheckedAt and learnedSharedAt are the times at which what entries have learned was
	// checked and committed. Only housekeep uses them.
	learnedCheckedAt, learnedSharedAt time.Time

	// granting is held while a trial of quarantined parts is granted.
	granting sync.Mutex

	mu sync.Mutex
	// controlHosts are the control hosts that have called.
	controlHosts map[ident.Host]bool
	// lastContacts holds the time of each upstream's latest contact, by the listening clock.
	lastContacts map[string]time.Time
	// successions tracks announcements of incarnations with earlier start times.
	successions roster.Successions
	// former is the leader before, and ledSince the time since which the group has been led.
	former   formerLeader
	ledSince time.Time
	// reportedEntries is the maximum number of entries that watchers had received from earlier
	// leaders. sizeKnown reports whether they, or this host, know the number of entries.
	reportedEntries int
	sizeKnown       bool
	// pendingReports is the batch of reports being gathered, nil if there is none.
	pendingReports *reportBatch
	// crashGroups assigns reported crashes to groups.
	crashGroups quarantine.CrashGroups
	// crashesCheckedAt is the time of the latest check for expired crashes.
	crashesCheckedAt time.Time
	// sentLists holds the list of entries last sent to each control host.
	sentLists map[ident.Host]sentList
	// silentList holds the silent upstreams as of silentAt, of revision silentRevision.
	silentList     []string
	silentAt       time.Time
	silentRevision uint64
	// belowSizeSince is the time since which the group has been below its size, zero when it is
	// not.
	belowSizeSince time.Time
}

// followLeadership runs the leader's tasks whenever this host leads.
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
	s.counters.termsLed.Inc()
	s.options.Log.Info("leading", "term", term)
	var tasks errgroup.Group
	tasks.Go(func() error {
		newMembers(s, l.clock).run(ctx)
		return nil
	})
	tasks.Go(func() error { l.inventories.run(ctx); return nil })
	tasks.Go(func() error { l.housekeep(ctx); return nil })
	tasks.Go(func() error { l.loader.run(ctx); return nil })
	tasks.Go(func() error { l.recordMinimums(ctx); return nil })
	tasks.Go(func() error { newRetirer(l).run(ctx); return nil })
	for wait.For(ctx, leaderPoll) {
		status := s.replica().Status()
		if !status.IsLeader || status.Term != term {
			break
		}
	}
	s.leading.Store(nil)
	s.index.stepDown()
	cancel()
	s.relay.recordOwn(l, time.Now())
	if err := tasks.Wait(); err != nil {
		s.options.Log.Error("leader tasks failed", "err", err)
	}
	s.options.Log.Info("no longer leading", "term", term)
}

func newLeadership(s *Steward, term uint64, now time.Time) *leadership {
	l := &leadership{
		steward: s, elected: term, since: now, watchers: newWatchers(s.options.Log), lastContacts: make(map[string]time.Time),
		minVersions: rollout.NewMinimumVersions(), granter: warmup.NewGranter(now),
		limits: ratelimit.NewObservations(), divider: ratelimit.NewDivider(now), announceEvery: announceInterval(s.options.AnnounceEvery),
	}
	l.clock, l.stalledBefore = s.stalls.Total, s.stalls.Total(now)
	l.watchers.newest, l.watchers.clock = s.machine.documentVersion, l.clock
	l.inventories = newInventoryFollower(l)
	l.loader = newLoader(l)
	// What an earlier leader told this host may not be recorded, or was not by an earlier release.
	l.minVersions.Adopt(s.relay.minimumVersions())
	l.former, l.ledSince = s.relay.former(), now
	l.recordFormer(port.Peer{Host: s.options.Self, Incarnation: s.options.Incarnation})
	s.index.lead(term)
	// The entries call within one watch; until then the previous leader's list keeps callers
	// supplied with addresses.
	for _, view := range s.entryList() {
		l.watchers.expect(view, now)
		l.sizeKnown = true
	}
	return l
}

// mayCommit reports whether a group of this number of voters may commit.
func (l *leadership) mayCommit(voters int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if voters >= l.steward.options.voters() {
		l.belowSizeSince = time.Time{}
		return true
	}
	if l.belowSizeSince.IsZero() {
		l.belowSizeSince = now
	}
	return voters > l.steward.options.Tolerated && now.Sub(l.belowSizeSince) > smallFor
}

// raiseMinVersions returns the minimum weight versions on which a prompt may begin. It
// recomputes them at most once per loadEvery, since each answer to a watch carries them.
func (l *leadership) raiseMinVersions(now time.Time) []roster.Loaded {
	s := l.steward
	l.minVersionsMu.Lock()
	defer l.minVersionsMu.Unlock()
	if now.Sub(l.minVersionsAt) < loadEvery {
		return l.minVersionsList
	}
	l.minVersionsAt = now
	l.minVersions.Adopt(s.machine.minimumVersions())
	targets := s.machine.targetVersions()
	due := l.minVersions.Raise(targets, func() []rollout.Runner {
		live := s.machine.live()
		silent := make(map[string]bool)
		for _, id := range l.silent(live, now) {
			silent[id] = true
		}
		runners := make([]rollout.Runner, len(live))
		for i := range live {
			runners[i] = rollout.Runner{Upstream: live[i], Reachable: !silent[live[i].ID]}
		}
		return runners
	}, l.groupLedSince(), s.options.VersionTime, now)
	l.logDue(due, now)
	l.minVersionsList = l.minVersions.List()
	return l.minVersionsList
}

// logDue logs the target versions that became the minimum version, and those whose bound expires and
// that did not. The caller holds minVersionsMu.
func (l *leadership) logDue(due []rollout.Due, now time.Time) {
	s := l.steward
	for _, d := range due {
		message := "minimum version raised"
		switch {
		case d.Raised:
			s.counters.minimumsRaised.Inc()
		case now.Sub(l.withheldAt) < withheldLogEvery:
			continue
		default:
			message = "minimum version not raised"
			l.withheldAt = now
		}
		s.options.Log.Info(message, "model", d.Model, "version", d.Version, "term", l.elected, "after", d.Age,
			"led", now.Sub(l.since), "group_led", now.Sub(l.groupLedSince()), "have", d.Have, "heard", d.Heard, "of", d.Total)
	}
}

// housekeep removes lost upstreams and expired crashes, and commits what entries have learned.
func (l *leadership) housekeep(ctx context.Context) {
	for wait.For(ctx, housekeeping) {
		l.forgetCrashes(ctx, time.Now())
		l.shareLearned(ctx, time.Now())
		for _, u := range l.lost(l.steward.machine.live(), time.Now()) {
			u.State = roster.Gone
			l.steward.options.Log.Info("upstream given up", "upstream", u.ID, "address", u.Address)
			if _, err := l.steward.propose(ctx, command{Upstream: &u}); err != nil {
				l.steward.options.Log.Warn("upstream not removed from the roster", "upstream", u.ID, "err", err)
				break
			}
		}
	}
}

// recordWatcher implements watchSource.
func (l *leadership) recordWatcher(from port.Peer, request *WatchRequest, now time.Time) {
	l.mu.Lock()
	l.reportedEntries = max(l.reportedEntries, request.Entries)
	l.sizeKnown = l.sizeKnown || request.Entries > 0
	if request.Entry == nil && len(l.controlHosts) < maxControlHosts {
		if l.controlHosts == nil {
			l.controlHosts = make(map[ident.Host]bool)
		}
		l.controlHosts[from.Host] = true
	}
	l.mu.Unlock()
	if request.Entry == nil {
		l.recordFormer(from)
	}
	for _, contact := range request.LastContacts {
		l.recordContact(contact.Upstream, now.Add(-max(contact.Age, 0)))
	}
	l.recordLimits(request.Limits, now)
	l.watchers.record(from, request, now)
}

// awaitControlHosts waits until the other voters have called, within controlHostsWithin. After a
// restart of all hosts they answer the entries, for which they need only the leader's first answer;
// reading the stores takes its processor several times as long as all their answers.
func (l *leadership) awaitControlHosts(ctx context.Context) {
	if !l.steward.options.Handover {
		return
	}
	for end := l.since.Add(controlHostsWithin); time.Now().Before(end); {
		l.mu.Lock()
		called := len(l.controlHosts)
		l.mu.Unlock()
		if called >= len(l.steward.replica().Status().Voters)-1 || !wait.For(ctx, leaderPoll) {
			return
		}
	}
}

// now implements watchSource.
func (l *leadership) now() time.Time { return time.Now() }

// timeAt implements watchSource.
func (l *leadership) timeAt(time.Time) time.Time { return time.Now() }

// refresh implements watchSource.
func (l *leadership) refresh(from port.Peer, now time.Time) { l.watchers.refresh(from, now) }

// expected returns the number of entries that should call, 0 once all have had the time. After
// a restart of all control hosts none has called: a leader that took the first callers for all
// entries would send each of them the inventories, and lose its leadership over that work.
func (l *leadership) expected(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= relaysWithin {
		return 0
	}
	return l.reportedEntries
}

// knowsSize reports whether the number of entries is known, or all have had the time to call.
// After a restart of all hosts, including the entries, the first callers have received no
// count, and don't indicate the hundreds that may follow.
func (l *leadership) knowsSize(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sizeKnown || now.Sub(l.since) >= relaysWithin
}

// entryCount returns the number of entries, including those that should still call.
func (l *leadership) entryCount(now time.Time) int {
	return max(l.watchers.count(), l.expected(now))
}

// fill implements watchSource. A leader with many entries sends them no inventories before
// relays can, or while relays do. After a restart of all hosts, each entry lacks them all, the
// relays are busy sending them, and entries whose state becomes old meanwhile turn to the
// leader: it sends them the rest, which costs little compared with a page of the inventories.
func (l *leadership) fill(request *WatchRequest, answer *WatchAnswer) bool {
	now := time.Now()
	if request.Entry != nil && l.entryCount(now) > maxDirectEntries && (now.Sub(l.since) < relaysWithin || len(l.relays(now)) > 0) {
		return false
	}
	// After this host's lease another host may lead and retire parts: an entry must not rely on
	// this answer for longer than the lease.
	lease := l.steward.leaseNow()
	asOf := l.asOf(lease)
	if asOf.IsZero() {
		return false
	}
	found := l.inventories.fill(request, answer)
	answer.InventoryAge = lease.Sub(asOf)
	return found
}

// serves reports whether the leader answers a watch itself. It doesn't answer an entry's watch
// while there are relays: after an election all entries turn to the new leader together, each
// without any state of its term, and answers to all of them would take it seconds. An overdue
// watch is answered all the same: the relays may be listed here because of their requests, and
// yet receive no answers. After a restart of all hosts, when no entry reports a count, the
// first few callers show that there are many, and those without any state wait for the relays:
// an answer with the complete configuration and roster takes five times as long.
func (l *leadership) serves(request *WatchRequest, now time.Time) bool {
	switch {
	case request.Entry == nil || request.Direct || request.Overdue:
		return true
	case len(l.relays(now)) > 0:
		return false
	}
	return request.Document != 0 || now.Sub(l.since) >= relaysWithin || l.entryCount(now) <= maxDirectEntries
}

// asOf implements watchSource. A host that was suspended, or has no time for its part in the
// group, may still consider itself the leader when another one has acknowledged more: its state
// is complete only up to the end of its lease.
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

// relays lists the hosts that entries should query instead of the leader, none while there are
// few entries.
func (l *leadership) relays(now time.Time) []RelayView {
	if l.entryCount(now) <= maxDirectEntries {
		return nil
	}
	return l.watchers.relays(now)
}

// activeWatchers implements watchSource.
func (l *leadership) activeWatchers() int { return l.watchers.activeWatchers() }

// term implements watchSource.
func (l *leadership) term() uint64 { return l.elected }

// addCommon implements watchSource.
func (l *leadership) addCommon(from port.Peer, answer *WatchAnswer, now time.Time) {
	answer.Term = l.elected
	answer.Leader = string(l.steward.options.Self)
	entries := l.watchers.recentEntries(now)
	answer.EntryCount, answer.Counting = max(len(entries), l.expected(now)), !l.knowsSize(now)
	if answer.EntriesUnchanged = l.entriesSentRecently(from, entries, now); !answer.EntriesUnchanged {
		answer.Entries = entries
	}
	answer.Silent, answer.SilentRevision = l.recentSilent(now)
	answer.ActiveEntries = l.activeCount(entries, now)
	answer.RelayedRevision = l.watchers.relayedRevision(from.Host)
	// After a restart of all hosts the number of entries is not counted yet, and hosts that wait for
	// it before they answer entries delay most of them.
	answer.Relaying = answer.EntryCount > maxDirectEntries || answer.Counting && l.steward.learnedEntries() > maxDirectEntries
	answer.Relays = l.relays(now)
	answer.Loading = l.loader.loading()
	l.steward.machine.addMinimums(answer, l.raiseMinVersions(now), now)
	answer.Clock = l.inventories.clock(now)
	answer.Loads = l.watchers.loadsExcept(from.Host, nil, now)
}

// certain reports whether no other host can lead at this moment.
func (l *leadership) certain() bool {
	status := l.steward.replica().Status()
	return status.IsLeader && status.Term == l.elected && l.steward.leaseNow().Before(status.LeaseEnd)
}
