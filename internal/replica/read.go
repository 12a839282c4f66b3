package replica

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/quorum"
)

// read is one ReadBarrier call.
type read struct {
	deadline time.Time
	result   chan error
}

// pendingReads are the pending reads of a group. Reads that arrive in the same
// iteration share one read index.
type pendingReads struct {
	// queued are the reads of this iteration, started are those that wait for their
	// read index, by the ID passed to the node.
	queued  []*read
	started map[uint64]startedReads
	nextID  uint64
}

type startedReads struct {
	reads []*read
	// deadline is the latest deadline of the reads.
	deadline time.Time
}

// ReadBarrier implements port.Replica.
func (g *group) ReadBarrier(ctx context.Context) error {
	ctx, cancel := g.manager.withDefaultTimeout(ctx)
	defer cancel()
	if g.isSuspended() {
		return &SuspendedError{Group: g.id, Reason: g.suspendReason()}
	}
	deadline, _ := ctx.Deadline()
	r := &read{deadline: deadline, result: make(chan error, 1)}
	if !g.worker.inbox.offer(event{group: g, read: r}) {
		return ErrBusy
	}
	select {
	case err := <-r.result:
		return err
	case <-ctx.Done():
		return eris.Wrap(ErrReadBarrier, ctx.Err().Error())
	case <-g.manager.done:
		return ErrStopped
	}
}

// startReads requests a read index from the node for the reads of this iteration.
func (g *group) startReads(now time.Time) {
	if len(g.reads.queued) == 0 {
		return
	}
	queued := g.reads.queued
	g.reads.queued = nil
	g.reads.nextID++
	id := g.reads.nextID
	g.manager.stats.readRounds.Inc()
	if err := g.node.ReadIndex(now, id); err != nil {
		failAll(queued, toPortError(err))
		return
	}
	latest := queued[0].deadline
	for _, r := range queued {
		if r.deadline.After(latest) {
			latest = r.deadline
		}
	}
	g.reads.started[id] = startedReads{reads: queued, deadline: latest}
}

func (g *group) finishReads(results []quorum.Read) {
	var ready []indexedReads
	for _, result := range results {
		started, ok := g.reads.started[result.ID]
		if !ok {
			continue
		}
		delete(g.reads.started, result.ID)
		if result.Err != nil {
			failAll(started.reads, toPortError(result.Err))
			continue
		}
		ready = append(ready, indexedReads{index: result.Index, reads: started.reads})
	}
	if len(ready) > 0 {
		g.applier.add(applyItem{reads: ready})
	}
}

// expire drops the reads whose read index was not received before the deadline.
// Their callers have stopped waiting by then.
func (p *pendingReads) expire(now time.Time) {
	for id, started := range p.started {
		if now.After(started.deadline) {
			delete(p.started, id)
		}
	}
}

func (p *pendingReads) fail(err error) {
	failAll(p.queued, err)
	p.queued = nil
	for id, started := range p.started {
		failAll(started.reads, err)
		delete(p.started, id)
	}
}

func failAll(reads []*read, err error) {
	for _, r := range reads {
		r.result <- err
	}
}
