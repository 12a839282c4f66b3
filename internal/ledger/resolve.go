package ledger

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/once"
)

// resolveWorkers is the number of resolutions that are retried concurrently.
const resolveWorkers = 16

// resolveTimeout limits the retries of one resolution. Afterwards the claim's
// hold ends and the ledger resolves it as unknown.
const resolveTimeout = 15 * time.Minute

// resolution ends a claim. Either release or record is set.
type resolution struct {
	group   port.GroupID
	release *once.Release
	record  *once.Record
}

// resolve reports the resolution of a claim to the ledger. It returns when the
// ledger has committed it, or after RecordWait, in which case it is retried in
// the background. A cancellation of ctx doesn't interrupt it.
func (c *Client) resolve(ctx context.Context, r resolution) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.RecordWait)
	defer cancel()
	if !c.commit(ctx, r) {
		c.resolveLater(r)
	}
}

func (c *Client) commit(ctx context.Context, r resolution) bool {
	method := MethodRecord
	if r.release != nil {
		method = MethodRelease
	}
	reply, _, err := c.call(ctx, method, Request{Group: r.group, Record: r.record, Release: r.release})
	countResolution(method, err == nil)
	if err == nil && r.record != nil && reply.Result != nil && reply.Result.Status != once.StatusAnswered {
		// The ledger no longer has the claim, or the key belongs to another
		// claim. This can't be corrected here: the caller gets its own answer,
		// and the outcome of a resend is unknown.
		recordsRefused.Inc()
	}
	return err == nil
}

// resolveLater queues a resolution. If the queue is full, the resolution is
// dropped; when the claim's hold expires, the outcome is unknown to duplicates.
func (c *Client) resolveLater(r resolution) {
	c.unresolved.Add(1)
	select {
	case c.pending <- r:
	default:
		c.unresolved.Add(-1)
		resolutionsDropped.Inc()
	}
}

// Run retries queued resolutions until ctx is done. It first reports to each
// group that the earlier incarnations of this entry host have ended, so that
// resends of their calls get an unknown outcome without waiting for the holds.
func (c *Client) Run(ctx context.Context) {
	c.running.Go(func() { c.reportEarlierIncarnations(ctx) })
	for range resolveWorkers {
		c.running.Go(func() { c.resolvePending(ctx) })
	}
	c.running.Wait()
}

// groupsInterval is the interval at which a Client checks for groups that it
// hasn't reported its earlier incarnations to. The number of shards may grow
// with a configuration change.
const groupsInterval = time.Second

func (c *Client) reportEarlierIncarnations(ctx context.Context) {
	self, assigned := c.awaitSelf(ctx)
	if !assigned {
		return
	}
	earlier := once.Owner{Host: self.Host, Incarnation: self.Incarnation - 1}
	reported := 0
	for {
		for _, group := range c.groups()[reported:] {
			if _, _, err := c.call(ctx, MethodLost, Request{Group: group, LostOwner: &earlier}); err != nil {
				return
			}
			reported++
		}
		if !wait.For(ctx, groupsInterval) {
			return
		}
	}
}

func (c *Client) resolvePending(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.pending:
			bounded, cancel := context.WithTimeout(ctx, resolveTimeout)
			if !c.commit(bounded, r) {
				// Queue it again, so that Drain waits for it.
				c.resolveLater(r)
			}
			c.unresolved.Add(-1)
			cancel()
		}
	}
}

// Drain is part of a graceful shutdown. It must be called after the last call
// was accepted and while Run is running. It waits for the calls in progress and
// the queued resolutions, and then reports to each group that this incarnation
// of the entry host has ended, so that duplicates of its remaining claims
// needn't wait for their holds. It doesn't report this while a call or
// resolution is pending, since the ledger would then resolve as unknown an
// outcome that is about to be recorded.
func (c *Client) Drain(ctx context.Context) {
	for c.unresolved.Load() > 0 {
		if !wait.For(ctx, minBackoff) {
			return
		}
	}
	self := c.options.Self()
	if self.Incarnation == 0 {
		return
	}
	for _, group := range c.groups() {
		if _, _, err := c.call(ctx, MethodLost, Request{Group: group, LostOwner: &self}); err != nil {
			return
		}
	}
}

// groups returns all ledger groups of the shard count in force.
func (c *Client) groups() []port.GroupID {
	count := uint32(1)
	if shards := c.options.Shards(); len(shards) > 0 {
		count = shards[len(shards)-1]
	}
	groups := make([]port.GroupID, count)
	for shard := range groups {
		groups[shard] = GroupOf(uint32(shard))
	}
	return groups
}

// Pending returns the number of calls in progress and of queued resolutions.
func (c *Client) Pending() int { return int(c.unresolved.Load()) }
