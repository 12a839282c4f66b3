package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
)

// A runner that is given more prompts than its memory holds fetches the parts
// of those that wait, and drops them again before they are read: all prompts
// are then read from the start, each stays longer, and the runner does not
// recover while requests keep coming. Requests therefore wait at the entry,
// light ones first, until a runner has room.
const (
	// lightTokens is the size in tokens up to which a prompt is light. Light
	// prompts are worth several times as much for each token of memory and
	// reading as the others: of the overload they feel as little as possible.
	lightTokens = 2000
	// roomTokens is the part of a runner's memory that prompts under way may
	// fill; the rest keeps cached parts. Light ones may fill more.
	roomTokens      = 0.85
	roomTokensLight = 1.0
	// roomUnread bounds the tokens that a runner has still to read, about
	// 120 ms of its work: light prompts are read behind them. A prompt longer
	// than that is sent where nothing else is to be read.
	roomUnread = 15000
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
	// waitMost the longest: callers leave a stream after 2 s without an event,
	// and one that is refused sooner may come back in time.
	waitShare = 0.3
	waitMost  = 150 * time.Millisecond
	// waitingMost bounds the prompts that are not light and wait at one entry.
	waitingMost = 3
)

// patience bounds the waiting for room.
type patience struct {
	longest time.Duration
	// heavy is how many prompts that are not light may wait.
	heavy int
}

// waiter is a request that waits for room.
type waiter struct {
	run *run
	// granted receives the plan once there is room.
	granted chan *plan
}

// light reports whether the request takes little of an upstream, as calls of
// plain services and short prompts do.
func (r *run) light() bool {
	return r.request.Prompt == nil || r.request.Prompt.light()
}

func (p *Prompt) light() bool {
	tokens := p.Output
	for _, part := range p.Parts {
		tokens += part.Tokens
	}
	return tokens <= lightTokens
}

// hasRoom reports whether an upstream has room for a request with so many
// tokens, of which reads are to be read. memory is that of a runner, 0 for a
// plain service.
func (u *upstreamState) hasRoom(light bool, tokens, reads, memory int) bool {
	requests := u.own.Requests + u.others.Requests
	if requests == 0 {
		return true
	}
	slots, share := u.record.Slots-roomSlots, roomTokens
	if light {
		slots, share = u.record.Slots+roomWaiting, roomTokensLight
	}
	if u.record.Slots > 0 && requests >= max(slots, 1) {
		return false
	}
	if memory == 0 {
		return true
	}
	unread := u.own.Unread + u.others.Unread
	if !light && unread > 0 && unread+reads > roomUnread {
		return false
	}
	return float64(u.own.Tokens+u.others.Tokens+tokens) <= share*float64(memory)
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
	if len(s.waiting) >= maxWaiting || (!r.light() && s.heavyWaiting() >= s.patience.heavy) {
		s.mu.Unlock()
		return nil, r.refusal(outcome.ReasonOverloaded, comeBack, "too many requests wait for an upstream with room")
	}
	w := &waiter{run: r, granted: make(chan *plan, 1)}
	s.enqueue(w)
	s.mu.Unlock()

	left := r.deadline.Sub(now)
	timer := time.NewTimer(min(time.Duration(waitShare*float64(left)), s.patience.longest))
	defer timer.Stop()
	select {
	case p := <-w.granted:
		r.waited += time.Since(now)
		return p, nil
	case <-timer.C:
		err = r.refusal(outcome.ReasonOverloaded, comeBack, "no upstream had room in time")
	case <-ctx.Done():
		err = &outcome.NotRun{Reason: outcome.ReasonCallerGone, Detail: "the caller left while the request waited"}
	}
	r.waited += time.Since(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dequeue(w)
	select {
	case p := <-w.granted:
		// Room was found at the same moment; nothing was sent yet.
		s.settle(p)
		s.forgetPending(p)
	default:
	}
	return nil, err
}

// before reports whether a request is to be served before another: light ones
// first, then by rank.
func (r *run) before(other *run) bool {
	if r.light() != other.light() {
		return r.light()
	}
	return r.rank() < other.rank()
}

// enqueue puts a request behind those that are as urgent.
func (s *state) enqueue(w *waiter) {
	at := len(s.waiting)
	for at > 0 && w.run.before(s.waiting[at-1].run) {
		at--
	}
	s.waiting = slices.Insert(s.waiting, at, w)
}

// heavyWaiting counts the waiting prompts that are not light.
func (s *state) heavyWaiting() int {
	n := 0
	for _, w := range s.waiting {
		if !w.run.light() {
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
