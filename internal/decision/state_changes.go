package decision

import (
	"math"
	"strings"
	"time"
)

// StoreSlowdown is logged when a store starts or stops counting as slow.
type StoreSlowdown struct {
	Store string
	Slow  bool
	// Slowdown is the ratio of the store's transfer times to the times predicted from its
	// link rate.
	Slowdown float64
	// Took and Predicted are the times of the transfer that caused the change.
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

// UpstreamHealth is logged when an upstream is ejected or reinstated.
type UpstreamHealth struct {
	Upstream string
	Ejected  bool
	// ConsecutiveFailures is the number of consecutive failures; Failures is the recent share of failed
	// sends.
	ConsecutiveFailures int
	FailureRate         float64
	// Cause is the error of the last send, nil if it succeeded.
	Cause error
}

// Class implements Event.
func (e *UpstreamHealth) Class() Class { return StateChange }

// Message implements Event.
func (e *UpstreamHealth) Message() string { return "upstream trust" }

// Fields implements Event.
func (e *UpstreamHealth) Fields() []any {
	return []any{"upstream", e.Upstream, "avoided", e.Ejected, "in_row", e.ConsecutiveFailures, "failures", e.FailureRate, "cause", e.Cause}
}

// InvalidAnswer is logged when an upstream sends bytes that are not what is due in its answer.
type InvalidAnswer struct {
	// Request is the ID of the caller's attempt, Send the number of its send.
	Request, Route, Upstream, Software string
	Send                               int
	Reason, Detail                     string
	// ID is the identity of what came, where event Due was due.
	ID  string
	Due uint64
	// Begun indicates that the caller has received the answer's beginning.
	Begun bool
}

// Class implements Event.
func (e *InvalidAnswer) Class() Class { return StateChange }

// Message implements Event.
func (e *InvalidAnswer) Message() string { return "invalid answer" }

// Fields implements Event.
func (e *InvalidAnswer) Fields() []any {
	return []any{
		"request", e.Request, "route", e.Route, "upstream", e.Upstream, "software", e.Software, "sends", e.Send, "reason", e.Reason,
		"detail", e.Detail, "event", e.ID, "due", e.Due, "begun", e.Begun,
	}
}

// UpstreamBackOff is logged when an upstream asks an entry to send it nothing for a time.
type UpstreamBackOff struct {
	Upstream string
	Wait     time.Duration
}

// Class implements Event.
func (e *UpstreamBackOff) Class() Class { return StateChange }

// Message implements Event.
func (e *UpstreamBackOff) Message() string { return "upstream back-off" }

// Fields implements Event.
func (e *UpstreamBackOff) Fields() []any {
	return []any{"upstream", e.Upstream, "wait_ms", ms(e.Wait)}
}

// UpstreamLeaving is logged when an upstream states in an answer that it leaves.
type UpstreamLeaving struct {
	Upstream string
}

// Class implements Event.
func (e *UpstreamLeaving) Class() Class { return StateChange }

// Message implements Event.
func (e *UpstreamLeaving) Message() string { return "upstream leaving" }

// Fields implements Event.
func (e *UpstreamLeaving) Fields() []any { return []any{"upstream", e.Upstream} }

// UpstreamsReached is logged when the share of the upstreams that an entry reaches changes.
type UpstreamsReached struct {
	// Unreached is the share of the upstreams that it doesn't reach, in percent.
	Unreached int
}

// Class implements Event.
func (e *UpstreamsReached) Class() Class { return StateChange }

// Message implements Event.
func (e *UpstreamsReached) Message() string { return "upstreams reached" }

// Fields implements Event.
func (e *UpstreamsReached) Fields() []any { return []any{"unreached_percent", e.Unreached} }

// UpstreamLimit is logged when an entry learns that an upstream's limit began, changed or ended,
// and once a second while the entry sends requests to a limited upstream.
type UpstreamLimit struct {
	Upstream string
	Limited  bool
	// PerSecond is the number of requests a second from all entries together, Share that of this
	// entry.
	PerSecond, Share float64
	// Sent is the number of requests that this entry sent to it in the last 4 s.
	Sent int
}

// Class implements Event.
func (e *UpstreamLimit) Class() Class { return StateChange }

// Message implements Event.
func (e *UpstreamLimit) Message() string { return "upstream limit" }

// Fields implements Event.
func (e *UpstreamLimit) Fields() []any {
	return []any{"upstream", e.Upstream, "limited", e.Limited, "per_s", e.PerSecond, "share_per_s", math.Round(e.Share*100) / 100, "sent_4s", e.Sent}
}

// UpstreamLost is logged when the connections of requests to an upstream were lost. Crashed
// is true if the upstream crashed, false if only the requests failed.
type UpstreamLost struct {
	Upstream string
	Crashed  bool
	// Refused is set if its address refused connections, and so did those of others.
	Refused bool
	// Requests are the IDs of the callers' attempts. Fingerprints has one for each of
	// them; attempts of the same request have the same fingerprint.
	Requests, Fingerprints []string
	// Parts are the fingerprints of the parts of their prompts, Teams their callers' teams, without
	// duplicates.
	Parts, Teams []string
}

// maxListed is how many requests a line lists; all of them are counted.
const maxListed = 12

// Class implements Event.
func (e *UpstreamLost) Class() Class { return StateChange }

// Message implements Event.
func (e *UpstreamLost) Message() string { return "upstream lost" }

// Fields implements Event.
func (e *UpstreamLost) Fields() []any {
	listed := min(len(e.Requests), maxListed)
	return []any{
		"upstream", e.Upstream, "ended", e.Crashed, "all_refuse", e.Refused, "under_way", len(e.Requests),
		"requests", strings.Join(e.Requests[:listed], ","), "prints", strings.Join(e.Fingerprints[:listed], ","),
		"parts", strings.Join(e.Parts[:min(len(e.Parts), maxListed)], ","),
		"teams", strings.Join(e.Teams[:min(len(e.Teams), maxListed)], ","),
	}
}
