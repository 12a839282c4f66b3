package decision

import (
	"strings"
	"time"
)

// StoreSlowdown is a store that came to count as slow, or as sound again.
type StoreSlowdown struct {
	Store string
	Slow  bool
	// Slowdown is how many times longer its transfers take than its link says.
	Slowdown float64
	// Took and Predicted are those of the transfer that decided.
	Took, Predicted time.Duration
}

// Class implements Event.
func (e *StoreSlowdown) Class() Class { return StateChange }

// Message implements Event.
func (e *StoreSlowdown) Message() string { return "store pace" }

// Fields implements Event.
func (e *StoreSlowdown) Fields() []any {
	return []any{"store", e.Store, "slow", e.Slow, "pace", e.Slowdown, "took_ms", ms(e.Took), "predicted_ms", ms(e.Predicted)}
}

// UpstreamHealth is an upstream that came to be avoided, or trusted again.
type UpstreamHealth struct {
	Upstream string
	Ejected  bool
	// InRow counts the failures in a row, Failures is the share of late.
	InRow    int
	Failures float64
	// Cause is what the last send ended with, nil when it went well.
	Cause error
}

// Class implements Event.
func (e *UpstreamHealth) Class() Class { return StateChange }

// Message implements Event.
func (e *UpstreamHealth) Message() string { return "upstream trust" }

// Fields implements Event.
func (e *UpstreamHealth) Fields() []any {
	return []any{"upstream", e.Upstream, "avoided", e.Ejected, "in_row", e.InRow, "failures", e.Failures, "cause", e.Cause}
}

// UpstreamLost tells of requests that broke off at an upstream, and whether it ended
// or only they did.
type UpstreamLost struct {
	Upstream string
	Crashed  bool
	// Requests are the callers' attempts, and Prints tell the same request in
	// several of them, one for each.
	Requests, Fingerprints []string
}

// lostShown is how many requests a line names; the rest are counted.
const lostShown = 12

// Class implements Event.
func (e *UpstreamLost) Class() Class { return StateChange }

// Message implements Event.
func (e *UpstreamLost) Message() string { return "upstream lost" }

// Fields implements Event.
func (e *UpstreamLost) Fields() []any {
	shown := min(len(e.Requests), lostShown)
	return []any{
		"upstream", e.Upstream, "ended", e.Crashed, "under_way", len(e.Requests),
		"requests", strings.Join(e.Requests[:shown], ","), "prints", strings.Join(e.Fingerprints[:shown], ","),
	}
}
