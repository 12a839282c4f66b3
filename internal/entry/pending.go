package entry

import (
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/route"
)

// pendingPrompt describes the blocks that an in-flight request of this entry is
// going to place in an engine's cache.
type pendingPrompt struct {
	blocks []prefix.BlockID
	// importDone is closed when the request's import, if it has one, has ended.
	importDone chan struct{}
}

// pendingPrefix is the part of a prompt that an engine is going to hold, and
// the expected delay until then.
type pendingPrefix struct {
	upstream ident.Upstream
	blocks   int
	after    time.Duration
}

// minPendingDelay is the delay of an overdue prefix. It is above zero, so that
// the prefix does not count as present.
const minPendingDelay = time.Millisecond

// pendingPrefixes lists the engines that are going to hold a prefix of the
// prompt, in the order in which the requests that cause it were sent. The
// caller holds the mutex.
func (e *Entry) pendingPrefixes(now time.Time, chain chain) []pendingPrefix {
	if len(chain.blocks) == 0 {
		return nil
	}
	var out []pendingPrefix
	for _, inFlight := range e.inFlight.Lookup(route.Prompt(chain.blocks[0])) {
		prompt := e.pendingPrompts[inFlight.Request()]
		if prompt == nil {
			continue
		}
		pending := pendingPrefix{
			upstream: inFlight.Upstream,
			// Prompts with the same first block may differ in later ones.
			blocks: commonBlocks(prompt.blocks, chain.blocks),
			after:  max(inFlight.Ready.Sub(now), minPendingDelay),
		}
		at := slices.IndexFunc(out, func(a pendingPrefix) bool { return a.upstream == pending.upstream })
		switch {
		case at < 0:
			out = append(out, pending)
		case pending.blocks > out[at].blocks:
			out[at] = pending
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

// joinableImport returns the channel that is closed at the end of the import on
// which the plan relies, nil if there is none. The caller holds the mutex.
func (e *Entry) joinableImport(p plan) <-chan struct{} {
	if p.load.CachedAfter == 0 || len(p.chain.blocks) == 0 {
		return nil
	}
	for _, inFlight := range e.inFlight.Lookup(route.Prompt(p.chain.blocks[0])) {
		prompt := e.pendingPrompts[inFlight.Request()]
		if prompt != nil && inFlight.Import && inFlight.Upstream == p.candidate.Upstream {
			return prompt.importDone
		}
	}
	return nil
}

// addPending records that a request is going to place its prompt in the cache
// of the plan's engine. The caller holds the mutex.
func (e *Entry) addPending(now time.Time, request ident.Request, p plan, blockTokens int) {
	if len(p.chain.blocks) == 0 {
		return
	}
	added := e.inFlight.Begin(route.Prompt(p.chain.blocks[0]), request, route.PendingPrefix{
		Upstream: p.candidate.Upstream,
		Tokens:   len(p.chain.blocks) * blockTokens,
		Ready:    now.Add(p.decision.FirstToken),
		Import:   len(p.sources)+len(p.cachedSources) > 0,
	})
	if added {
		e.pendingPrompts[request] = &pendingPrompt{blocks: p.chain.blocks, importDone: make(chan struct{})}
	}
}

// importEnded releases the requests that wait for this request's import. The
// caller holds the mutex.
func (e *Entry) importEnded(request ident.Request, p plan) {
	prompt := e.pendingPrompts[request]
	if prompt == nil {
		return
	}
	e.inFlight.ImportDone(route.Prompt(p.chain.blocks[0]), request)
	select {
	case <-prompt.importDone:
	default:
		close(prompt.importDone)
	}
}

// removePending removes the request's pending prompt, which is now in the cache
// or has failed. The caller holds the mutex.
func (e *Entry) removePending(request ident.Request, p plan) {
	if e.pendingPrompts[request] == nil {
		return
	}
	e.importEnded(request, p)
	e.inFlight.End(route.Prompt(p.chain.blocks[0]), request)
	delete(e.pendingPrompts, request)
}

// awaitJoinedImport waits for the import on which the plan relies, up to
// ImportTimeout. If the import fails, the engine computes the prompt.
func (a *answer) awaitJoinedImport() {
	if a.joinedImport == nil {
		return
	}
	started := time.Now()
	limit := time.NewTimer(a.entry.options.ImportTimeout)
	defer limit.Stop()
	select {
	case <-a.joinedImport:
	case <-limit.C:
	case <-a.ctx.Done():
	}
	a.joinWait = time.Since(started)
}
