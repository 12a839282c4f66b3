package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/lovagereach/lovagereach/internal/crash"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/ratelimit"
)

// Reasons for refusals in addition to those of package outcome.
const (
	// ReasonNoRoute indicates that no route matches the request's host and path.
	ReasonNoRoute outcome.Reason = "no-route"
	// ReasonNoConfig indicates that this entry has no configuration yet.
	ReasonNoConfig outcome.Reason = "no-configuration-yet"
	// ReasonOldConfig indicates that a newer configuration may be in force.
	ReasonOldConfig outcome.Reason = "configuration-may-be-old"
	// ReasonTooLong indicates that the body is longer than the configuration's limit.
	ReasonTooLong outcome.Reason = "body-too-long"
	// ReasonConnections indicates that this entry's share of an upstream's connections is in use.
	ReasonConnections outcome.Reason = "connections-in-use"
	// ReasonRestarted indicates that an upstream is not, or may not be, the incarnation that the
	// request is for; it can be reached.
	ReasonRestarted outcome.Reason = "upstream-restarted"
	// ReasonPeer indicates that another entry, which the request was forwarded to, refused it.
	ReasonPeer outcome.Reason = "refused-by-peer"
	// ReasonOrigin indicates that a stream can't go on: the software version that began it is
	// not known, or none of its upstreams is left.
	ReasonOrigin outcome.Reason = "stream-version"
	// ReasonOldWeights indicates that the bound of newer weights was over before a prompt was sent to an
	// upstream without them, or while it waited there.
	ReasonOldWeights outcome.Reason = "weights-past-bound"
	// ReasonBudget indicates that no further attempt is allowed at present.
	ReasonBudget outcome.Reason = "retry-budget"
)

// Prompt describes the prompt of a request to a model.
type Prompt struct {
	Model string
	// Parts are the prompt's parts in order, at most MaxParts; the last belongs to the request.
	Parts []placement.Part
	// Merged is the number of parts beyond MaxParts. The last of Parts stands for them all.
	Merged int
	// Output is the largest number of tokens that the answer may have.
	Output int
	// OutputHint is the caller's estimate of them, 0 for none.
	OutputHint int
}

const (
	// MaxParts bounds the parts of a prompt that are told apart: each costs work at each choice of an
	// upstream, and memory in what is remembered of the request.
	MaxParts = 64
	// maxPartTokens bounds the size of a part; sums of it fit an int.
	maxPartTokens = 1 << 32
)

// Append adds a part behind the others.
func (p *Prompt) Append(part placement.Part) {
	part.Tokens = min(part.Tokens, maxPartTokens)
	if len(p.Parts) < MaxParts {
		p.Parts = append(p.Parts, part)
		return
	}
	last := &p.Parts[MaxParts-1]
	last.ID = part.ID
	last.Tokens += part.Tokens
	p.Merged++
}

// Request is one attempt of a caller. Its method, path, headers and body are forwarded to the
// upstream unchanged.
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
	// Key is the caller's key, empty if it sent none.
	Key string
	// Wait is the caller's time limit, zero if it sent none.
	Wait time.Duration
	// ResumeAfter is the last event that the caller has, empty for none.
	ResumeAfter string
	// Resumes is the ID of the attempt that brought the caller the first event of the stream
	// which it resumes, empty if it resumes none.
	Resumes string
	// Prompt is nil for requests to plain services.
	Prompt *Prompt
	// Arrived is the time at which the request's header was read.
	Arrived time.Time
	// Forwarded indicates that another entry forwarded the request to this one, which must not
	// forward it again.
	Forwarded bool
	// UnderWay is how long the attempt was under way at the entry that forwarded it.
	UnderWay time.Duration
	// Left reports whether the caller has closed its connection, also if the close has not been read
	// yet; nil if that can't be told.
	Left func() bool
}

// PromptSend is the placement of a prompt's parts.
type PromptSend struct {
	// Salt separates the caches of weight versions, pools and isolated teams.
	Salt string
	// Version is the weight version that the runner must have.
	Version uint64
	// Fetch holds the source and Save the address of the store for each part; either may be
	// nil.
	Fetch []FetchSource
	Save  []string
	// FetchDeadlineMs is the deadline of the fetches on the upstreams' clock in milliseconds.
	FetchDeadlineMs int64
}

// FetchSource is a store that holds a complete part.
type FetchSource struct {
	Address string
	Tokens  int
}

// Send is one send of a request to one upstream.
type Send struct {
	Request  *Request
	Upstream string
	Address  string
	// StartedMs is the start time of the upstream's incarnation in Unix ms.
	StartedMs uint64
	// Wait is the time left for the answer.
	Wait time.Duration
	// Team is the team that holds the caller's key, empty if none was required.
	Team string
	// Rank is the request's rank; 0 is served first.
	Rank int
	// Stream indicates that a success is a stream of events.
	Stream bool
	// ResumeAfter is the last event forwarded to the caller, empty for none.
	ResumeAfter string
	Prompt      *PromptSend
	// Connections bounds the connections from this entry to the upstream.
	Connections int
	// SameIncarnation is set if the request must be sent to no other incarnation of the upstream:
	// one that has been restarted just now is not announced yet. StatesStart indicates that the
	// upstream states its start time on request.
	SameIncarnation, StatesStart bool
}

// Refusal is an upstream's statement that it did not run a request.
type Refusal uint8

const (
	// NotRefused is the value for an answer without such a statement.
	NotRefused Refusal = iota
	// Full indicates that the upstream takes no further request now.
	Full
	// OtherUpstream indicates that the address belongs to another upstream.
	OtherUpstream
	// OtherVersion indicates that the runner has another weight version.
	OtherVersion
)

// String returns the refusal's name.
func (r Refusal) String() string {
	return [...]string{"ran", "full", "other-upstream", "other-version"}[r]
}

// Load is the load that an upstream reports with an answer.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the factor by which work takes longer than usual at the moment, 0 if unknown.
	Slowdown float64
}

// Piece is a part of an answer's body: one complete event of a stream, or some bytes of
// another body.
type Piece struct {
	Data []byte
	// ID is the event's identity, empty if it has none.
	ID string
	// Comment indicates what follows the last event of a stream, and is none.
	Comment bool
}

// Body yields an answer's pieces. Next returns io.EOF at the end of a complete body, and
// another error if the body is broken.
type Body interface {
	Next() (Piece, error)
	// Close ends the answer; an unfinished one is cancelled at the upstream.
	Close()
}

// Answer is an upstream's answer.
type Answer struct {
	Status  int
	Header  http.Header
	Refusal Refusal
	// Load is nil if the upstream reported none.
	Load *Load
	// Limit is the upstream's statement about a rate limit, nil if it can't be read.
	Limit *ratelimit.Limit
	// BackOff is how long the upstream wants no further requests from this entry, 0 if it states
	// nothing.
	BackOff time.Duration
	// Leaving indicates that the upstream states that it is leaving.
	Leaving bool
	// Connected is the time at which the connection was established, zero if unknown.
	Connected time.Time
	// MayHaveRestarted is set if the upstream closed an idle connection early, before the one
	// that the answer came on was established.
	MayHaveRestarted bool
	// Brittle is the number of requests that the upstream can refuse in a second for want of
	// capacity without falling over, 0 for any number.
	Brittle int
	// Length is the body's length, -1 if unknown.
	Length int64
	// Unframed indicates that the body has neither a length nor chunks: it ends with its
	// connection, as it also does if the upstream crashes.
	Unframed bool
	Body     Body
}

// Sender sends requests to upstreams. An error is *outcome.NotRun if no byte can have reached
// the upstream, with ReasonRestarted if it may be another incarnation, else *outcome.Unknown.
type Sender interface {
	Send(ctx context.Context, send *Send) (*Answer, error)
	// Connects reports whether a connection to a send's upstream can be established.
	Connects(ctx context.Context, send *Send) bool
	// CheckProcess checks the process of a send's upstream: whether its address accepts connections.
	CheckProcess(ctx context.Context, send *Send) crash.State
}

// Forward is one send of a request to another entry.
type Forward struct {
	Request *Request
	// Host and Address are the entry's name and its address for callers.
	Host, Address string
	// Wait is the time left for the answer, UnderWay the time since the caller's attempt arrived.
	Wait, UnderWay time.Duration
	// Stream indicates that a success is a stream of events.
	Stream bool
	// ResumeAfter is the last event forwarded to the caller, empty for none.
	ResumeAfter string
}

// Peers forwards requests to other entries. An error is *outcome.NotRun if no byte can have
// reached the entry, with outcome.ReasonDial, or if the entry states that the request has not run;
// else *outcome.Unknown.
type Peers interface {
	Forward(ctx context.Context, forward *Forward) (*Answer, error)
}

// Origins is the control hosts' memory of what began streams.
type Origins interface {
	// Hosts lists the control hosts, and Leader returns the one that leads, empty if unknown.
	Hosts() []string
	Leader() string
	// ExchangeOrigins tells one of them records, and asks it for one.
	ExchangeOrigins(ctx context.Context, host string, request *steward.OriginRequest) (*steward.OriginAnswer, error)
}

// Responder writes an answer to the caller. Exactly one of Done, Abort and Refuse ends it.
type Responder interface {
	// Begin writes the status and the headers.
	Begin(answer *Answer) error
	// Piece writes some of the body immediately.
	Piece(data []byte) error
	// Done ends a complete answer.
	Done()
	// Abort ends an answer that has begun so that it can't look complete.
	Abort()
	// Refuse writes the system's own final answer; no answer has begun.
	Refuse(cause error)
}
