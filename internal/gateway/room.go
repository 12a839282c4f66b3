package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/quarantine"
)

// A runner that is given more prompts than its memory holds fetches the parts
// of those that wait, and drops them again before they are read: all prompts
// are then read from the start, each stays longer, and the runner does not
// recover while requests keep coming. Requests therefore wait at the entry,
// light ones first, until a runner has room.
const (
	// lightTokens is the size in tokens up to which a prompt is light, until an entry
	// knows the sizes that come. Light prompts are worth several times as much for
	// each token of memory and reading as the others: of the overload they feel as
	// little as possible.
	lightTokens = 2000
	// lightMemory is the part of a runner's memory that a light prompt takes at most:
	// prompts that fill it with less than 20 have to wait for room, whatever their size
	// beside the others.
	lightMemory = 0.05
	// roomTokens is the part of a runner's memory that prompts under way may
	// fill; the rest keeps cached parts. Light ones may fill more.
	roomTokens      = 0.85
	roomTokensLight = 1.0
	// roomUnread bounds what a runner has still to read, in milliseconds of its
	// reading: light prompts are read behind it. A prompt longer than that is sent
	// where nothing else is to be read.
	roomUnread = 125.0
	// roomSlots are the slots that only light prompts may take, and roomWaiting
	// how many of them a runner is given beyond its slots.
	roomSlots   = 2
	roomWaiting = 4
	// maxWaiting bounds the requests that wait at one entry.
	maxWaiting = 2048
	// dispatchDepth bounds the waiting requests of a service that are looked at
	// for one that fits.
	dispatchDepth = 16
	// waitShare is the part of its time that a request may wait for room, and
	// waitTarget the part of its route's target. Where room comes free seldom, all
	// that wait longer are answered late, those that come after them too; one that
	// is refused sooner may come back when the burst is over. Light ones take room
	// that comes free many times within their target, and may wait for all of it.
	waitShare       = 0.3
	waitTarget      = 0.3
	waitTargetLight = 1.0
	// returnedShare is the part of its route's usual time from which on a request counts
	// as one that comes for the first time. Those that come with less have been
	// refused or cut off before: they are late whenever they are served, and come
	// back no more. They wait behind those still in time, and as long: in an overload
	// longer waits fill the runners with what is late already.
	returnedShare = 0.9
	// comeBackShare is the part of its time after which a refused caller comes back
	// at the latest, with enough left to be served, and comeBackMost the longest.
	comeBackShare = 0.33
	comeBackMost  = 5 * time.Second
	// waitingMost bounds the prompts that are not light, come for the first time and
	// wait at one entry, returnedMost those that have come back.
	waitingMost  = 3
	returnedMost = 8
)

// patience bounds the waiting for room.
type patience struct {
	// longest is the longest wait, 0 for one by the route's target.
	longest time.Duration
	// heavy is how many prompts that are not light may wait and come for the first
	// time, returned how many that come again.
	heavy, returned int
}

// waiter is a request that waits for room.
type waiter struct {
	run *run
	// granted receives the plan once there is room, nil if the request is to be sent
	// to no upstream.
	granted chan *plan
}

// light reports whether the request takes little of an upstream, as calls of
// plain services and short prompts do.
func (r *run) light() bool {
	return r.request.Prompt == nil || r.request.Prompt.size() <= cmp.Or(r.lightUpTo, lightTokens)
}

// lightOf is up to which size a prompt for a service is light: small beside the
// others that come, and beside a runner's memory.
func (r *run) lightOf(service *catalog.Service) int {
	upTo := r.gateway.state.noteSize(r.service, r.request.Prompt.size())
	if service == nil || service.Engine == nil || service.Engine.MemoryTokens <= 0 {
		return upTo
	}
	return max(min(upTo, int(lightMemory*float64(service.Engine.MemoryTokens))), 1)
}

// size is the most memory that a prompt and its answer take, in tokens.
func (p *Prompt) size() int {
	tokens := p.Output
	for _, part := range p.Parts {
		tokens += part.Tokens
	}
	return tokens
}

// need is what a request takes of an upstream.
type need struct {
	light bool
	// tokens it takes of a runner's memory, of which reads are to be read.
	tokens, reads int
	// memory is the runner's, 0 for a plain service, and unread the most tokens that
	// it should have to read.
	memory, unread int
}

// need describes what the request takes of an upstream of a service.
func (r *run) need(s *state, service *catalog.Service, tokens, reads int) need {
	n := need{light: r.light(), tokens: tokens, reads: reads}
	if service != nil && service.Engine != nil {
		n.memory = service.Engine.MemoryTokens
		n.unread = int(roomUnread * s.readingOf(service.Name).PerMs())
	}
	return n
}

// hasRoom reports whether an upstream has room for a request.
func (u *upstreamState) hasRoom(n need) bool {
	requests := u.own.Requests + u.others.Requests
	if requests == 0 {
		return true
	}
	slots, share := u.record.Slots-roomSlots, roomTokens
	if n.light {
		slots, share = u.record.Slots+roomWaiting, roomTokensLight
	}
	if u.record.Slots > 0 && requests >= max(slots, 1) {
		return false
	}
	if n.memory == 0 {
		return true
	}
	unread := u.own.Unread + u.others.Unread
	if !n.light && unread > 0 && unread+n.reads > n.unread {
		return false
	}
	return float64(u.own.Tokens+u.others.Tokens+n.tokens) <= share*float64(n.memory)
}

// await returns a plan, at once or when an upstream has room.
func (r *run) await(ctx context.Context) (*plan, error) {
	s := r.gateway.state
	s.mu.Lock()
	now := time.Now()
	p, err := r.tryPlan(now)
	if p != nil || err != nil {
		s.mu.Unlock()
		return p, err
	}
	if len(s.waiting) >= maxWaiting || !s.mayWait(r) {
		after := r.comeBackAfter(s, now)
		s.mu.Unlock()
		return nil, r.refusal(outcome.ReasonOverloaded, after, "too many requests wait for an upstream with room")
	}
	w := &waiter{run: r, granted: make(chan *plan, 1)}
	s.enqueue(w)
	s.mu.Unlock()

	timer := time.NewTimer(r.longestWait(s.patience, now))
	defer timer.Stop()
	select {
	case p := <-w.granted:
		r.waited += time.Since(now)
		if p == nil {
			return nil, quarantine.ErrQuarantined
		}
		return p, nil
	case <-timer.C:
	case <-ctx.Done():
		err = &outcome.NotRun{Reason: outcome.ReasonCallerGone, Detail: "the caller left while the request waited"}
	}
	r.waited += time.Since(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dequeue(w)
	if err == nil {
		err = r.refusal(outcome.ReasonOverloaded, r.comeBackAfter(s, time.Now()), "no upstream had room in time")
	}
	select {
	case p := <-w.granted:
		// Room was found at the same moment; nothing was sent yet.
		if p != nil {
			s.unsend(p)
		}
	default:
	}
	return nil, err
}

// comeBackAfter is when the caller of a request that found no room should come back.
// The caller holds the lock.
func (r *run) comeBackAfter(s *state, now time.Time) time.Duration {
	most := time.Duration(comeBackShare * float64(r.deadline.Sub(now)))
	return s.returnsOf(r).RetryAfter(now, comeBack, min(most, comeBackMost), rand.Float64())
}

// longestWait is how long the request may wait for room from now on.
func (r *run) longestWait(p patience, now time.Time) time.Duration {
	share := waitTarget
	if r.light() {
		share = waitTargetLight
	}
	longest := time.Duration(share * float64(r.route.Target))
	longest = cmp.Or(p.longest, longest)
	return min(time.Duration(waitShare*float64(r.deadline.Sub(now))), longest)
}

// before reports whether a request is to be served before another: light ones
// first, then by rank, then those that come for the first time.
func (r *run) before(other *run) bool {
	if r.light() != other.light() {
		return r.light()
	}
	if r.rank() != other.rank() {
		return r.rank() < other.rank()
	}
	return !r.returned() && other.returned()
}

// returned reports whether the request has been refused or cut off before, as far
// as the time tells that it came with.
func (r *run) returned() bool {
	return float64(r.deadline.Sub(r.request.Arrived)) < returnedShare*float64(r.usual)
}

// enqueue puts a request behind those that are as urgent.
func (s *state) enqueue(w *waiter) {
	at := len(s.waiting)
	for at > 0 && w.run.before(s.waiting[at-1].run) {
		at--
	}
	s.waiting = slices.Insert(s.waiting, at, w)
}

// mayWait reports whether one more request like r may wait.
func (s *state) mayWait(r *run) bool {
	if r.light() {
		return true
	}
	most := s.patience.heavy
	if r.returned() {
		most = s.patience.returned
	}
	return s.heavyWaiting(r.returned()) < most
}

// heavyWaiting counts the waiting prompts that are not light, of those that have
// come back or of the others.
func (s *state) heavyWaiting(returned bool) int {
	n := 0
	for _, w := range s.waiting {
		if !w.run.light() && w.run.returned() == returned {
			n++
		}
	}
	return n
}

func (s *state) dequeue(w *waiter) {
	if at := slices.Index(s.waiting, w); at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
}

// dispatch gives room that has come free to those who wait. The caller holds
// the lock.
func (s *state) dispatch(now time.Time) {
	looked := make(map[string]int, 4)
	for at := 0; at < len(s.waiting); {
		w := s.waiting[at]
		if looked[w.run.service] >= dispatchDepth {
			at++
			continue
		}
		looked[w.run.service]++
		p, err := w.run.tryPlan(now)
		if p == nil && err == nil {
			at++
			continue
		}
		if err != nil {
			// No upstream is left; the wait goes on until one appears.
			at++
			continue
		}
		s.waiting = slices.Delete(s.waiting, at, at+1)
		w.granted <- p
	}
}
