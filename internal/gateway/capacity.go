package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/quarantine"
)

// A runner that gets more prompts than its memory holds fetches the parts of the waiting
// prompts and evicts them before their prefill. All prompts are then recomputed from the first
// token, each stays longer, and the runner doesn't recover while requests keep arriving.
// Requests therefore wait at the entry, small ones first, until a runner has capacity.
const (
	// smallTokens is the size in tokens up to which a prompt is small, until an entry has
	// observed the sizes of prompts. Small prompts are worth several times as much as large
	// ones per token of memory and prefill, so that an overload is to affect them as little as
	// possible.
	smallTokens = 2000
	// smallMemoryShare is the largest fraction of a runner's memory that a small prompt takes.
	// Prompts of which fewer than 20 fill the memory wait for capacity, whatever their size
	// relative to the others.
	smallMemoryShare = 0.05
	// maxMemoryShare is the fraction of a runner's memory that prompts under way may fill; the
	// rest keeps cached parts. Small prompts may fill more.
	maxMemoryShare      = 0.85
	maxMemoryShareSmall = 1.0
	// maxPendingPrefillMs bounds the pending prefill of a runner in milliseconds of its
	// prefill rate, since small prompts queue behind it. A prompt that takes longer is sent to
	// a runner without pending prefill.
	maxPendingPrefillMs = 125.0
	// reservedSlots is the number of slots that only small prompts may take, smallOverflow the
	// number of small prompts that a runner gets beyond its slots.
	reservedSlots = 2
	smallOverflow = 4
	// lateCapacity is the fraction of its capacity that an upstream gives to requests past their
	// targets: an entry that holds late ones only must leave room for those of other entries that
	// can be in time.
	lateCapacity = 0.75
	// maxWaiting bounds the requests waiting at one entry.
	maxWaiting = 2048
	// waitShare is the fraction of its remaining time that a request may wait for capacity,
	// waitTargetShare the fraction of its route's target. Where capacity is rarely freed,
	// requests that wait longer are answered late, and so are those behind them; a request
	// that is refused earlier can retry after the burst. For small requests capacity is freed
	// many times within their target, so they may wait for all of it.
	waitShare            = 0.3
	waitTargetShare      = 0.3
	waitTargetShareSmall = 1.0
	// firstAttemptShare is the fraction of its route's usual wait from which on a request
	// counts as a first attempt. A request with less time has been refused or cut off before:
	// it is late whenever it is served, and its caller doesn't retry again. It waits behind
	// first attempts and for no longer than they do: in an overload, longer waits would fill
	// the runners with requests that are late already.
	firstAttemptShare = 0.9
	// retryAfterShare is the fraction of its remaining time after which a refused caller
	// retries at the latest, which leaves enough time to be served. maxRetryAfter is the
	// longest delay.
	retryAfterShare = 0.33
	maxRetryAfter   = 5 * time.Second
	// backOffRetryShare is the fraction of that delay after which it is at the earliest if all
	// upstreams back off for longer.
	backOffRetryShare = 0.75
	// maxWaitingFirst bounds the large prompts of first attempts waiting at one entry,
	// maxWaitingRetried those of retries.
	maxWaitingFirst   = 3
	maxWaitingRetried = 8
)

// waitLimits bounds the waiting for capacity.
type waitLimits struct {
	// longest is the longest wait, 0 to derive it from the route's target.
	longest time.Duration
	// first is the number of large prompts of first attempts that may wait, retried the number
	// of those of retries.
	first, retried int
}

// waiter is a request that waits for capacity.
type waiter struct {
	run *run
	// granted receives the plan once an upstream has capacity, or nil if the request was
	// quarantined.
	granted chan *plan
	// id identifies it in the queue of its service, if it is in one.
	id ident.Request
	// beginBy is the time by which its answer must begin.
	beginBy time.Time
	// need is the least capacity that it takes, plannedAt the time of the latest choice of an
	// upstream for it.
	need      need
	plannedAt time.Time
}

// small reports whether the request takes little capacity, as requests to plain services and
// short prompts do.
func (r *run) small() bool {
	return r.request.Prompt == nil || r.request.Prompt.size() <= cmp.Or(r.smallUpTo, smallTokens)
}

// smallLimit returns the size in tokens up to which a prompt for a service is small, relative
// to the other prompts and to a runner's memory.
func (r *run) smallLimit(service *catalog.Service) int {
	upTo := r.gateway.state.observeSize(r.service, r.request.Prompt.size())
	if service == nil || service.Engine == nil || service.Engine.MemoryTokens <= 0 {
		return upTo
	}
	return max(min(upTo, int(smallMemoryShare*float64(service.Engine.MemoryTokens))), 1)
}

// size is the largest number of tokens that a prompt and its answer take in memory.
func (p *Prompt) size() int {
	tokens := p.Output
	for _, part := range p.Parts {
		tokens += part.Tokens
	}
	return tokens
}

// need is the capacity that a request takes of an upstream.
type need struct {
	small bool
	// late indicates that it is past its target and leaves a part of the capacity to others.
	late bool
	// tokens is the memory that the request takes, prefillTokens the part of it that needs a
	// prefill.
	tokens, prefillTokens int
	// memory is the memory of a runner in tokens, 0 for a plain service. maxPendingPrefill
	// bounds the pending prefill of a runner in tokens.
	memory, maxPendingPrefill int
	// connections bounds this entry's connections to the upstream, 0 for no limit.
	connections int
}

// need returns the capacity that the request takes of an upstream of a service.
func (r *run) need(s *state, service *catalog.Service, tokens, prefill int) need {
	n := need{small: r.small(), late: r.leavesCapacity(s), tokens: tokens, prefillTokens: prefill, connections: s.connections(service)}
	if service != nil && service.Engine != nil {
		n.memory = service.Engine.MemoryTokens
		n.maxPendingPrefill = int(r.maxPendingPrefill() * s.prefillOf(service.Name).PerMs())
	}
	return n
}

// leastNeed returns the least capacity that the request takes of an upstream of its service: the
// shared parts of its prompt may be cached there.
func (r *run) leastNeed(s *state) need {
	service := r.index.Service(r.service)
	if r.request.Prompt == nil || service == nil || service.Engine == nil {
		return need{small: true, late: r.leavesCapacity(s)}
	}
	return r.need(s, service, r.expectedSize(s), r.request.Prompt.lastPart())
}

// lastPart is the size in tokens of the part that belongs to the request.
func (p *Prompt) lastPart() int {
	if len(p.Parts) == 0 {
		return 0
	}
	return p.Parts[len(p.Parts)-1].Tokens
}

// hasCapacity reports whether an upstream has capacity for a request.
func (u *upstreamState) hasCapacity(n need) bool {
	requests := u.own.Requests + u.others.Requests
	if requests == 0 {
		return true
	}
	slots, share := u.record.Slots-reservedSlots, maxMemoryShare
	if n.small {
		slots, share = u.record.Slots+smallOverflow, maxMemoryShareSmall
	}
	if n.late {
		slots, share = int(lateCapacity*float64(slots)), lateCapacity*share
	}
	if u.record.Slots > 0 && requests >= max(slots, 1) {
		return false
	}
	if n.memory == 0 {
		return true
	}
	pending := u.own.Unread + u.others.Unread
	if !n.small && pending > 0 && (n.late || pending+n.prefillTokens > n.maxPendingPrefill) {
		return false
	}
	return float64(u.own.Tokens+u.others.Tokens+n.tokens) <= share*float64(n.memory)
}

// await returns a plan, immediately or as soon as an upstream has capacity.
func (r *run) await(ctx context.Context) (*plan, error) {
	s := r.gateway.state
	s.mu.Lock()
	now := time.Now()
	p, w, err := r.enter(s, now)
	longest := r.longestWait(s.waitLimits, now)
	if w != nil {
		s.dispatchAt(r.dueAt, now)
	}
	s.mu.Unlock()
	if w == nil {
		return p, err
	}

	timer := time.NewTimer(longest)
	defer timer.Stop()
	for waits := true; waits; {
		select {
		case p := <-w.granted:
			r.waited += time.Since(now)
			if p == nil {
				return nil, cmp.Or(r.quarantineError(), quarantine.ErrQuarantined)
			}
			return p, nil
		case <-timer.C:
			s.mu.Lock()
			longer := s.mayWaitOn(w, time.Now())
			s.mu.Unlock()
			if waits = longer > 0; waits {
				timer.Reset(longer)
			}
		case <-ctx.Done():
			err = &outcome.NotRun{Reason: outcome.ReasonCallerGone, Detail: "the caller left while the request waited"}
			waits = false
		}
	}
	r.waited += time.Since(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dequeue(w)
	if err == nil {
		err = r.refusal(outcome.ReasonOverloaded, r.retryAfter(s, time.Now()), "no upstream had room in time")
	}
	select {
	case p := <-w.granted:
		// The plan was granted at the same moment; nothing was sent yet.
		if p != nil {
			s.cancel(p)
		}
	default:
	}
	return nil, err
}

// enter returns a plan if an upstream has capacity, else the waiter, or the refusal if the request
// may not wait. The caller holds the lock.
func (r *run) enter(s *state, now time.Time) (*plan, *waiter, error) {
	if s.shares != nil {
		return r.enterQueue(s, now)
	}
	p, err := r.tryPlan(now)
	if p != nil || err != nil {
		return p, nil, err
	}
	if len(s.waiting) >= maxWaiting || !s.mayWait(r) || r.cannotWait(s, now) {
		return nil, nil, r.refusal(outcome.ReasonOverloaded, r.retryAfter(s, now), "too many requests wait for an upstream with room")
	}
	w := &waiter{run: r, granted: make(chan *plan, 1), need: r.leastNeed(s), plannedAt: now}
	s.enqueue(w)
	return nil, w, nil
}

// retryAfter returns the time after which the caller of a request that found no capacity
// should retry. The caller of retryAfter holds the lock.
func (r *run) retryAfter(s *state, now time.Time) time.Duration {
	longest := min(time.Duration(retryAfterShare*float64(r.deadline.Sub(now))), maxRetryAfter)
	// A caller with less time comes at another entry, which upstreams may have asked to back off
	// for less, and not all callers at the same moment.
	busy := max(r.backedOffFor(s, now), s.backlog(r, now))
	least := max(defaultRetryAfter, min(busy, time.Duration(backOffRetryShare*float64(longest))))
	return s.retriesOf(r).RetryAfter(now, least, longest, rand.Float64())
}

// longestWait returns how long the request may wait for capacity from now on.
func (r *run) longestWait(p waitLimits, now time.Time) time.Duration {
	if r.gateway.state.shares != nil {
		return r.longestShareWait(p, now)
	}
	share := waitTargetShare
	if r.small() {
		share = waitTargetShareSmall
	}
	longest := time.Duration(share * float64(r.route.Target))
	longest = cmp.Or(p.longest, longest)
	return min(time.Duration(waitShare*float64(r.deadline.Sub(now))), longest)
}

// precedes reports whether a request is served before another: small ones first, then by rank,
// then first attempts before retries.
func (r *run) precedes(other *run) bool {
	if r.small() != other.small() {
		return r.small()
	}
	if r.rank() != other.rank() {
		return r.rank() < other.rank()
	}
	return !r.isRetry() && other.isRetry()
}

// isRetry reports whether the request has been refused or cut off before, judging by the time
// that its caller has left.
func (r *run) isRetry() bool {
	if r.gateway.state.shares != nil && r.statesRetry() {
		return true
	}
	wait := r.deadline.Sub(r.request.Arrived)
	if r.gateway.state.shares != nil {
		// A request that an entry forwarded has less time than its attempt had.
		wait += r.request.UnderWay
	}
	return float64(wait) < firstAttemptShare*float64(r.usualWait)
}

// enqueue inserts a request behind those of the same precedence.
func (s *state) enqueue(w *waiter) {
	at := len(s.waiting)
	for at > 0 && w.run.precedes(s.waiting[at-1].run) {
		at--
	}
	s.waiting = slices.Insert(s.waiting, at, w)
}

// mayWait reports whether one more request like r may wait.
func (s *state) mayWait(r *run) bool {
	if r.small() {
		return true
	}
	limit := s.waitLimits.first
	if r.isRetry() {
		limit = s.waitLimits.retried
	}
	return s.largeWaiting(r.isRetry()) < limit
}

// largeWaiting counts the waiting large prompts, either of retries or of first attempts.
func (s *state) largeWaiting(retries bool) int {
	n := 0
	for _, w := range s.waiting {
		if !w.run.small() && w.run.isRetry() == retries {
			n++
		}
	}
	return n
}

func (s *state) dequeue(w *waiter) {
	if s.shares != nil {
		s.shares.remove(w)
		return
	}
	if at := slices.Index(s.waiting, w); at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
}
