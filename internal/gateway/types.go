package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
)

// Reasons for refusals beside those of package outcome.
const (
	// ReasonNoPlace: no route leads from the request's host and path.
	ReasonNoRoute outcome.Reason = "no-route"
	// ReasonNoConfig: this entry knows no configuration yet.
	ReasonNoConfig outcome.Reason = "no-configuration-yet"
	// ReasonOldConfig: a later configuration may have to be in force.
	ReasonOldConfig outcome.Reason = "configuration-may-be-old"
	// ReasonTooLong: the body is over the configuration's limit.
	ReasonTooLong outcome.Reason = "body-too-long"
	// ReasonBudget: no further attempt is allowed at present.
	ReasonBudget outcome.Reason = "retry-budget"
)

// Prompt is what a request to a model says of its prompt.
type Prompt struct {
	Model string
	// Parts are the prompt's parts in order; the last belongs to the request.
	Parts []placement.Part
	// Output is the most tokens that the answer may have.
	Output int
}

// Request is one attempt of a caller. Its method, path, headers and body reach
// the upstream as they are.
type Request struct {
	// ID is the caller's identity of the attempt.
	ID     string
	Method string
	Host   string
	// Target is the path with its query, Path without.
	Target string
	Path   string
	Header http.Header
	Body   []byte
	// Key is the caller's key, empty when it sent none.
	Key string
	// Wait is how long the caller waits, zero when it did not say.
	Wait time.Duration
	// ResumeAfter is the last event that the caller has, empty for none.
	ResumeAfter string
	// Prompt is nil for requests to plain services.
	Prompt *Prompt
	// Arrived is when the request's header was read.
	Arrived time.Time
}

// PromptSend is what the system decides about a prompt's memory.
type PromptSend struct {
	// Salt keeps the memory of weight versions and isolated teams apart.
	Salt string
	// Version is the weight version that the runner must have.
	Version uint64
	// Fetch and Save name for each part a store, or are nil.
	Fetch []FetchSource
	Save  []string
	// FetchDeadlineMs is when a fetch must have ended, on the upstreams' clock in
	// milliseconds.
	FetchDeadlineMs int64
}

// FetchSource is a store that holds a part whole.
type FetchSource struct {
	Address string
	Tokens  int
}

// Send is one send of a request to one upstream.
type Send struct {
	Request  *Request
	Upstream string
	Address  string
	// StartedMs tells the upstream's life.
	StartedMs uint64
	// Wait is the time left for the answer.
	Wait time.Duration
	// Team is the team that holds the caller's key, empty when none was asked.
	Team string
	// Rank is the request's rank, 0 first.
	Rank int
	// ResumeAfter is the last event passed on, empty for none.
	ResumeAfter string
	Prompt      *PromptSend
	// Connections bounds the connections from this entry to the upstream.
	Connections int
}

// Refusal is an upstream's statement that it did not run a request.
type Refusal uint8

const (
	// NotRefused answers state nothing of the kind.
	NotRefused Refusal = iota
	// Full upstreams take no further request now.
	Full
	// OtherUpstream: the address belongs to another upstream.
	OtherUpstream
	// OtherVersion: the runner has another weight version.
	OtherVersion
)

// String returns the refusal's name.
func (r Refusal) String() string {
	return [...]string{"ran", "full", "other-upstream", "other-version"}[r]
}

// Load is what an upstream says of itself with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Piece is a part of an answer's body: one whole event of a stream, or some
// bytes of another body.
type Piece struct {
	Data []byte
	// ID is the event's identity, empty if it has none.
	ID string
}

// Body yields an answer's pieces. Next returns io.EOF at the end of a whole
// body, and another error when the body is broken.
type Body interface {
	Next() (Piece, error)
	// Close ends the answer; an unfinished one is given up at the upstream.
	Close()
}

// Answer is an upstream's answer.
type Answer struct {
	Status  int
	Header  http.Header
	Refusal Refusal
	// Load is nil when the upstream said nothing.
	Load *Load
	// Length is the body's length, -1 if unknown.
	Length int64
	Body   Body
}

// Sender sends requests to upstreams. An error is *outcome.NotRun when no byte
// can have reached the upstream, else *outcome.Unknown.
type Sender interface {
	Send(ctx context.Context, send *Send) (*Answer, error)
	// Crashed reports whether the process of a send's upstream has ended: nothing
	// listens at its address. Without a clear answer it reports false.
	Crashed(ctx context.Context, send *Send) bool
}

// Responder passes an answer to the caller. Exactly one of Done, Break and
// Refuse ends it.
type Responder interface {
	// Begin passes on the status and the headers.
	Begin(answer *Answer) error
	// Piece passes on some of the body at once.
	Piece(data []byte) error
	// Done ends an answer that is whole.
	Done()
	// Abort ends an answer that has begun so that it can't look whole.
	Abort()
	// Refuse gives the system's own final answer; nothing has begun.
	Refuse(cause error)
}
