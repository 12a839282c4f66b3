// Package route chooses the upstream on which a prompt runs and the KV cache that it
// reuses.
//
// For each request it predicts the time to first token of three kinds of plan on a
// bounded set of candidates: queue at a runner that already holds the prefix; fetch
// the missing blocks over the limited links into another runner, either all of them
// or some while the rest is recomputed; or recompute. The models behind the
// predictions are learned per upstream from finished requests. They are bounded, so
// that a delayed or wrong report shifts a choice but cannot make it absurd. Among the
// plans that meet the class target the one with the least accelerator and link time
// wins, so a request with slack waits for its blocks instead of recomputing them.
package route

import (
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// MaxCandidates bounds the candidates that one Plan considers; further ones are
// ignored. The caller offers holders of the prefix first, then a sample of the least
// loaded upstreams.
const MaxCandidates = 16

// MaxCopies bounds the runs of stored blocks that one Plan considers.
const MaxCopies = 32

// ErrNoCandidate reports a request without any candidate.
var ErrNoCandidate = errors.New("route: no candidate")

// Candidate is an upstream that may run the request. Its load is the last report,
// corrected for what the caller knows to have happened since.
type Candidate struct {
	Upstream   ident.Upstream
	DataCentre ident.DataCentre
	// Slots is the number of requests that the upstream runs at the same time, zero
	// if unknown.
	Slots int
	// Running and Queued are the numbers of requests that run and wait at the
	// upstream.
	Running, Queued int
	// QueuedTokens is the prompt work that runs before this request, in tokens.
	QueuedTokens int64
	// LoadAge is the age of the report behind these figures.
	LoadAge time.Duration
	// CachedTokens is the length of the prompt's prefix in the upstream's cache, in
	// tokens.
	CachedTokens int
	// CachedAfter is the time until CachedTokens are available, for a prefix that
	// another request is importing or computing; see InFlight.
	CachedAfter time.Duration
	// CacheAccuracy is the fraction, over 0 to 1, of the blocks recorded for the
	// upstream that were recently found there. Zero means 1.
	CacheAccuracy float64
	// PendingImportBytes is the number of bytes that this process's fetches are still
	// moving into the upstream.
	PendingImportBytes int64
	// LinkBytesPerSecond is the capacity of the upstream's link, zero if unknown.
	LinkBytesPerSecond int64
	// NetworkDelay is the one-way delay to the upstream.
	NetworkDelay time.Duration
	// Share is the fraction of a full load that an upstream in slow start accepts,
	// over 0 to 1. Zero means 1.
	Share float64
	// Overlaps is set if the engine uses blocks that arrive during prefill, so that
	// the request can be sent before its fetch is complete.
	Overlaps bool
}

// Copy is a run of consecutive blocks of the prompt on one store host.
type Copy struct {
	Store ident.Upstream
	// From and To bound the run in prompt tokens, From inclusive.
	From, To int
	Bytes    int64
	// PendingBytes is the number of bytes that this process's fetches are still
	// reading from the store.
	PendingBytes int64
	// LinkBytesPerSecond is the capacity of the store's link, zero if unknown.
	LinkBytesPerSecond int64
	// LinkBusy is the reported share of the link used by others, 0 to 1.
	LinkBusy float64
	// Slow is set if the blocks are in a storage tier below memory.
	Slow bool
}

// Request is one prompt to place.
type Request struct {
	PromptTokens int
	// Arrived is the time at which the caller's request arrived.
	Arrived time.Time
	// Target is the class target of the time to first token, counted from Arrived.
	Target time.Duration
	// Deadline is the time after which the first token is useless, zero if there is
	// none.
	Deadline   time.Time
	Candidates []Candidate
	Copies     []Copy
}

// Kind is the way in which a plan obtains the prompt's KV cache.
type Kind uint8

// Values of Kind.
const (
	// Reuse runs where the prefix is cached; a tail that no upstream or store holds
	// is computed.
	Reuse Kind = iota + 1
	// Fetch imports every stored block that the upstream lacks.
	Fetch
	// PartialFetch imports some of the stored blocks while the upstream computes the
	// others.
	PartialFetch
	// Recompute computes the prompt, except for blocks that the upstream happens to
	// hold.
	Recompute
)

var kindNames = [...]string{Reuse: "reuse", Fetch: "fetch", PartialFetch: "partial-fetch", Recompute: "recompute"}

// String returns the kind as used in audit records and metrics.
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

// Prediction is one considered plan with its predicted times and cost.
type Prediction struct {
	Upstream ident.Upstream
	Kind     Kind
	// Wait, Fetch and Prefill are the components of FirstToken; they may overlap.
	Wait, Fetch, Prefill time.Duration
	// FirstToken is the predicted time from now to the first token.
	FirstToken time.Duration
	// Margin is the time by which FirstToken is likely to be off.
	Margin time.Duration
	// CachedTokens, FetchTokens and RecomputeTokens add up to the prompt.
	CachedTokens, FetchTokens, RecomputeTokens int
	FetchBytes                                 int64
	// Cost is the value that the choice minimises, in seconds of weighted work.
	Cost float64
}

// Decision is the chosen plan together with all that were considered.
type Decision struct {
	Prediction
	// Parts are the runs to import, in prompt order; empty unless Kind is Fetch or
	// PartialFetch.
	Parts []Part
	// Verify is set if an import is to list the blocks recorded as cached too. The
	// engine keeps those that it has and fetches the others, so that a lost cache
	// event costs a fetch instead of a recompute.
	Verify bool
	// MeetsTarget reports whether the first token is predicted within the target.
	MeetsTarget bool
	// Slack is the predicted time between the first token and the target, negative if
	// late.
	Slack time.Duration
	// Considered lists every plan that was considered, for the audit record.
	Considered []Prediction
}

// Observation is the measured outcome of a finished request.
type Observation struct {
	Upstream ident.Upstream
	// Target is the class target of the request. Engines run requests with less slack
	// first, so the target affects the wait.
	Target time.Duration
	// QueuedTokens and Excess are those of the candidate at the time of the decision:
	// the prompt work ahead, and the requests beyond the free slots.
	QueuedTokens int64
	Excess       int
	// Wait is the measured time in the upstream's queue.
	Wait time.Duration
	// RecomputedTokens is the number of tokens that the upstream computed, in the
	// time Prefill. If it is zero, nothing is learned about prefill.
	RecomputedTokens int
	Prefill          time.Duration
	// Predicted and FirstToken are the predicted and the measured time to first
	// token.
	Predicted, FirstToken time.Duration
}

// Transfer is the measured outcome of a finished import from one store host.
type Transfer struct {
	Store ident.Upstream
	// Slow is set if the blocks came from a storage tier below memory.
	Slow bool
	// PendingBytes is the number of bytes that were ahead of it on the link when it
	// started.
	PendingBytes int64
	Bytes        int64
	Took         time.Duration
}

// Excess returns the number of requests that must finish before one more can start.
func (c Candidate) Excess() int {
	if c.Slots <= 0 {
		return 0
	}
	return max(0, c.Running+c.Queued+1-c.Slots)
}
