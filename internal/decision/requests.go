package decision

import (
	"math"
	"time"
)

// Choice describes the inputs to the choice of an upstream.
type Choice struct {
	Upstream   string
	Candidates int
	// Requests and Tokens are the requests and tokens in progress at the upstream, and
	// PendingPrefill is its pending prefill in tokens, each by this entry's own count and
	// the other entries' reports.
	Requests, Tokens, PendingPrefill int
	// PrefillTokens is the number of tokens expected to be prefilled; CostMs is the
	// weighted predicted cost.
	PrefillTokens int
	CostMs        float64
	// ReadAgain is the number of tokens of shared parts to be prefilled although others are assumed
	// to hold them, and ReadHeld the number of those that are known to be held.
	ReadAgain, ReadHeld int
	// Home is true if the upstream is the prompt's first choice by hash. Fetched and Saved
	// are the numbers of parts to fetch and to keep.
	Home           bool
	Fetched, Saved int
	// Sources are the hosts to fetch from, in the order of the parts. Slowdown is the
	// largest ratio of actual to predicted transfer time among them, and Queue the largest
	// number of tokens queued at one of them.
	Sources  string
	Slowdown float64
	Queue    int
	// PromptTokens is the length of the prompt, FetchedTokens the part of it to fetch. FetchTime is
	// the predicted time until that has been fetched, LinkWait the part of it until the links are free.
	PromptTokens, FetchedTokens int
	FetchTime, LinkWait         time.Duration
	// Unreported is the number of pending tokens that the other entries were expected to have sent
	// there unreported. Predicted is the expected time from the send to the first event, zero if
	// there is no prediction, and Took the actual one.
	Unreported int
	// Open is the number of candidates that had capacity.
	Open            int
	Predicted, Took time.Duration
	// HealthPenalty is the cost added for earlier failures.
	HealthPenalty time.Duration
	// Version is the version of the weights, Software that of the upstream's software.
	Version  uint64
	Software string
	// UpstreamSlowdown is the factor by which work took longer than usual at the upstream by its
	// answer, 0 if it stated none.
	UpstreamSlowdown float64
}

// View describes how recent the inputs were.
type View struct {
	Config uint64
	Term   uint64
	// Age is the time since the last successful request to the control hosts.
	Age time.Duration
}

// RequestEnded is logged at the end of a request.
type RequestEnded struct {
	Request string
	Route   string
	Team    string
	Outcome string
	// Cause is why the answer is not complete, nil if it is.
	Cause error
	// Target is the time limit for the beginning of the answer, First the time to its
	// beginning, zero if it never began, and Total the time to the end of the request.
	Target, First, Total time.Duration
	// Waited is how long the request waited for an upstream with capacity.
	Waited time.Duration
	// Queued is the state in which the request left the queue of its service: in-time, late, or
	// no-time if it was refused because it could not be served in its time; empty if it was in none.
	Queued string
	Status int
	// Sends counts the attempts that reached an upstream, Unsent those that did not.
	Sends, Unsent int
	// Started is true if the caller has the status and headers; LastEvent is the last event
	// forwarded.
	Started   bool
	LastEvent string
	// Pause is the longest pause between two pieces of the answer.
	Pause time.Duration
	// ForwardedTo is the entry that the request was forwarded to, empty if it was not.
	ForwardedTo string
	// Unframed indicates that the answer had neither a length nor chunks, and ended with its
	// connection.
	Unframed bool
	Choice   Choice
	View     View
}

// Class implements Event.
func (e *RequestEnded) Class() Class {
	switch {
	case e.Cause != nil, e.Status >= 500:
		return Failure
	case e.First > e.Target && e.Target > 0:
		return Late
	}
	return Success
}

// Message implements Event.
func (e *RequestEnded) Message() string { return "request" }

// Fields implements Event.
func (e *RequestEnded) Fields() []any {
	fields := []any{
		"request", e.Request, "route", e.Route, "team", e.Team, "outcome", e.Outcome, "status", e.Status,
		"first_ms", ms(e.First), "total_ms", ms(e.Total), "target_ms", ms(e.Target), "waited_ms", ms(e.Waited), "sends", e.Sends, "unsent", e.Unsent,
	}
	if e.Pause > 0 {
		fields = append(fields, "pause_ms", ms(e.Pause))
	}
	if e.Queued != "" {
		fields = append(fields, "queued", e.Queued)
	}
	if e.ForwardedTo != "" {
		fields = append(fields, "forwarded_to", e.ForwardedTo)
	}
	if e.Unframed {
		fields = append(fields, "unframed", true)
	}
	if e.Cause != nil {
		fields = append(fields, "cause", e.Cause, "begun", e.Started, "last_event", e.LastEvent)
	}
	return e.View.append(e.Choice.append(fields))
}

// RequestRetried is logged when a request is sent again.
type RequestRetried struct {
	Request   string
	Route     string
	Cause     error
	Sends     int
	LastEvent string
	Choice    Choice
	View      View
}

// Class implements Event.
func (e *RequestRetried) Class() Class { return Retry }

// Message implements Event.
func (e *RequestRetried) Message() string { return "request sent again" }

// Fields implements Event.
func (e *RequestRetried) Fields() []any {
	fields := []any{"request", e.Request, "route", e.Route, "cause", e.Cause, "sends", e.Sends, "last_event", e.LastEvent}
	return e.View.append(e.Choice.append(fields))
}

// StreamResumed is logged when the first event of a resumed stream is forwarded.
type StreamResumed struct {
	Request string
	// Resumes is the attempt that brought the caller the first event, empty for a stream that
	// the entry resumes within one answer. After is the last event that the caller has.
	Resumes, After string
	Upstream       string
	// Software is the software version of the upstream, Began the one that began the stream;
	// each is empty if unknown.
	Software, Began string
}

// Class implements Event.
func (e *StreamResumed) Class() Class { return Retry }

// Message implements Event.
func (e *StreamResumed) Message() string { return "stream resumed" }

// Fields implements Event.
func (e *StreamResumed) Fields() []any {
	return []any{"request", e.Request, "resumes", e.Resumes, "after", e.After, "upstream", e.Upstream, "software", e.Software, "began", e.Began}
}

// PromptBeganLate is logged when a prompt begins on weights after the bound of newer ones.
type PromptBeganLate struct {
	Request, Upstream, Model string
	// Version is the version on which it began, Newest the newest target version and Minimum the
	// minimum version that the entry knows.
	Version, Newest, Minimum uint64
	// Age is the time since the first version that the upstream lacks became the target, as the entry
	// counts it, and SinceNamed that since Newest was named, by wall clocks; zero if it isn't known.
	Age, SinceNamed time.Duration
	// SentAge is Age at the send, AtUpstream the time from the send to the begin, and InForce the time
	// since the entry's first configuration after its start.
	SentAge, AtUpstream, InForce time.Duration
}

// Class implements Event.
func (e *PromptBeganLate) Class() Class { return Failure }

// Message implements Event.
func (e *PromptBeganLate) Message() string { return "prompt began on weights past their bound" }

// Fields implements Event.
func (e *PromptBeganLate) Fields() []any {
	return []any{
		"request", e.Request, "upstream", e.Upstream, "model", e.Model, "version", e.Version, "newest", e.Newest, "minimum", e.Minimum,
		"after", e.Age, "since_named", e.SinceNamed, "sent_after", e.SentAge, "at_upstream", e.AtUpstream, "in_force", e.InForce,
	}
}

func (c *Choice) append(fields []any) []any {
	if c.Upstream == "" {
		return fields
	}
	if c.Predicted > 0 {
		fields = append(fields, "open", c.Open, "unreported", c.Unreported, "predicted_ms", ms(c.Predicted), "took_ms", ms(c.Took))
	}
	if c.UpstreamSlowdown > 0 {
		fields = append(fields, "slowdown", math.Round(c.UpstreamSlowdown*100)/100)
	}
	if c.PromptTokens > 0 {
		fields = append(fields, "prompt", c.PromptTokens)
	}
	if c.FetchedTokens > 0 {
		fields = append(fields, "fetched_tokens", c.FetchedTokens, "fetch_ms", ms(c.FetchTime), "link_wait_ms", ms(c.LinkWait))
	}
	return append(fields,
		"upstream", c.Upstream, "candidates", c.Candidates, "requests", c.Requests, "tokens", c.Tokens, "unread", c.PendingPrefill,
		"reads", c.PrefillTokens, "again", c.ReadAgain, "held", c.ReadHeld, "cost_ms", int(c.CostMs), "home", c.Home, "fetched", c.Fetched, "saved", c.Saved,
		"sources", c.Sources, "pace", math.Round(c.Slowdown*10)/10, "queue", c.Queue,
		"distrust_ms", ms(c.HealthPenalty), "weights", c.Version, "software", c.Software)
}

func (v *View) append(fields []any) []any {
	return append(fields, "config", v.Config, "term", v.Term, "view_age_ms", ms(v.Age))
}

func ms(d time.Duration) int64 { return d.Milliseconds() }
