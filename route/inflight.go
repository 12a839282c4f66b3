package route

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// MaxInFlightPrompts bounds the prompts tracked by an InFlight.
const MaxInFlightPrompts = 1 << 14

// maxUpstreamsPerPrompt bounds the upstreams tracked for one prompt.
const maxUpstreamsPerPrompt = 4

// InFlight tracks the upstreams that will soon hold a prompt because this process is
// importing or computing it there. Without it, several requests for the same prompt
// within a second would each fetch it to another upstream: cache events report blocks
// only once they are stored, and with a delay. It is not safe for concurrent use.
type InFlight struct {
	prompts map[Prompt][]PendingPrefix
}

// Prompt identifies a kept prompt by its first block.
type Prompt [16]byte

// PendingPrefix is a prefix of a prompt that an upstream will soon hold.
type PendingPrefix struct {
	Upstream ident.Upstream
	// Tokens is the length of the prefix.
	Tokens int
	// Ready is the time at which the prefix is expected to be usable.
	Ready time.Time
	// Import is set while the prefix is being fetched, so that no request that uses
	// it may be sent before Ready. A prefix that a request in the upstream's queue
	// computes is available to the requests that queue behind it.
	Import bool
	// request is the request that imports or computes the prefix.
	request ident.Request
}

// NewInFlight returns an empty InFlight.
func NewInFlight() *InFlight {
	return &InFlight{prompts: make(map[Prompt][]PendingPrefix)}
}

// Begin records that a request imports or computes a prefix of a prompt at an
// upstream. It returns false if too many prompts, or too many upstreams for this
// prompt, are tracked already.
func (f *InFlight) Begin(prompt Prompt, request ident.Request, a PendingPrefix) bool {
	list, known := f.prompts[prompt]
	if !known && len(f.prompts) >= MaxInFlightPrompts || len(list) >= maxUpstreamsPerPrompt {
		return false
	}
	a.request = request
	f.prompts[prompt] = append(list, a)
	return true
}

// ImportDone records that a request's import has ended, so that no other request
// waits for it. The prefix is in use, and recorded, until the request's own first
// token.
func (f *InFlight) ImportDone(prompt Prompt, request ident.Request) {
	list := f.prompts[prompt]
	for i := range list {
		if list[i].request == request {
			list[i].Import = false
		}
	}
}

// End removes the prefix that a request was to import or compute, because it is there
// or has failed.
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

// Lookup returns the pending prefixes of a prompt. The caller must not modify the
// result.
func (f *InFlight) Lookup(prompt Prompt) []PendingPrefix { return f.prompts[prompt] }

// Request returns the request that imports or computes the prefix.
func (a PendingPrefix) Request() ident.Request { return a.request }
