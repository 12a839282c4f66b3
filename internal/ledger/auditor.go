package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// overdueInterval is the interval at which an Auditor checks for requests that
// have no outcome after their deadline.
const overdueInterval = time.Second

// maxOverdueLogged limits the overdue requests that are logged per check.
const maxOverdueLogged = 64

// Auditor records the requests of one entry host: all of them in a local
// table, those of fully audited classes also in the replicated trace. It is
// safe for concurrent use.
type Auditor struct {
	tracer *Tracer
	log    *log.Logger
	now    func() time.Time

	mu    sync.Mutex
	table *audit.Table
}

// NewAuditor returns an auditor. With a nil tracer it uses only the local
// table.
func NewAuditor(options audit.Options, tracer *Tracer, now func() time.Time, logger *log.Logger) *Auditor {
	return &Auditor{tracer: tracer, log: logger, now: now, table: audit.NewTable(options)}
}

// Open registers an accepted request. It must be called before any part of
// the request is sent. Its error is an *outcome.NotRun; on an error the
// request must be refused.
func (a *Auditor) Open(ctx context.Context, o audit.Opening) error {
	a.mu.Lock()
	err := a.table.Open(o)
	a.mu.Unlock()
	if err != nil {
		return tableRefusal(err)
	}
	if o.Mode != audit.ModeFull || a.tracer == nil {
		return nil
	}
	if err := a.tracer.Open(ctx, o); err != nil {
		a.mu.Lock()
		a.table.Close(o.Request, audit.Closing{Kind: outcome.KindNotRun, Reason: outcome.ReasonLedgerDown, Decided: a.now()})
		a.mu.Unlock()
		return err
	}
	return nil
}

func tableRefusal(err error) error {
	if errors.Is(err, audit.ErrDuplicate) {
		return &outcome.NotRun{Reason: outcome.ReasonBadRequest, Detail: "a request with this identity is in flight"}
	}
	return &outcome.NotRun{Reason: outcome.ReasonOverloaded, Detail: err.Error(), RetryAfter: time.Second}
}

// Close records the outcome of a request.
func (a *Auditor) Close(request ident.Request, c audit.Closing) {
	a.mu.Lock()
	record, known := a.table.Close(request, c)
	a.mu.Unlock()
	if known && record.Mode == audit.ModeFull && a.tracer != nil {
		a.tracer.Close(record.Opening, record.Closing)
	}
}

// Audit answers a query from this entry host's table.
func (a *Auditor) Audit(_ context.Context, q audit.Query) (audit.Result, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Query(a.now(), q), nil
}

// Counts returns the totals of the local table.
func (a *Auditor) Counts() audit.Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Counts()
}

// Run logs and counts requests that have no outcome after their deadline. It
// returns when ctx is done.
func (a *Auditor) Run(ctx context.Context) {
	ticker := time.NewTicker(overdueInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.recordOverdue()
		}
	}
}

func (a *Auditor) recordOverdue() {
	a.mu.Lock()
	overdue := a.table.NewlyOverdue(a.now())
	a.mu.Unlock()
	requestsOverdue.Add(len(overdue))
	for _, o := range overdue[:min(len(overdue), maxOverdueLogged)] {
		a.log.Warn("request without outcome after its deadline", "request", o.Request.String(), "team", string(o.Team),
			"class", string(o.Class), "batch", o.Batch, "deadline", o.Deadline.UTC().Format(time.RFC3339Nano))
	}
}
