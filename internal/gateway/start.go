package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/wait"
)

const (
	// startWait is how long a request waits for the first word of the control
	// hosts to an entry that has just started, and startShare the part of its own time that
	// it may wait. After a restart of all processes the word comes only when the hosts
	// have started and one is elected. Callers come back once or twice only, and most of
	// those that ask then were cut off before: refused, they are lost. Half of their
	// time is left for the answer.
	startWait  = 1500 * time.Millisecond
	startShare = 0.5
	// stockedWait is how long large prompts wait after it for the first word on the
	// stores. Stores that are down for long must not hold up requests for ever.
	stockedWait = 600 * time.Millisecond
	// startSpread is over how long requests are let go that are late by then, so that
	// the next word of the control hosts brings the other entries' loads meanwhile.
	startSpread = 400 * time.Millisecond
	// startingMost bounds the requests that wait so. Each takes a few KB.
	startingMost = 1024
)

// awaitStart returns the configuration in force. An entry that has just started
// lets requests wait for it a little, and large prompts also for the word on what
// the stores hold: without it each would be read from its first token, all at
// once. Short ones have little to read, and go without it.
func (g *Gateway) awaitStart(ctx context.Context, request *Request) (index *catalog.Index, waited bool) {
	index = g.Index()
	if index != nil && (request.Prompt == nil || g.state.isStocked()) {
		return index, false
	}
	if g.starting.Add(1) <= startingMost {
		longest := startWait
		if request.Wait > 0 {
			longest = min(longest, time.Duration(startShare*float64(request.Wait)))
		}
		ctx, cancel := context.WithTimeout(ctx, longest)
		defer cancel()
		awaitClosed(ctx, g.state.started)
		if request.Prompt != nil && request.Prompt.size() > lightTokens {
			awaitClosed(ctx, g.state.stocked)
		}
	}
	g.starting.Add(-1)
	return g.Index(), true
}

// spread delays a request that waited for the start of this entry and is late
// already. All entries start at once and know nothing of each other's requests
// yet: let go together, those that waited would make the ones late that come
// after them.
func spread(ctx context.Context, request *Request, route *catalog.Route) {
	if time.Since(request.Arrived) > route.Target {
		wait.For(ctx, rand.N(startSpread))
	}
}

func awaitClosed(ctx context.Context, closed <-chan struct{}) {
	select {
	case <-closed:
	case <-ctx.Done():
	}
}
