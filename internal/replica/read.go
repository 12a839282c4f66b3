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

// pendingReads are the reads of a group. Reads that arrive in one turn share
// one read index.
type pendingReads struct {
	fresh   []*read
	started map[uint64]startedReads
	nextID  uint64
}

type startedReads struct {
	reads []*read
	// deadline is the latest of the reads'.
	deadline time.Time
}

// ReadBarrier implements port.Replica.
func (g *group) ReadBarrier(ctx context.Context) error {
	ctx, cancel := g.manager.bound(ctx)
	defer cancel()
	if g.stopped() {
		return &SuspendedError{Group: g.id, Reason: g.reason()}
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

// startReads asks the node for an index on behalf of the reads of this turn.
func (g *group) startReads(now time.Time) {
	if len(g.reads.fresh) == 0 {
		return
	}
	fresh := g.reads.fresh
	g.reads.fresh = nil
	g.reads.nextID++
	id := g.reads.nextID
	g.manager.stats.readRounds.Inc()
	if err := g.node.ReadIndex(now, id); err != nil {
		failAll(fresh, translate(err))
		return
	}
	latest := fresh[0].deadline
	for _, r := range fresh {
		if r.deadline.After(latest) {
			latest = r.deadline
		}
	}
	g.reads.started[id] = startedReads{reads: fresh, deadline: latest}
}

func (g *group) finishReads(answers []quorum.Read) {
	var ready []readAt
	for _, answer := range answers {
		started, ok := g.reads.started[answer.ID]
		if !ok {
			continue
		}
		delete(g.reads.started, answer.ID)
		if answer.Err != nil {
			failAll(started.reads, translate(answer.Err))
			continue
		}
		ready = append(ready, readAt{index: answer.Index, reads: started.reads})
	}
	if len(ready) > 0 {
		g.applier.add(applyItem{reads: ready})
	}
}

// expire forgets reads whose answer was lost and whose callers have left.
func (p *pendingReads) expire(now time.Time) {
	for id, started := range p.started {
		if now.After(started.deadline) {
			delete(p.started, id)
		}
	}
}

func (p *pendingReads) fail(err error) {
	failAll(p.fresh, err)
	p.fresh = nil
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
