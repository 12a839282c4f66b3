package ledger

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/once"
	"github.com/lovagereach/lovagereach/outcome"
)

// Bounds of a Tracer.
const (
	// maxTraceQueue limits the queued items of each kind for one group.
	maxTraceQueue = 1 << 14
	// maxTraceReport limits the items of each kind in one report.
	maxTraceReport = 512
	// traceTimeout limits the duration of one report.
	traceTimeout = 3 * time.Second
)

// errTraceFull is returned when the queue or the trace is at its limit of
// requests or batches.
var errTraceFull = errors.New("the audit trace has no room")

// Tracer reports accepted requests and their outcomes to the replicated audit
// trace. Items are batched while the previous report is in flight, so a busy
// entry host needs one commit for many requests. It is safe for concurrent use.
type Tracer struct {
	client *Client
	mu     sync.Mutex
	queues map[port.GroupID]*traceQueue
	// ctx is the context of Run, nil before Run is called.
	ctx     context.Context
	running sync.WaitGroup
	// unreported is the number of outcomes that the trace has not confirmed.
	unreported atomic.Int64
}

// NewTracer returns a tracer that sends its reports through client while Run is
// running.
func NewTracer(client *Client) *Tracer {
	return &Tracer{client: client, queues: make(map[port.GroupID]*traceQueue)}
}

// Run sends reports until ctx is done.
func (t *Tracer) Run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	for _, queue := range t.queues {
		t.startReporting(queue)
	}
	t.mu.Unlock()
	<-ctx.Done()
	t.running.Wait()
}

func (t *Tracer) startReporting(queue *traceQueue) {
	ctx := t.ctx
	t.running.Go(func() { t.reportLoop(ctx, queue) })
}

// traceQueue contains the items to report to one group.
type traceQueue struct {
	group port.GroupID
	wake  chan struct{}

	mu       sync.Mutex
	opens    []pendingOpen
	declares []pendingDeclaration
	closes   []audit.TracedClosing
	sequence uint64
}

type pendingOpen struct {
	opening audit.Opening
	done    chan error
}

type pendingDeclaration struct {
	declaration audit.Declaration
	done        chan error
}

func (t *Tracer) queue(team ident.Team, batch string, request ident.Request) *traceQueue {
	name := batch
	if name == "" {
		name = request.String()
	}
	// Traces use the oldest shard count, so that a batch that is open when
	// shards are added remains in one group.
	shards := uint32(1)
	if history := t.client.options.Shards(); len(history) > 0 {
		shards = history[0]
	}
	group := GroupOf(once.Shard(team, "", name, shards))
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[group]
	if queue == nil {
		queue = &traceQueue{group: group, wake: make(chan struct{}, 1)}
		t.queues[group] = queue
		if t.ctx != nil && t.ctx.Err() == nil {
			t.startReporting(queue)
		}
	}
	return queue
}

// Open reports an accepted request and returns when the report is committed. On
// an error the request must be refused; no part of it was sent.
func (t *Tracer) Open(ctx context.Context, o audit.Opening) error {
	queue := t.queue(o.Team, o.Batch, o.Request)
	waiting := pendingOpen{opening: o, done: make(chan error, 1)}
	queue.mu.Lock()
	full := len(queue.opens) >= maxTraceQueue
	if !full {
		queue.opens = append(queue.opens, waiting)
	}
	queue.mu.Unlock()
	if full {
		return traceRefusal(errTraceFull)
	}
	queue.signal()
	select {
	case err := <-waiting.done:
		return traceRefusal(err)
	case <-ctx.Done():
		if queue.withdraw(o.Request) {
			return traceRefusal(ctx.Err())
		}
		// The report is in flight and may still be committed. The request must
		// not remain listed as open.
		t.Close(o, audit.Closing{Kind: outcome.KindNotRun, Reason: outcome.ReasonCallerGone, Decided: t.client.options.Now()})
		return traceRefusal(ctx.Err())
	}
}

func traceRefusal(err error) error {
	if err == nil {
		return nil
	}
	return &outcome.NotRun{Reason: outcome.ReasonLedgerDown, Detail: "the request could not be entered in the audit trace: " + err.Error(), RetryAfter: time.Second}
}

// Close queues the outcome of an opened request and doesn't wait for its
// report. If this host crashes before the report, the request remains listed as
// open.
func (t *Tracer) Close(o audit.Opening, c audit.Closing) {
	queue := t.queue(o.Team, o.Batch, o.Request)
	queue.mu.Lock()
	full := len(queue.closes) >= maxTraceQueue
	if !full {
		queue.closes = append(queue.closes, audit.TracedClosing{Request: o.Request, Closing: c})
	}
	queue.mu.Unlock()
	if full {
		traceClosesDropped.Inc()
		return
	}
	t.unreported.Add(1)
	queue.signal()
}

// Drain waits until all outcomes are reported or ctx is done. It is part of a
// graceful shutdown. Requests whose outcomes are not reported remain listed as
// open.
func (t *Tracer) Drain(ctx context.Context) {
	for t.unreported.Load() > 0 && wait.For(ctx, minBackoff) {
	}
}

// Declare registers a batch and returns when that is committed.
func (t *Tracer) Declare(ctx context.Context, d audit.Declaration) error {
	queue := t.queue(d.Team, d.Batch, ident.Request{})
	waiting := pendingDeclaration{declaration: d, done: make(chan error, 1)}
	queue.mu.Lock()
	full := len(queue.declares) >= maxTraceQueue
	if !full {
		queue.declares = append(queue.declares, waiting)
	}
	queue.mu.Unlock()
	if full {
		return errTraceFull
	}
	queue.signal()
	select {
	case err := <-waiting.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// withdraw removes an opening from the queue. It returns false if the opening
// is already part of a report.
func (q *traceQueue) withdraw(request ident.Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := len(q.opens)
	q.opens = slices.DeleteFunc(q.opens, func(w pendingOpen) bool { return w.opening.Request == request })
	return len(q.opens) < before
}

func (q *traceQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (t *Tracer) reportLoop(ctx context.Context, queue *traceQueue) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-queue.wake:
		}
		for queue.pending() && ctx.Err() == nil {
			t.reportOnce(ctx, queue)
		}
	}
}

func (q *traceQueue) pending() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.opens)+len(q.closes)+len(q.declares) > 0
}

// traceReport is the command of one report, with the callers that wait for its
// result.
type traceReport struct {
	command  audit.TraceCommand
	opens    []pendingOpen
	declares []pendingDeclaration
}

// nextReport removes the items of the next report from the queue. A request is
// opened by the report that closes it or by an earlier one.
func (q *traceQueue) nextReport(source audit.Source) traceReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	var r traceReport
	r.command = audit.TraceCommand{Source: source, Sequence: q.sequence}
	r.opens, q.opens = splitFront(q.opens)
	r.declares, q.declares = splitFront(q.declares)
	r.command.Close, q.closes = splitFront(q.closes)
	for _, waiting := range r.opens {
		r.command.Open = append(r.command.Open, waiting.opening)
	}
	for _, waiting := range r.declares {
		r.command.Declare = append(r.command.Declare, waiting.declaration)
	}
	return r
}

func splitFront[T any](items []T) (front, rest []T) {
	n := min(len(items), maxTraceReport)
	return items[:n:n], items[n:]
}

func (t *Tracer) reportOnce(ctx context.Context, queue *traceQueue) {
	bounded, cancel := context.WithTimeout(ctx, traceTimeout)
	defer cancel()
	self, assigned := t.client.awaitSelf(bounded)
	r := queue.nextReport(audit.Source{Host: self.Host, Incarnation: self.Incarnation})
	if !assigned {
		t.requeue(queue, r)
		return
	}
	reply, _, err := t.client.call(bounded, MethodTrace, Request{Group: queue.group, Trace: &r.command})
	if err == nil && reply.Trace != nil && reply.Trace.Applied {
		t.unreported.Add(-int64(len(r.command.Close)))
		r.complete(reply.Trace)
		return
	}
	t.requeue(queue, r)
}

func (r *traceReport) complete(result *audit.TraceResult) {
	full := make(map[ident.Request]bool, len(result.Full))
	for _, request := range result.Full {
		full[request] = true
	}
	for _, waiting := range r.opens {
		waiting.done <- errIf(full[waiting.opening.Request], errTraceFull)
	}
	refused := make(map[audit.BatchID]bool, len(result.Refused))
	for _, batch := range result.Refused {
		refused[batch] = true
	}
	for _, waiting := range r.declares {
		waiting.done <- errIf(refused[waiting.declaration.BatchID], errBatchRefused)
	}
}

// errBatchRefused is returned for a batch that was already declared differently
// or that exceeds a limit.
var errBatchRefused = errors.New("the batch can't be declared so")

func errIf(condition bool, err error) error {
	if condition {
		return err
	}
	return nil
}

// requeue returns the outcomes of an unconfirmed report to the queue and
// refuses its openings and declarations. The report may still be committed, so
// the next one also closes the requests that this one opened.
func (t *Tracer) requeue(queue *traceQueue, r traceReport) {
	closes := r.command.Close
	t.unreported.Add(int64(len(r.opens)))
	for _, waiting := range r.opens {
		waiting.done <- errNoAnswer
		closes = append(closes, audit.TracedClosing{
			Request: waiting.opening.Request,
			Closing: audit.Closing{Kind: outcome.KindNotRun, Reason: outcome.ReasonLedgerDown, Decided: t.client.options.Now()},
		})
	}
	for _, waiting := range r.declares {
		waiting.done <- errNoAnswer
	}
	queue.mu.Lock()
	queue.closes = append(closes, queue.closes...)
	dropped := max(0, len(queue.closes)-maxTraceQueue)
	queue.closes = queue.closes[:len(queue.closes)-dropped]
	queue.mu.Unlock()
	t.unreported.Add(-int64(dropped))
	traceClosesDropped.Add(dropped)
}

// Audit answers a query from the replicated traces of all groups.
func (c *Client) Audit(ctx context.Context, q audit.Query) (audit.Result, error) {
	var all audit.Result
	for _, group := range c.groups() {
		reply, _, err := c.call(ctx, MethodQuery, Request{Group: group, Query: &q})
		if err != nil {
			return audit.Result{}, err
		}
		if reply.QueryResult != nil {
			all = audit.Merge(all, *reply.QueryResult, q)
		}
	}
	return all, nil
}
