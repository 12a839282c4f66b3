package steward

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/internal/wire"
)

const (
	// watchWait is the longest that a watch is kept open. Its answers carry the
	// loads of the other entries, which go stale.
	watchWait = 120 * time.Millisecond
	// electionWait is how long a watch is kept while nobody is known to lead. Its
	// caller is then told at once who does; it would else ask the hosts in turn,
	// and hear of an election 0.1 s after it on average.
	electionWait = 200 * time.Millisecond
	// idleWait is the longest that a watch of an entry without requests is kept open. It
	// ends at once when operators want something else; upstreams come and go all the time
	// in a large fleet, and nearly all of its entries are idle.
	idleWait = 400 * time.Millisecond
	// redirectPause is asked of an entry that holds nothing and that nobody can answer
	// yet. Control hosts that have just started are ready some 0.3 s after an election.
	redirectPause = 100 * time.Millisecond
	// gather is how long a watch waits for more after the first news, so that
	// parts that become whole one after the other share an answer.
	gather = 15 * time.Millisecond
)

func (s *Steward) handleWatch(ctx context.Context, from port.Peer, _ port.Method, body []byte) ([]byte, error) {
	var request WatchRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrap(err, "steward: watch")
	}
	began := time.Now()
	answer := s.watch(ctx, from, &request)
	encoded := wire.MustMarshal(answer)
	s.pace.note(time.Since(began) - answer.waited)
	return encoded, nil
}

// bulletin is what a host tells those who watch it: the leader what it knows
// itself, another control host what the leader told it.
type bulletin interface {
	// now is the time that the others are given: a leader's by the steady clock, that
	// of other hosts by the clock that counts suspensions.
	now() time.Time
	// timeAt is now where leases are at a time that was just read: it reads their clock
	// no second time, which is a system call.
	timeAt(lease time.Time) time.Time
	// follow takes in what a watch says of its caller.
	follow(from port.Peer, request *WatchRequest, now time.Time)
	// touch notes that a watch of the caller was open until now.
	touch(from port.Peer, now time.Time)
	// fill adds what a watcher lacks of the shelves and reports whether that is
	// anything.
	fill(request *WatchRequest, answer *WatchAnswer) bool
	// complete adds what every answer carries.
	complete(from port.Peer, answer *WatchAnswer, now time.Time)
	// tellGrants adds what may be sent to cold upstreams.
	tellGrants(from port.Peer, request *WatchRequest, answer *WatchAnswer, now time.Time)
	// serves reports whether the watch may still be answered here.
	serves(request *WatchRequest, now time.Time) bool
	// asOf is the time as of which this host has everything that the leader had. It and
	// now are on the clock by which leases count.
	asOf(now time.Time) time.Time
	term() uint64
	// busy is the number of watchers that ask often.
	busy() int
}

// bulletin returns what this host may answer a watch with, nil if nothing. shed tells that
// it leads and has no time for the answer.
func (s *Steward) bulletin(request *WatchRequest) (b bulletin, shed bool) {
	now := time.Now()
	if l := s.leading.Load(); l != nil && l.serves(request, now) {
		if len(l.relays(now)) > 0 && request.Entry != nil && !s.pace.mayAnswer(now) {
			s.meter.shed.Inc()
			return nil, true
		}
		return l, false
	}
	if request.Entry != nil && s.branch.serves(request, s.branch.now()) {
		return s.branch, false
	}
	return nil, false
}

// awaitBulletin is bulletin, after a wait while nobody is known to lead.
func (s *Steward) awaitBulletin(ctx context.Context, request *WatchRequest) (b bulletin, shed bool) {
	b, shed = s.bulletin(request)
	for end := time.Now().Add(electionWait); b == nil && s.Leader() == "" && time.Now().Before(end); {
		if !wait.For(ctx, leaderPoll) {
			break
		}
		b, shed = s.bulletin(request)
	}
	return b, shed
}

// tell adds to an answer what every one carries.
func (s *Steward) tell(b bulletin, from port.Peer, request *WatchRequest, answer *WatchAnswer, now time.Time) {
	b.complete(from, answer, now)
	if request.SilentAt == answer.SilentAt && request.Term == answer.Term {
		// Thousands may be silent, and each entry asks several times a second.
		answer.Silent = nil
	}
	b.tellGrants(from, request, answer, now)
	answer.Pause = s.pauseAfter(b, request, answer)
	answer.Members = s.memberNames()
	if request.Entry != nil {
		answer.Entries = nil
	}
	s.meter.watched(b, answer)
}

// watch answers a watch, at once or when there is news for its caller.
func (s *Steward) watch(ctx context.Context, from port.Peer, request *WatchRequest) *WatchAnswer {
	asked := time.Now()
	if request.Entry != nil {
		s.branch.noteCaller(request.Entry.Host, s.branch.now())
	}
	b, shed := s.awaitBulletin(ctx, request)
	waited := time.Since(asked)
	if b == nil {
		return s.redirect(request, shed, waited)
	}
	b.follow(from, request, b.now())
	answer := &WatchAnswer{}
	machineNews, orderNews, shelfNews := s.machine.news(), s.machine.orders(), s.book.news()
	heard, found := s.fill(b, request, answer)
	if answer.Inventories == nil || request.Idle {
		// Who is not told the shelves is not woken by them: a leader that lists all
		// stores would answer every watch at each listing. An entry without requests
		// is told them when it asks.
		shelfNews = nil
	}
	if request.Idle {
		machineNews = orderNews
	}
	if !found && request.Term == b.term() {
		waiting := time.Now()
		awaitNews(ctx, waitFor(request), machineNews, shelfNews)
		answer.OpenFor = time.Since(waiting)
		waited += answer.OpenFor
		heard, _ = s.fill(b, request, answer)
		b.touch(from, b.now())
	}
	lease := s.leaseNow()
	now := b.timeAt(lease)
	if heard.IsZero() || !b.serves(request, now) {
		return s.redirect(request, false, waited)
	}
	answer.waited = waited
	answer.StateAge = lease.Sub(heard)
	s.tell(b, from, request, answer, now)
	return answer
}

// pauseAfter is how long a watcher should wait before it asks again. An entry with
// requests that has been told a part of the roster or of the shelves asks for the rest at
// once: until it has all, it knows a part of the upstreams only, and its prompts are read
// from the first token.
func (s *Steward) pauseAfter(b bulletin, request *WatchRequest, answer *WatchAnswer) time.Duration {
	usual := s.pace.pause(b.busy())
	switch {
	case answer.orders():
		// Operators wait until it says that it goes by what it was told.
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

// fill adds what a watcher lacks and reports whether that is anything, and the
// time as of which it is all, zero if this host does not know.
func (s *Steward) fill(b bulletin, request *WatchRequest, answer *WatchAnswer) (time.Time, bool) {
	// Noted before the look: the leader's next word may come in between, and what
	// was filled in without it would look younger than it is.
	lease := s.leaseNow()
	heard := b.asOf(lease)
	if !b.serves(request, b.timeAt(lease)) {
		return time.Time{}, false
	}
	found := s.machine.fill(request, answer)
	lacks := b.fill(request, answer)
	if request.Idle && request.Roster != 0 && !request.Listing {
		return heard, answer.orders()
	}
	return heard, found || lacks && !request.Idle
}

// waitFor is the longest that a watch is kept open.
func waitFor(request *WatchRequest) time.Duration {
	switch {
	case request.Relay:
		return relayWait
	case request.Idle:
		return idleWait
	}
	return watchWait
}

// awaitNews waits for one of two channels to be closed, and a little for more.
func awaitNews(ctx context.Context, longest time.Duration, machine, shelves <-chan struct{}) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-machine:
	case <-shelves:
		select {
		case <-machine:
		case <-time.After(gather):
		case <-ctx.Done():
		}
	case <-timer.C:
	case <-ctx.Done():
	}
}

// redirect tells the caller of a watch whom to ask. A caller that is shed is to wait: there
// may be hundreds of them.
func (s *Steward) redirect(request *WatchRequest, shed bool, waited time.Duration) *WatchAnswer {
	s.meter.redirects.Inc()
	answer := &WatchAnswer{Redirect: true, Leader: s.Leader(), Members: s.memberNames(), waited: waited}
	if l := s.leading.Load(); l != nil && request.Entry != nil {
		answer.Relays = l.relays(time.Now())
	}
	switch {
	case len(answer.Relays) == 0 && request.Document == 0:
		// There is nobody else to ask yet, and hundreds ask that have just started.
		answer.Pause = redirectPause
	case shed:
		answer.Pause, answer.Shed = pauseMost, true
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

// followLeader keeps the branch up to date while another host leads, so that
// every control host can tell callers whom to ask, and entries the news.
func (s *Steward) followLeader(ctx context.Context) {
	s.follower.Run(ctx, func() *WatchRequest {
		if s.leading.Load() != nil {
			return nil
		}
		return s.branch.request(s.branch.now())
	}, func(answer *WatchAnswer, asked time.Time) {
		s.branch.take(answer, asked, s.branch.now())
	})
}
