package audited

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/auditapi"
	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/internal/ledger"
)

// Stack has all parts of the audit on an entry host.
type Stack struct {
	// Service is called by the callers' listener and calls the entry.
	*Service
	auditor *ledger.Auditor
	tracer  *ledger.Tracer
}

// Entry is the entry that the audit wraps.
type Entry interface {
	entry.Service
	// MayServe returns the reason for refusing new requests, nil if they are accepted.
	MayServe() error
}

// NewStack wraps an entry with the audit. ledgerClient is the client of the trace.
func NewStack(service Entry, ledgerClient *ledger.Client, host ident.Host, snapshot func() *config.Snapshot, logger *log.Logger) *Stack {
	tracer := ledger.NewTracer(ledgerClient)
	auditor := ledger.NewAuditor(audit.DefaultOptions(), tracer, time.Now, logger)
	return &Stack{
		Service: New(Options{
			Entry: service, MayServe: service.MayServe, Auditor: auditor, Host: host, Snapshot: snapshot, Now: time.Now,
			Batches: batches{tracer: tracer, client: ledgerClient},
		}),
		auditor: auditor,
		tracer:  tracer,
	}
}

// Run reports to the trace and detects lost requests until ctx is done.
func (s *Stack) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { s.tracer.Run(ctx) })
	running.Go(func() { s.auditor.Run(ctx) })
	running.Wait()
}

// Drain sends the pending reports, for a graceful shutdown. It must be called after the
// last request has ended and while Run is running.
func (s *Stack) Drain(ctx context.Context) { s.tracer.Drain(ctx) }

// Queries returns the handler for operators' queries about this entry host's own table.
func (s *Stack) Queries() http.Handler { return auditapi.New(s.auditor) }

// Counts returns the totals for state dumps.
func (s *Stack) Counts() audit.Counts { return s.auditor.Counts() }

// batches implements Batches by the replicated trace.
type batches struct {
	tracer *ledger.Tracer
	client *ledger.Client
}

func (b batches) Declare(ctx context.Context, d audit.Declaration) error {
	return b.tracer.Declare(ctx, d)
}

func (b batches) Audit(ctx context.Context, q audit.Query) (audit.Result, error) {
	return b.client.Audit(ctx, q)
}
