package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/prefix"
)

// Caller is an authenticated team under one revision of the configuration.
type Caller struct {
	team     *config.Team
	snapshot *config.Snapshot
	digest   config.TokenDigest
}

// Team returns the caller's team, empty for the zero Caller.
func (c Caller) Team() ident.Team {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

// Prompt is one caller's request to a model.
type Prompt struct {
	Request ident.Request
	Caller  Caller
	Model   ident.Model
	Adapter ident.Adapter
	// Class is the requested class, empty for the team's default.
	Class  ident.Class
	Tokens []uint32
	// MaxTokens bounds the tokens of the answer.
	MaxTokens int
	Seed      uint64
	// Deadline is how long the caller waits for the first token, zero for the
	// deadline of the class.
	Deadline time.Duration
}

// Token is one piece of an answer.
type Token struct {
	// Index is the position in the answer, counted from zero without gaps.
	Index int
	Text  string
	// Done marks the end of a complete answer; such a token has no text.
	Done         bool
	FinishReason string
}

// Provenance describes what produced the answer to a request.
type Provenance struct {
	Request  ident.Request
	Outcome  outcome.Kind
	Class    ident.Class
	Upstream ident.Upstream
	Version  ident.Version
	// PromptTokens, ReusedTokens and OutputTokens are set once the answer is
	// complete.
	PromptTokens int
	ReusedTokens int
	OutputTokens int
	// KeptPrompt is the last reused block, zero if no tokens were reused.
	// KeptFrom is where the reused blocks were kept.
	KeptPrompt prefix.BlockID
	KeptFrom   KeptFrom
	// Resumes is the number of times that a broken stream was resumed.
	Resumes int
}

// KeptFrom is the source of reused tokens.
type KeptFrom string

// The sources of reused tokens.
const (
	KeptNowhere KeptFrom = ""
	KeptInCache KeptFrom = "engine-cache"
	KeptInStore KeptFrom = "store"
)

// Answer yields the tokens of the answer to one prompt. It must be used by a
// single goroutine.
type Answer interface {
	// Next returns the next token. The answer ends with a token that has Done
	// set, or with an error. An error after the first token means that the
	// answer is incomplete.
	Next() (Token, error)
	// Provenance returns the provenance as far as it is known so far.
	Provenance() Provenance
	// Close ends the answer. An unfinished one is cancelled at the upstream.
	Close()
}

// ServiceCall is a caller's call to a plain service.
type ServiceCall struct {
	Request ident.Request
	Caller  Caller
	Service ident.Service
	Method  string
	// Path is the part after the service's name, including the query.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the caller's idempotency key.
	Key      string
	Deadline time.Duration
}

// ServiceAnswer is the answer to a service call.
type ServiceAnswer struct {
	Status int
	Header http.Header
	// Body is closed by the receiver.
	Body   io.ReadCloser
	Length int64
	// Unframed indicates that the upstream sent neither a length nor chunks, so
	// that only the end of its connection told the end of the body.
	Unframed   bool
	Provenance Provenance
	// Repeated is set if the answer was recorded for an earlier call with the
	// same idempotency key.
	Repeated bool
}

// AddressAnswer names the entries that a caller should use.
type AddressAnswer struct {
	// Address is the IP and port to connect to. Alternates are the addresses to
	// try next.
	Address    string
	Alternates []string
	// Keep is how long the caller may use the answer.
	Keep time.Duration
}

// Service is the part of an entry that the callers' listener uses.
type Service interface {
	// Authorize returns the caller that a bearer token's digest belongs to.
	Authorize(digest config.TokenDigest) (Caller, error)
	// Prompt starts one prompt. It returns once an upstream has accepted it.
	Prompt(ctx context.Context, prompt Prompt) (Answer, error)
	// Call runs one call of a plain service.
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
	// Address returns the entries that a caller should use. from is the
	// caller's IP address.
	Address(caller Caller, from string) (AddressAnswer, error)
	// Ready returns the reason why the entry accepts no new requests, nil if it
	// does.
	Ready() error
}
