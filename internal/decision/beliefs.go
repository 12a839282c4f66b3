package decision

import "time"

// StorePace is a store that came to count as slow, or as sound again.
type StorePace struct {
	Store string
	Slow  bool
	// Pace is how many times longer its transfers take than its link says.
	Pace float64
	// Took and Predicted are those of the transfer that decided.
	Took, Predicted time.Duration
}

// Class implements Event.
func (e *StorePace) Class() Class { return Belief }

// Message implements Event.
func (e *StorePace) Message() string { return "store pace" }

// Fields implements Event.
func (e *StorePace) Fields() []any {
	return []any{"store", e.Store, "slow", e.Slow, "pace", e.Pace, "took_ms", ms(e.Took), "predicted_ms", ms(e.Predicted)}
}

// UpstreamTrust is an upstream that came to be avoided, or trusted again.
type UpstreamTrust struct {
	Upstream string
	Avoided  bool
	// InRow counts the failures in a row, Failures is the share of late.
	InRow    int
	Failures float64
	// Cause is what the last send ended with, nil when it went well.
	Cause error
}

// Class implements Event.
func (e *UpstreamTrust) Class() Class { return Belief }

// Message implements Event.
func (e *UpstreamTrust) Message() string { return "upstream trust" }

// Fields implements Event.
func (e *UpstreamTrust) Fields() []any {
	return []any{"upstream", e.Upstream, "avoided", e.Avoided, "in_row", e.InRow, "failures", e.Failures, "cause", e.Cause}
}
