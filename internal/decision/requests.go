package decision

import (
	"math"
	"time"
)

// Choice is what the choice of an upstream went by.
type Choice struct {
	Upstream   string
	Candidates int
	// Requests and Tokens were under way at the upstream, by this entry's and
	// the others' word; Unread are this entry's prompts not yet begun.
	Requests, Tokens, PendingPrefill int
	// PrefillTokens are the tokens expected to be read, CostMs the weighed prediction.
	PrefillTokens int
	CostMs        float64
	// Home tells that the upstream is the first by hash, Fetched how many parts
	// were to be fetched, Saved how many to be kept.
	Home           bool
	Fetched, Saved int
	// Sources are the hosts to fetch from, in the order of the parts; Pace is the
	// slowest one's time as a multiple of what its link says, and Queue the
	// tokens that waited there.
	Sources  string
	Slowdown float64
	Queue    int
	// HealthPenalty is what former failures added.
	HealthPenalty time.Duration
	Version       uint64
}

// View is how fresh the inputs were.
type View struct {
	Config uint64
	Term   uint64
	// Age is the time since the control hosts were asked last with success.
	Age time.Duration
}

// RequestEnded is the end of a request.
type RequestEnded struct {
	Request string
	Route   string
	Team    string
	Outcome string
	// Cause is why there is no whole answer, nil when there is one.
	Cause error
	// Target is when the answer had to begin; First is when it began, zero when
	// it never did; Total is when the request ended.
	Target, First, Total time.Duration
	// Waited is how long the request waited for an upstream with room.
	Waited        time.Duration
	Status        int
	Sends, Unsent int
	Begun         bool
	LastEvent     string
	Choice        Choice
	View          View
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
	if e.Cause != nil {
		fields = append(fields, "cause", e.Cause, "begun", e.Begun, "last_event", e.LastEvent)
	}
	return e.View.append(e.Choice.append(fields))
}

// RequestRetried tells that a request is sent once more.
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

func (c *Choice) append(fields []any) []any {
	if c.Upstream == "" {
		return fields
	}
	return append(fields,
		"upstream", c.Upstream, "candidates", c.Candidates, "requests", c.Requests, "tokens", c.Tokens, "unread", c.PendingPrefill,
		"reads", c.PrefillTokens, "cost_ms", int(c.CostMs), "home", c.Home, "fetched", c.Fetched, "saved", c.Saved,
		"sources", c.Sources, "pace", math.Round(c.Slowdown*10)/10, "queue", c.Queue,
		"distrust_ms", ms(c.HealthPenalty), "weights", c.Version)
}

func (v *View) append(fields []any) []any {
	return append(fields, "config", v.Config, "term", v.Term, "view_age_ms", ms(v.Age))
}

func ms(d time.Duration) int64 { return d.Milliseconds() }
