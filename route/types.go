// Package route chooses where a prompt runs and what it reuses.
//
// For each request it predicts the time to first token of three kinds of plan
// on a bounded set of candidates: queue at a runner that already holds the
// prefix, fetch the missing blocks over the limited links into another runner
// (whole, or in part while the rest is recomputed), and recompute. The models
// behind the predictions are learned for each upstream from finished requests
// and are bounded, so that a lagging or wrong report bends a choice but can't
// make it absurd. Among the plans that keep the class target the cheapest in
// accelerator and link time wins, so a request with slack waits for its blocks
// instead of recomputing them.
package route

import (
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// MaxCandidates bounds the candidates that one Plan looks at; further ones are
// ignored. The caller offers holders of the prefix first, then a sample of the
// least loaded.
const MaxCandidates = 16

// MaxCopies bounds the runs of stored blocks that one Plan looks at.
const MaxCopies = 32

// ErrNoCandidate reports a request without any candidate.
var ErrNoCandidate = errors.New("route: no candidate")

// Candidate is an upstream that may run the request, with its load corrected
// for what the caller knows to have happened since the last report.
type Candidate struct {
	Upstream   ident.Upstream
	DataCentre ident.DataCentre
	// Slots is how many requests the upstream runs at once, zero if unknown.
	Slots int
	// Running and Queued count requests at the upstream.
	Running, Queued int
	// QueuedTokens is the prompt work that runs before this request, in tokens.
	QueuedTokens int64
	// LoadAge is how old the report behind these figures is.
	LoadAge time.Duration
	// CachedTokens is the length of the prompt's prefix in the upstream's cache.
	CachedTokens int
	// CachedAfter is how long it still takes until CachedTokens are there, for
	// a prefix that another request is bringing; see InFlight.
	CachedAfter time.Duration
	// CacheAccuracy is how much of what the upstream was thought to hold it has lately
	// been found to hold, over 0 to 1. Zero means 1.
	CacheAccuracy float64
	// PendingImportBytes is what own fetches still move into the upstream.
	PendingImportBytes int64
	// LinkBytesPerSecond is the capacity of the upstream's link, zero if unknown.
	LinkBytesPerSecond int64
	// NetworkDelay is the one-way delay to the upstream.
	NetworkDelay time.Duration
	// Share is the part of a full load that an upstream in slow start takes,
	// over 0 to 1. Zero means 1.
	Share float64
	// Overlaps tells that the engine uses blocks which arrive during prefill,
	// so that the request can be sent before its fetch is complete.
	Overlaps bool
}

// Copy is a run of consecutive blocks of the prompt on one store host.
type Copy struct {
	Store ident.Upstream
	// From and To bound the run in prompt tokens, From inclusive.
	From, To int
	Bytes    int64
	// PendingBytes is what own fetches still read from the store.
	PendingBytes int64
	// LinkBytesPerSecond is the capacity of the store's link, zero if unknown.
	LinkBytesPerSecond int64
	// LinkBusy is the reported share of the link used by others, 0 to 1.
	LinkBusy float64
	// Slow marks a tier below memory.
	Slow bool
}

// Request is one prompt to place.
type Request struct {
	PromptTokens int
	// Arrived is when the caller's request came in.
	Arrived time.Time
	// Target is the class target for the first token, counted from Arrived.
	Target time.Duration
	// Deadline is when the first token is of no more use, zero if never.
	Deadline   time.Time
	Candidates []Candidate
	Copies     []Copy
}

// Kind is how a plan comes by the prompt's KV cache.
type Kind uint8

// The kinds of plan.
const (
	// Reuse runs where the prefix is; a tail that nothing holds is computed.
	Reuse Kind = iota + 1
	// Fetch imports every stored block that the upstream lacks.
	Fetch
	// PartialFetch imports some of them while the upstream computes the rest.
	PartialFetch
	// Recompute uses nothing but what the upstream holds by chance.
	Recompute
)

var kindNames = [...]string{Reuse: "reuse", Fetch: "fetch", PartialFetch: "partial-fetch", Recompute: "recompute"}

// String returns the name used in audit records and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return "invalid"
}

// Part is a run of tokens to import from one store host.
type Part struct {
	Store    ident.Upstream
	From, To int
	Bytes    int64
}

// Prediction is one plan that was weighed.
type Prediction struct {
	Upstream ident.Upstream
	Kind     Kind
	// Wait, Fetch and Prefill are the parts of FirstToken; they may overlap.
	Wait, Fetch, Prefill time.Duration
	// FirstToken is the predicted time from now to the first token.
	FirstToken time.Duration
	// Margin is how far FirstToken is likely to be off.
	Margin time.Duration
	// CachedTokens, FetchTokens and RecomputeTokens add up to the prompt.
	CachedTokens, FetchTokens, RecomputeTokens int
	FetchBytes                                 int64
	// Cost is what the choice minimises, in seconds of weighted work.
	Cost float64
}

// Decision is the chosen plan with those it was weighed against.
type Decision struct {
	Prediction
	// Parts is what to import, in prompt order; empty unless Kind is Fetch or
	// PartialFetch.
	Parts []Part
	// Verify asks to name the blocks believed to be cached in an import too: the
	// engine keeps those it has and fetches the others, so that a lost cache
	// event costs a fetch and not a recompute.
	Verify bool
	// MeetsTarget tells whether the first token is predicted within target.
	MeetsTarget bool
	// Slack is the predicted time to spare before the target.
	Slack time.Duration
	// Considered holds every plan weighed, for the audit record.
	Considered []Prediction
}

// Observation is what a finished request showed.
type Observation struct {
	Upstream ident.Upstream
	// Target is that of the request: what has less slack waits less.
	Target time.Duration
	// QueuedTokens and Excess are those of the candidate at the decision:
	// prompt work ahead, and requests beyond the free slots.
	QueuedTokens int64
	Excess       int
	// Wait is the measured time in the upstream's queue.
	Wait time.Duration
	// RecomputedTokens took Prefill to compute. Zero tokens teach nothing.
	RecomputedTokens int
	Prefill          time.Duration
	// Predicted and FirstToken compare the prediction with the outcome.
	Predicted, FirstToken time.Duration
}

// Transfer is what a finished import from one store host showed.
type Transfer struct {
	Store ident.Upstream
	// Slow tells that the blocks came from a tier below memory.
	Slow bool
	// PendingBytes was ahead of it on the link when it started.
	PendingBytes int64
	Bytes        int64
	Took         time.Duration
}

// Excess returns how many requests must end before one more can start.
func (c Candidate) Excess() int {
	if c.Slots <= 0 {
		return 0
	}
	return max(0, c.Running+c.Queued+1-c.Slots)
}
