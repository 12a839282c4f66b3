package steward

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/internal/wire"
)

const (
	// watchWait is the longest time that a watch is kept open. Its answers carry the loads of
	// the other entries, which go stale.
	watchWait = 120 * time.Millisecond
	// electionWait is the time for which a watch is kept open while no leader is known. Its
	// caller is then notified of the new leader immediately; otherwise it would query the hosts
	// in turn, and learn of an election 0.1 s after it on average.
	electionWait = 200 * time.Millisecond
	// startingWait replaces it for entries without a configuration at a host that has started since
	// it last knew a leader: all hosts may have, and no other knows more. It leaves time for the
	// answer within watchTimeout.
	startingWait = 450 * time.Millisecond
	// idleWait is the longest time that a watch of an entry without requests is kept open. It
	// ends immediately at a change of orders; upstreams come and go all the time in a large
	// fleet, and nearly all of its entries are idle.
	idleWait = 400 * time.Millisecond
	// redirectPause is the pause requested of an entry that holds nothing and that no host can
	// answer yet. Control hosts that have just started are ready some 0.3 s after an election.
	redirectPause = 100 * time.Millisecond
	// gatherDelay is the time for which a watch waits for more after the first change, so that
	// parts that become complete one after the other share an answer.
	gatherDelay = 15 * time.Millisecond
)

func (s *Steward) handleWatch(ctx context.Context, from port.Peer, _ port.Method, body []byte) ([]byte, error) {
	var request WatchRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrap(err, "steward: watch")
	}
	began := time.Now()
	answer := s.watch(ctx, from, &request)
	encoded := wire.MustMarshal(answer)
	s.pacer.record(time.Since(began) - answer.waited)
	return encoded, nil
}

// watchSource is the state from which a host answers watches: its own on the leader, and the
// state received from the leader on a relay.
type watchSource interface {
	// now returns the time to pass to the other methods: on the leader by the monotonic clock,
	// on a relay by the clock that counts suspensions.
	now() time.Time
	// timeAt returns now for a time of the lease clock that was just read. On a relay it avoids
	// a second reading of that clock, which is a system call.
	timeAt(lease time.Time) time.Time
	// recordWatcher records the caller's state in a watch.
	recordWatcher(from port.Peer, request *WatchRequest, now time.Time)
	// refresh records that a watch of the caller was open until now.
	refresh(from port.Peer, now time.Time)
	// fill adds what a watcher lacks of the inventories and reports whether there is any.
	fill(request *WatchRequest, answer *WatchAnswer) bool
	// addCommon adds the content of every answer.
	addCommon(from port.Peer, answer *WatchAnswer, now time.Time)
	// addGrants adds the permits for cold and limited upstreams, addLimits the limits that
	// upstreams named.
	addGrants(from port.Peer, request *WatchRequest, answer *WatchAnswer, now time.Time)
	addLimits(request *WatchRequest, answer *WatchAnswer, now time.Time)
	// serves reports whether the watch may still be answered here.
	serves(request *WatchRequest, now time.Time) bool
	// asOf returns the time as of which this host has the leader's complete state. It and its
	// argument are on the clock by which leases count.
	asOf(now time.Time) time.Time
	term() uint64
	// activeWatchers returns the number of watchers that are not idle.
	activeWatchers() int
}

// watchSource returns the source from which this host may answer a watch, nil if none. shed is
// set if the host leads and has no time for the answer.
func (s *Steward) watchSource(request *WatchRequest) (b watchSource, shed bool) {
	now := time.Now()
	if l := s.leading.Load(); l != nil && l.serves(request, now) {
		if len(l.relays(now)) > 0 && request.Entry != nil && !s.pacer.mayAnswer(now) {
			s.counters.shed.Inc()
			return nil, true
		}
		return l, false
	}
	if request.Entry != nil && s.relay.serves(request, s.relay.now()) {
		return s.relay, false
	}
	return nil, false
}

// awaitWatchSource is watchSource, after a wait while no leader is known.
func (s *Steward) awaitWatchSource(ctx context.Context, request *WatchRequest) (b watchSource, shed bool) {
	b, shed = s.watchSource(request)
	longest := electionWait
	if s.options.Handover && request.Entry != nil && request.Document == 0 && (!s.relay.hasLeaderContact() || s.relay.awaitsLog()) {
		longest = startingWait
	}
	for end := time.Now().Add(longest); b == nil && (s.Leader() == "" || s.hasNewLeader(request)) && time.Now().Before(end); {
		if !wait.For(ctx, leaderPoll) {
			break
		}
		b, shed = s.watchSource(request)
	}
	return b, shed
}

// hasNewLeader reports whether a leader is elected whose state this host will have shortly, for
// the first time since its start: the caller has no better host to query.
func (s *Steward) hasNewLeader(request *WatchRequest) bool {
	if !s.options.Handover || s.leading.Load() != nil || s.relay.hasLeaderContact() && !s.relay.awaitsLog() {
		return false
	}
	return request.Entry != nil || s.Leader() == string(s.options.Self)
}

// finishAnswer adds the content of every answer.
func (s *Steward) finishAnswer(b watchSource, from port.Peer, request *WatchRequest, answer *WatchAnswer, now time.Time) {
	b.addCommon(from, answer, now)
	if request.SilentRevision == answer.SilentRevision && request.Term == answer.Term {
		// Thousands may be silent, and each entry sends several requests a second.
		answer.Silent = nil
	}
	b.addGrants(from, request, answer, now)
	b.addLimits(request, answer, now)
	s.addLearned(request, answer)
	s.addAddresses(request, answer)
	if request.Entry != nil && request.Entry.Unreached > 0 {
		answer.Peers = choosePeers(s.entryList(), request.Entry)
	}
	answer.Pause = s.pauseAfter(b, request, answer)
	answer.Members = s.memberNames()
	if l, leads := b.(*leadership); leads && request.Entry == nil {
		answer.Incarnation, answer.Led = s.options.Incarnation, now.Sub(l.groupLedSince())
	}
	if request.Entry != nil {
		answer.Entries = nil
	}
	s.counters.countAnswer(b, answer)
}

// watch answers a watch, immediately or when there is a change for its caller.
func (s *Steward) watch(ctx context.Context, from port.Peer, request *WatchRequest) *WatchAnswer {
	receivedAt := time.Now()
	if request.Entry != nil {
		s.relay.recordCaller(request.Entry.Host, s.relay.now())
	}
	b, shed := s.awaitWatchSource(ctx, request)
	waited := time.Since(receivedAt)
	if b == nil {
		return s.redirect(request, shed, waited)
	}
	b.recordWatcher(from, request, b.now())
	if s.options.Handover && len(request.Learned) > 0 {
		s.learned.record(from.Host, request.Learned, time.Now())
	}
	answer := &WatchAnswer{}
	machineChanges, orderChanges, inventoryChanges := s.machine.changes(), s.machine.orderChanges(), s.index.changes()
	asOf, found := s.fill(b, request, answer)
	if answer.Inventories == nil || request.Idle {
		// A caller that receives no inventories is not woken by their changes: a leader that
		// lists all stores would answer every watch at each listing. An entry without requests
		// receives them with its next request.
		inventoryChanges = nil
	}
	if request.Idle {
		machineChanges = orderChanges
	}
	if !found && request.Term == b.term() {
		waiting := time.Now()
		awaitChange(ctx, waitFor(request), machineChanges, inventoryChanges)
		answer.OpenFor = time.Since(waiting)
		waited += answer.OpenFor
		asOf, _ = s.fill(b, request, answer)
		b.refresh(from, b.now())
	}
	lease := s.leaseNow()
	now := b.timeAt(lease)
	if asOf.IsZero() || !b.serves(request, now) {
		return s.redirect(request, false, waited)
	}
	answer.waited = waited
	answer.StateAge = lease.Sub(asOf)
	s.finishAnswer(b, from, request, answer, now)
	return answer
}

// handleWithdraw handles the withdrawal of the loads of an entry that has left this host.
func (s *Steward) handleWithdraw(_ context.Context, from port.Peer, _ port.Method, _ []byte) ([]byte, error) {
	s.withdrawLoads(from.Host)
	return nil, nil
}

// withdrawLoads forgets the loads of an entry that reports them to another control host.
func (s *Steward) withdrawLoads(entry ident.Host) {
	s.relay.watchers.withdrawLoads(entry)
	if l := s.leading.Load(); l != nil {
		l.watchers.withdrawLoads(entry)
	}
}

// pauseAfter returns the time that a watcher should wait before its next request. An entry with
// requests that has received only a part of the roster or of the inventories requests the rest
// immediately: until it has all, it knows only some of the upstreams, and its prompts are
// recomputed from the first token.
func (s *Steward) pauseAfter(b watchSource, request *WatchRequest, answer *WatchAnswer) time.Duration {
	usual := s.pacer.pause(b.activeWatchers())
	switch {
	case answer.orders():
		// Operators wait until the watcher reports that the order is in force.
		return 0
	case request.Idle:
		return usual
	case answer.Roster != nil && answer.Roster.More:
		return 0
	case answer.Inventories != nil && answer.Inventories.More && len(answer.Inventories.Batches) > 0:
		return 0
	}
	return usual
}

// fill adds what a watcher lacks and reports whether there is any, and the time as of which it
// is complete, zero if this host doesn't know.
func (s *Steward) fill(b watchSource, request *WatchRequest, answer *WatchAnswer) (time.Time, bool) {
	// This is read before the state: the leader's next answer may arrive in between, and state
	// without it would otherwise look younger than it is.
	lease := s.leaseNow()
	asOf := b.asOf(lease)
	if !b.serves(request, b.timeAt(lease)) {
		return time.Time{}, false
	}
	found := s.machine.fill(request, answer)
	if found && s.options.Handover && request.Entry != nil && request.Document == 0 {
		// The entry can serve by these alone, and asks for the inventories at once.
		return asOf, true
	}
	lacks := b.fill(request, answer)
	if request.Idle && request.Roster != 0 && !request.ReadingRoster {
		return asOf, answer.orders()
	}
	return asOf, found || lacks && !request.Idle
}

// waitFor returns the longest time that a watch is kept open.
func waitFor(request *WatchRequest) time.Duration {
	switch {
	case request.Relay:
		return relayWait
	case request.Idle:
		return idleWait
	}
	return watchWait
}

// awaitChange waits for one of two channels to be closed, and after a change of the inventories
// for gatherDelay more.
func awaitChange(ctx context.Context, longest time.Duration, machine, inventories <-chan struct{}) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-machine:
	case <-inventories:
		select {
		case <-machine:
		case <-time.After(gatherDelay):
		case <-ctx.Done():
		}
	case <-timer.C:
	case <-ctx.Done():
	}
}

// redirect returns an answer that names the hosts to query. A caller that is shed must wait:
// there may be hundreds of them.
func (s *Steward) redirect(request *WatchRequest, shed bool, waited time.Duration) *WatchAnswer {
	s.counters.redirects.Inc()
	answer := &WatchAnswer{Redirect: true, Leader: s.Leader(), Members: s.memberNames(), waited: waited}
	if l := s.leading.Load(); l != nil && request.Entry != nil {
		answer.Relays = l.relays(time.Now())
	}
	switch {
	case len(answer.Relays) == 0 && request.Document == 0:
		// There is no other host to query yet, and hundreds of entries that have just started
		// send requests.
		answer.Pause = redirectPause
	case shed:
		answer.Pause, answer.Shed = maxPause, true
	}
	return answer
}

func (s *Steward) memberNames() []string {
	r := s.replica()
	if r == nil {
		return nil
	}
	status := r.Status()
	names := make([]string, 0, len(status.Voters)+len(status.Learners))
	for _, host := range status.Voters {
		names = append(names, string(host))
	}
	for _, host := range status.Learners {
		names = append(names, string(host))
	}
	return names
}

// followLeader keeps the relay state up to date while another host leads, so that every control
// host can redirect callers and forward state to entries.
func (s *Steward) followLeader(ctx context.Context) {
	s.follower.Run(ctx, func() *WatchRequest {
		if s.leading.Load() != nil {
			return nil
		}
		request := s.relay.request(s.relay.now())
		if request.Relay && s.options.Handover {
			request.Learned = s.learned.report(time.Now())
		}
		return request
	}, func(answer *WatchAnswer, requestedAt time.Time) {
		s.relay.apply(answer, requestedAt, s.relay.now())
	})
}
