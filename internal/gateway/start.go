package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/handover"
	"github.com/lovagereach/lovagereach/internal/wait"
)

const (
	// startWait is how long a request to an entry that has just started waits for the first
	// answer of the control hosts, startShare the fraction of its own time that it may wait.
	// After a restart of all processes the answer arrives only when the control hosts have
	// started and elected a leader. Callers retry only once or twice, and most requests at
	// that time are from callers that were cut off before: a refusal would lose them. Half of
	// their time is left for the answer.
	startWait  = 1500 * time.Millisecond
	startShare = 0.5
	// inventoryWait is how long large prompts wait after that for the first inventories of the
	// stores. It is bounded, since a store can be down for long.
	inventoryWait = 600 * time.Millisecond
	// startSpread is the time over which requests that are late after the wait are spread, so
	// that the next answer of the control hosts reports the loads of the other entries
	// meanwhile.
	startSpread = 400 * time.Millisecond
	// certainShare is the fraction of the constant time per prompt that no runner is faster than.
	certainShare = 0.5
	// maxStarting bounds the requests waiting for the start. Each takes a few KB.
	maxStarting = 1024
)

// awaitConfig returns the configuration in force. At an entry that has just started, requests
// wait for it up to a bound, and large prompts also for the inventories of the stores: without
// them all large prompts would be computed from the first token at the same time. Short
// prompts need little prefill and don't wait for the inventories.
func (g *Gateway) awaitConfig(ctx context.Context, request *Request) (index *catalog.Index, waited bool) {
	index = g.Index()
	if index != nil && (request.Prompt == nil || g.state.hasInventories()) {
		return index, false
	}
	g.state.countStarting(request)
	if g.starting.Add(1) <= maxStarting {
		longest := startWait
		if request.Wait > 0 {
			longest = min(longest, time.Duration(startShare*float64(request.Wait)))
		}
		ctx, cancel := context.WithTimeout(ctx, longest)
		defer cancel()
		awaitClosed(ctx, g.state.started)
		if request.Prompt != nil && request.Prompt.size() > smallTokens {
			awaitClosed(ctx, g.state.inventoriesReady)
		}
	}
	g.starting.Add(-1)
	return g.Index(), true
}

// spread delays a request that waited for the start of this entry and is late already. All
// entries start at the same time and don't know each other's requests yet: if the waiting
// requests were released together, they would delay the requests after them beyond their
// targets.
func (g *Gateway) spread(ctx context.Context, request *Request, route *catalog.Route) {
	if time.Since(request.Arrived) > route.Target {
		wait.For(ctx, rand.N(max(g.state.releaseTime(route), 1)))
	}
}

// countStarting counts the tokens of a prompt that waits for the start. It takes the lock.
func (s *state) countStarting(request *Request) {
	if request.Prompt == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchange.startTokens += request.Prompt.size() - request.Prompt.Output
}

// releaseTime returns the time over which the late requests of a route are released. It takes the
// lock.
func (s *state) releaseTime(route *catalog.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.exchange.enabled {
		return startSpread
	}
	service := route.Targets[0].Service
	return handover.Crowd{
		Tokens: s.exchange.startTokens, Entries: max(s.entries, s.exchange.entries), Runners: len(s.serving[service]),
		PerMs: s.prefillOf(service).PerMs(),
	}.ReleaseTime()
}

// cannotBeServed reports whether the answer to a prompt that waited for the start can't begin before
// its caller's deadline, even at an idle runner.
func (s *state) cannotBeServed(r *run, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.exchange.enabled || r.request.Prompt == nil {
		return false
	}
	baseMs := s.prefillOf(r.service).BaseMs()
	return r.deadline.Sub(now) < time.Duration(certainShare*baseMs*float64(time.Millisecond))
}

func awaitClosed(ctx context.Context, closed <-chan struct{}) {
	select {
	case <-closed:
	case <-ctx.Done():
	}
}
