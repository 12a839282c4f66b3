package entry

import (
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/route"
)

// bringing is a prompt that a request of this entry is about to bring to an
// engine.
type bringing struct {
	blocks []prefix.BlockID
	// landed is closed when the request's import, if any, has ended.
	landed chan struct{}
}

// arrival is how much of a prompt will be at an engine, and when.
type arrival struct {
	upstream ident.Upstream
	blocks   int
	after    time.Duration
}

// minArrival marks a prefix that is late as not yet there.
const minArrival = time.Millisecond

// arrivals lists the engines that are about to hold a beginning of the prompt,
// in the order in which their requests were sent. The caller holds the mutex.
func (e *Entry) arrivals(now time.Time, chain chain) []arrival {
	if len(chain.blocks) == 0 {
		return nil
	}
	var out []arrival
	for _, coming := range e.inFlight.Lookup(route.Prompt(chain.blocks[0])) {
		brought := e.bringing[coming.Request()]
		if brought == nil {
			continue
		}
		next := arrival{
			upstream: coming.Upstream,
			// Prompts with the same beginning need not go on in the same way.
			blocks: commonBlocks(brought.blocks, chain.blocks),
			after:  max(coming.Ready.Sub(now), minArrival),
		}
		at := slices.IndexFunc(out, func(a arrival) bool { return a.upstream == next.upstream })
		switch {
		case at < 0:
			out = append(out, next)
		case next.blocks > out[at].blocks:
			out[at] = next
		}
	}
	return out
}

func commonBlocks(a, b []prefix.BlockID) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// joins returns the end of the import that the plan builds on, nil if there is
// none. The caller holds the mutex.
func (e *Entry) joins(p plan) <-chan struct{} {
	if p.load.CachedAfter == 0 || len(p.chain.blocks) == 0 {
		return nil
	}
	for _, coming := range e.inFlight.Lookup(route.Prompt(p.chain.blocks[0])) {
		brought := e.bringing[coming.Request()]
		if brought != nil && coming.Import && coming.Upstream == p.candidate.Upstream {
			return brought.landed
		}
	}
	return nil
}

// bring records that a request brings its prompt to the engine of its plan. The
// caller holds the mutex.
func (e *Entry) bring(now time.Time, request ident.Request, p plan, blockTokens int) {
	if len(p.chain.blocks) == 0 {
		return
	}
	began := e.inFlight.Begin(route.Prompt(p.chain.blocks[0]), request, route.PendingPrefix{
		Upstream: p.candidate.Upstream,
		Tokens:   len(p.chain.blocks) * blockTokens,
		Ready:    now.Add(p.decision.FirstToken),
		Import:   len(p.sources)+len(p.held) > 0,
	})
	if began {
		e.bringing[request] = &bringing{blocks: p.chain.blocks, landed: make(chan struct{})}
	}
}

// landed lets those go on that wait for the request's import. The caller holds
// the mutex.
func (e *Entry) landed(request ident.Request, p plan) {
	brought := e.bringing[request]
	if brought == nil {
		return
	}
	e.inFlight.ImportDone(route.Prompt(p.chain.blocks[0]), request)
	select {
	case <-brought.landed:
	default:
		close(brought.landed)
	}
}

// brought forgets what the request was to bring: it is there, or it failed. The
// caller holds the mutex.
func (e *Entry) brought(request ident.Request, p plan) {
	if e.bringing[request] == nil {
		return
	}
	e.landed(request, p)
	e.inFlight.End(route.Prompt(p.chain.blocks[0]), request)
	delete(e.bringing, request)
}

// join waits for the import that the plan builds on, at most as long as an
// import may take. Should it bring nothing, the engine computes the prompt.
func (a *answer) join() {
	if a.joining == nil {
		return
	}
	started := time.Now()
	limit := time.NewTimer(a.entry.options.ImportTimeout)
	defer limit.Stop()
	select {
	case <-a.joining:
	case <-limit.C:
	case <-a.ctx.Done():
	}
	a.joined = time.Since(started)
}
