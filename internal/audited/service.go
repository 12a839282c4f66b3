// Package audited wraps an entry with the audit: every request that names a known
// class is opened before the entry receives it and closed with its outcome, however it
// ends.
package audited

import (
	"context"
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/prefix"
)

// grace is how long after its deadline a request may stay open before it counts as
// lost: a stream that began in time may continue after the deadline.
const grace = 30 * time.Second

// defaultDeadline is the deadline of classes that set none.
const defaultDeadline = 10 * time.Minute

// Auditor records openings and closings of requests. *ledger.Auditor implements it.
type Auditor interface {
	Open(ctx context.Context, o audit.Opening) error
	Close(request ident.Request, c audit.Closing)
}

// Batches records declared batches and answers queries about them.
type Batches interface {
	Declare(ctx context.Context, d audit.Declaration) error
	Audit(ctx context.Context, q audit.Query) (audit.Result, error)
}

// Options are the options of a Service. All but MayServe and Team are required.
type Options struct {
	// Entry serves the requests.
	Entry   entry.Service
	Auditor Auditor
	Batches Batches
	Host    ident.Host
	// MayServe returns the reason for refusing new requests, nil if they are accepted.
	// Without it every request is opened.
	MayServe func() error
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	Now      func() time.Time
	// Team returns the team of a caller; nil means entry.Caller.Team.
	Team func(entry.Caller) ident.Team
}

// Service is an entry with the audit of its requests.
type Service struct {
	entry.Service
	options Options
}

// New returns the entry wrapped with the audit.
func New(options Options) *Service {
	if options.Team == nil {
		options.Team = entry.Caller.Team
	}
	return &Service{Service: options.Entry, options: options}
}

// Prompt implements entry.Service.
func (s *Service) Prompt(ctx context.Context, prompt entry.Prompt) (entry.Answer, error) {
	class, known := s.class(prompt.Caller, prompt.Class, config.KindModel)
	if !known {
		return s.Service.Prompt(ctx, prompt)
	}
	if err := s.open(ctx, s.opening(ctx, prompt.Request, prompt.Caller, class, prompt.Deadline)); err != nil {
		return nil, err
	}
	answer, err := s.Service.Prompt(ctx, prompt)
	if err != nil {
		return nil, s.closeRefused(prompt.Request, err)
	}
	return &auditedAnswer{Answer: answer, service: s, request: prompt.Request}, nil
}

// Call implements entry.Service.
func (s *Service) Call(ctx context.Context, call entry.ServiceCall) (entry.ServiceAnswer, error) {
	service, known := s.options.Snapshot().Service(call.Service)
	if !known {
		return s.Service.Call(ctx, call)
	}
	class, known := s.class(call.Caller, service.Class, config.KindService)
	if !known {
		return s.Service.Call(ctx, call)
	}
	if err := s.open(ctx, s.opening(ctx, call.Request, call.Caller, class, call.Deadline)); err != nil {
		return entry.ServiceAnswer{}, err
	}
	answer, err := s.Service.Call(ctx, call)
	if err != nil {
		return answer, s.closeRefused(call.Request, err)
	}
	answer.Body = &auditedBody{ReadCloser: answer.Body, end: func(err error) { s.close(call.Request, answer.Provenance, err) }}
	return answer, nil
}

// open opens a request in the audit. An entry that is partitioned from the control
// hosts can't reach the trace either, so MayServe is checked first: otherwise callers
// would wait for the trace's timeout to be refused, instead of using another entry
// immediately.
func (s *Service) open(ctx context.Context, o audit.Opening) error {
	if s.options.MayServe != nil {
		if err := s.options.MayServe(); err != nil {
			return err
		}
	}
	return s.options.Auditor.Open(ctx, o)
}

// closeRefused closes the audit record of a request that got no answer and returns the
// error for the caller. A refusal because of the deadline includes the time at which it
// was decided, so that the caller can compute its remaining time.
func (s *Service) closeRefused(request ident.Request, err error) error {
	s.close(request, entry.Provenance{}, err)
	var notRun *outcome.NotRun
	if !errors.As(err, &notRun) || notRun.Reason != outcome.ReasonDeadline {
		return err
	}
	dated := *notRun
	dated.Detail += "; decided at " + s.options.Now().UTC().Format(time.RFC3339Nano)
	return &dated
}

// class returns the class of a request by the same rule as the entry, which refuses
// requests without a class.
func (s *Service) class(caller entry.Caller, asked ident.Class, kind config.ClassKind) (*config.Class, bool) {
	snapshot := s.options.Snapshot()
	if asked != "" {
		class, ok := snapshot.Class(asked)
		return class, ok && class.Kind == kind
	}
	team, ok := snapshot.Team(s.team(caller))
	if !ok {
		return nil, false
	}
	for _, name := range team.Classes {
		if class, ok := snapshot.Class(name); ok && class.Kind == kind {
			return class, true
		}
	}
	return nil, false
}

func (s *Service) opening(ctx context.Context, request ident.Request, caller entry.Caller, class *config.Class, asked time.Duration) audit.Opening {
	now := s.options.Now()
	wait := class.Deadline.Std()
	if wait <= 0 {
		wait = defaultDeadline
	}
	if asked > 0 {
		wait = min(wait, asked)
	}
	mode := audit.ModeSampled
	if class.Audit == config.AuditFull {
		mode = audit.ModeFull
	}
	b := batchItemOf(ctx)
	return audit.Opening{
		Request: request, Team: s.team(caller), Class: class.Name, Entry: s.options.Host,
		Accepted: now, Deadline: now.Add(wait + grace), Mode: mode, Batch: b.batch, Item: b.item,
	}
}

func reasonOf(err error) outcome.Reason {
	var notRun *outcome.NotRun
	var failed *outcome.Failed
	var unknown *outcome.Unknown
	switch {
	case errors.As(err, &notRun):
		return notRun.Reason
	case errors.As(err, &failed):
		return failed.Reason
	case errors.As(err, &unknown):
		return unknown.Reason
	default:
		return ""
	}
}

// close closes a request with its outcome: done, or that of err.
func (s *Service) close(request ident.Request, from entry.Provenance, err error) {
	c := audit.Closing{
		Kind:         outcome.KindOf(err),
		Reason:       reasonOf(err),
		Upstream:     from.Upstream,
		Version:      from.Version,
		PromptTokens: from.PromptTokens,
		ReusedTokens: from.ReusedTokens,
		Attempts:     from.Resumes + 1,
		Decided:      s.options.Now(),
	}
	if from.KeptPrompt != (prefix.BlockID{}) {
		c.KeptPrompt = from.KeptPrompt.String()
	}
	s.options.Auditor.Close(request, c)
}
