package route

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// MaxInFlightPrompts bounds the prompts that an InFlight follows.
const MaxInFlightPrompts = 1 << 14

// maxRunners bounds the upstreams followed for one prompt.
const maxRunners = 4

// InFlight remembers which upstreams are about to hold a prompt, because this
// process is importing or computing it there. Without it, the questions that
// follow one another within a second about the same prompt would each fetch it
// to another upstream: cache events tell of blocks only when they are there,
// and late. It is not safe for concurrent use.
type InFlight struct {
	prompts map[Prompt][]PendingPrefix
}

// Prompt names a kept prompt by its first block.
type Prompt [16]byte

// PendingPrefix is a prompt's prefix that an upstream will hold.
type PendingPrefix struct {
	Upstream ident.Upstream
	// Tokens is the length of the prefix.
	Tokens int
	// Ready is when it is expected to be usable.
	Ready time.Time
	// Import tells that it is being fetched, so that a request must not be
	// sent before Ready; a prefix that is computed by a request in the
	// upstream's queue is used by those which queue behind it.
	Import bool
	// request is the one that brings it there.
	request ident.Request
}

// NewInFlight returns an empty InFlight.
func NewInFlight() *InFlight {
	return &InFlight{prompts: make(map[Prompt][]PendingPrefix)}
}

// Begin records that a request brings a prefix of a prompt to an upstream. It
// reports false when too many prompts are followed already.
func (f *InFlight) Begin(prompt Prompt, request ident.Request, a PendingPrefix) bool {
	list, known := f.prompts[prompt]
	if !known && len(f.prompts) >= MaxInFlightPrompts || len(list) >= maxRunners {
		return false
	}
	a.request = request
	f.prompts[prompt] = append(list, a)
	return true
}

// ImportDone records that a request's import has ended, so that no one waits for it
// any more; the prefix is in use until the request's own first token.
func (f *InFlight) ImportDone(prompt Prompt, request ident.Request) {
	list := f.prompts[prompt]
	for i := range list {
		if list[i].request == request {
			list[i].Import = false
		}
	}
}

// End forgets what a request was to bring: it is there, or it failed.
func (f *InFlight) End(prompt Prompt, request ident.Request) {
	list := f.prompts[prompt]
	kept := list[:0]
	for _, a := range list {
		if a.request != request {
			kept = append(kept, a)
		}
	}
	if len(kept) == 0 {
		delete(f.prompts, prompt)
		return
	}
	f.prompts[prompt] = kept
}

// Lookup lists where a prompt is about to be. The result must not be changed.
func (f *InFlight) Lookup(prompt Prompt) []PendingPrefix { return f.prompts[prompt] }

// Request tells which request brings the prefix, for those that wait for it.
func (a PendingPrefix) Request() ident.Request { return a.request }
