// Package loadgen generates open-loop load on a running system: kept prompts with
// new questions, and calls of plain services that must run at most once. It checks
// each answer against the one that the stand-in engines must generate and, after
// the load, the runs recorded by the stand-ins against the outcomes that callers
// received.
package loadgen

import (
	"errors"
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Options configure a run.
type Options struct {
	// Entries are the initial addresses of entries. The answers to address
	// requests determine those used afterwards.
	Entries []string
	// Standins are the addresses of the stand-ins whose runs and counters are
	// read.
	Standins []string
	// RunLog is the path of the stand-ins' run log. It includes the runs of
	// killed stand-ins and takes precedence over the runs that the stand-ins
	// report themselves.
	RunLog string
	// Audit configures the audit in which requests without an outcome are looked
	// up; nil disables that check. Prompts must be of classes that are audited
	// completely.
	Audit   *AuditOptions
	Prompts []PromptLoad
	Calls   []CallLoad
	// Duration bounds the time during which requests are started.
	Duration time.Duration
	// MaxRequests bounds the number of requests.
	MaxRequests int
	// MaxOpen bounds the number of open requests; arrivals beyond it are
	// counted and not sent. Zero means DefaultMaxOpen.
	MaxOpen int
	// Timeout bounds a request, including its retries; zero means
	// DefaultTimeout.
	Timeout time.Duration
	// Stop, when closed, stops the arrivals early; open requests are completed.
	Stop <-chan struct{}
	// Seed determines arrivals, prompts and keys.
	Seed uint64
	// Fresh declares that the deployment has never received prompts of this
	// seed. All loads then use the same kept prompts, and the first request of a
	// load for each of them must reuse no tokens, since these would be from
	// another team's prompt.
	Fresh bool
}

// Default values of Options.
const (
	DefaultMaxOpen = 4096
	DefaultTimeout = 30 * time.Second
)

// PromptLoad configures the prompts of one team and class.
type PromptLoad struct {
	Team  ident.Team
	Token string
	Class ident.Class
	Model ident.Model
	// Rate is in requests per second.
	Rate float64
	// Kept is the number of distinct long prompts. Each request appends a new
	// question to one of them, so that each is reused after Kept/Rate seconds on
	// average.
	Kept int
	// KeptTokens, QuestionTokens and AnswerTokens are the numbers of tokens of a
	// kept prompt, of the question after it and of the answer.
	KeptTokens     int
	QuestionTokens int
	AnswerTokens   int
}

// CallLoad configures the calls of one plain service.
type CallLoad struct {
	Team    ident.Team
	Token   string
	Service ident.Service
	Path    string
	// Rate is in calls per second.
	Rate float64
	// Repeatable calls have no idempotency key.
	Repeatable bool
	// Resend is the fraction of keys that are sent twice, the second time to the
	// next entry of the address answer: for half of them while the first call is
	// open, for the others after it.
	Resend float64
	// MaxResends bounds the retries of a call without a definite outcome under
	// its key.
	MaxResends int
}

// Validate returns an error for the first invalid field.
func (o Options) Validate() error {
	if len(o.Entries) == 0 {
		return errors.New("entries: none given")
	}
	if o.Duration <= 0 || o.MaxRequests <= 0 {
		return errors.New("duration and max_requests: must both be above zero")
	}
	if len(o.Prompts)+len(o.Calls) == 0 {
		return errors.New("prompts, calls: no load given")
	}
	for i, load := range o.Prompts {
		if load.Rate <= 0 || load.Kept <= 0 || load.KeptTokens <= 0 || load.QuestionTokens <= 0 || load.AnswerTokens <= 0 {
			return fmt.Errorf("prompts[%d]: rate, kept and token counts must be above zero", i)
		}
	}
	teams := make(map[ident.Team]bool)
	for i, load := range o.Prompts {
		if o.Fresh && teams[load.Team] {
			return fmt.Errorf("prompts[%d]: team %q has two loads; a fresh run tells teams apart by their loads", i, load.Team)
		}
		teams[load.Team] = true
	}
	for i, load := range o.Calls {
		if load.Rate <= 0 || load.Resend < 0 || load.Resend > 1 || load.MaxResends < 0 {
			return fmt.Errorf("calls[%d]: rate must be above zero, resend from 0 to 1, max_resends not negative", i)
		}
	}
	return nil
}

func (o *Options) setDefaults() {
	if o.MaxOpen == 0 {
		o.MaxOpen = DefaultMaxOpen
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
}
