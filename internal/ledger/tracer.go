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
	// maxTraceQueue bounds what waits for one group.
	maxTraceQueue = 1 << 14
	// maxTraceReport bounds the items of one report.
	maxTraceReport = 512
	// traceTimeout bounds one report.
	traceTimeout = 3 * time.Second
)

// errTraceFull reports that the trace can't take another request or batch.
var errTraceFull = errors.New("the audit trace has no room")

// Tracer reports accepted requests and their outcomes to the replicated audit
// trace. Reports gather while the one before is under way, so a busy entry
// host commits once for many requests. It is safe for concurrent use.
type Tracer struct {
	client *Client
	mu     sync.Mutex
	queues map[port.GroupID]*traceQueue
	// ctx is that of Run; nil before.
	ctx     context.Context
	running sync.WaitGroup
	// unreported counts the outcomes that the trace has not confirmed.
	unreported atomic.Int64
}

// NewTracer returns a tracer that reports through client once Run is running.
func NewTracer(client *Client) *Tracer {
	return &Tracer{client: client, queues: make(map[port.GroupID]*traceQueue)}
}

// Run reports until ctx ends.
func (t *Tracer) Run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	for _, queue := range t.queues {
		t.start(queue)
	}
	t.mu.Unlock()
	<-ctx.Done()
	t.running.Wait()
}

func (t *Tracer) start(queue *traceQueue) {
	ctx := t.ctx
	t.running.Go(func() { t.report(ctx, queue) })
}

// traceQueue holds what is to be reported to one group.
type traceQueue struct {
	group port.GroupID
	wake  chan struct{}

	mu       sync.Mutex
	opens    []waitingOpen
	declares []waitingDeclare
	closes   []audit.TracedClosing
	sequence uint64
}

type waitingOpen struct {
	opening audit.Opening
	done    chan error
}

type waitingDeclare struct {
	declaration audit.Declaration
	done        chan error
}

func (t *Tracer) queue(team ident.Team, batch string, request ident.Request) *traceQueue {
	name := batch
	if name == "" {
		name = request.String()
	}
	// Traces stay with the oldest number of shards, so that a batch that is
	// open when shards are added stays in one place.
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
			t.start(queue)
		}
	}
	return queue
}

// Open reports an accepted request and returns once that is committed. On an
// error the request must be refused; nothing was sent.
func (t *Tracer) Open(ctx context.Context, o audit.Opening) error {
	queue := t.queue(o.Team, o.Batch, o.Request)
	waiting := waitingOpen{opening: o, done: make(chan error, 1)}
	queue.mu.Lock()
	full := len(queue.opens) >= maxTraceQueue
	if !full {
		queue.opens = append(queue.opens, waiting)
	}
	queue.mu.Unlock()
	if full {
		return refused(errTraceFull)
	}
	queue.signal()
	select {
	case err := <-waiting.done:
		return refused(err)
	case <-ctx.Done():
		if queue.withdraw(o.Request) {
			return refused(ctx.Err())
		}
		// The report is under way and may be committed yet; the request must
		// not stay listed as open.
		t.Close(o, audit.Closing{Kind: outcome.KindNotRun, Reason: outcome.ReasonCallerGone, Decided: t.client.options.Now()})
		return refused(ctx.Err())
	}
}

func refused(err error) error {
	if err == nil {
		return nil
	}
	return &outcome.NotRun{Reason: outcome.ReasonLedgerDown, Detail: "the request could not be entered in the audit trace: " + err.Error(), RetryAfter: time.Second}
}

// Close reports the outcome of an opened request. It doesn't wait: an outcome
// that is lost with this host leaves the request listed as open.
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

// Drain waits, for a graceful shutdown, until all outcomes are reported. Those
// that are not, when ctx ends, leave their requests listed as open.
func (t *Tracer) Drain(ctx context.Context) {
	for t.unreported.Load() > 0 && wait.For(ctx, minPause) {
	}
}

// Declare registers a batch and returns once that is committed.
func (t *Tracer) Declare(ctx context.Context, d audit.Declaration) error {
	queue := t.queue(d.Team, d.Batch, ident.Request{})
	waiting := waitingDeclare{declaration: d, done: make(chan error, 1)}
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

// withdraw takes back an opening that is in no report yet.
func (q *traceQueue) withdraw(request ident.Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := len(q.opens)
	q.opens = slices.DeleteFunc(q.opens, func(w waitingOpen) bool { return w.opening.Request == request })
	return len(q.opens) < before
}

func (q *traceQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (t *Tracer) report(ctx context.Context, queue *traceQueue) {
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

// report is what one command carries, with who waits for it.
type traceReport struct {
	command  audit.TraceCommand
	opens    []waitingOpen
	declares []waitingDeclare
}

// take cuts the next report off the queue. A request is opened by the same
// report as it is closed, or by an earlier one.
func (q *traceQueue) take(source audit.Source) traceReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	var r traceReport
	r.command = audit.TraceCommand{Source: source, Sequence: q.sequence}
	r.opens, q.opens = cutFront(q.opens)
	r.declares, q.declares = cutFront(q.declares)
	r.command.Close, q.closes = cutFront(q.closes)
	for _, waiting := range r.opens {
		r.command.Open = append(r.command.Open, waiting.opening)
	}
	for _, waiting := range r.declares {
		r.command.Declare = append(r.command.Declare, waiting.declaration)
	}
	return r
}

func cutFront[T any](items []T) (front, rest []T) {
	n := min(len(items), maxTraceReport)
	return items[:n:n], items[n:]
}

func (t *Tracer) reportOnce(ctx context.Context, queue *traceQueue) {
	bounded, cancel := context.WithTimeout(ctx, traceTimeout)
	defer cancel()
	self, assigned := t.client.awaitSelf(bounded)
	r := queue.take(audit.Source{Host: self.Host, Incarnation: self.Incarnation})
	if !assigned {
		t.putBack(queue, r)
		return
	}
	reply, _, err := t.client.call(bounded, MethodTrace, Request{Group: queue.group, Trace: &r.command})
	if err == nil && reply.Trace != nil && reply.Trace.Applied {
		t.unreported.Add(-int64(len(r.command.Close)))
		r.answer(reply.Trace)
		return
	}
	t.putBack(queue, r)
}

func (r *traceReport) answer(result *audit.TraceResult) {
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

// errBatchRefused reports a batch that was declared otherwise before, or is
// out of bounds.
var errBatchRefused = errors.New("the batch can't be declared so")

func errIf(is bool, err error) error {
	if is {
		return err
	}
	return nil
}

// putBack keeps the outcomes of a report that was not confirmed for the next
// one, and refuses its openings. The report may be committed all the same, so
// the next one closes what this one opened.
func (t *Tracer) putBack(queue *traceQueue, r traceReport) {
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

// Audit answers a query from the traces of all groups.
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
