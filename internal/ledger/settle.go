package ledger

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/once"
)

// settlers is how many settlements are retried at the same time.
const settlers = 16

// settleFor bounds the retries of one settlement. After it the claim's hold
// ends, and the ledger says unknown by itself.
const settleFor = 15 * time.Minute

// settlement ends a claim: one of the two is set.
type settlement struct {
	group   port.GroupID
	release *once.Release
	record  *once.Record
}

// settle tells the ledger how a claim ended. It returns when the ledger has
// committed it, or after SettleWait with the rest left to the background. A
// caller that has gone doesn't end it.
func (c *Client) settle(ctx context.Context, s settlement) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.RecordWait)
	defer cancel()
	if !c.commit(ctx, s) {
		c.settleLater(s)
	}
}

func (c *Client) commit(ctx context.Context, s settlement) bool {
	method := MethodRecord
	if s.release != nil {
		method = MethodRelease
	}
	reply, _, err := c.call(ctx, method, Request{Group: s.group, Record: s.record, Release: s.release})
	countSettled(method, err == nil)
	if err == nil && s.record != nil && reply.Result != nil && reply.Result.Status != once.StatusAnswered {
		// The claim was forgotten or belongs to another. It can't be mended
		// here; the caller has its own answer, and a resend is told unknown.
		recordsRefused.Inc()
	}
	return err == nil
}

// settleLater queues a settlement. When the queue is full the claim is left to
// its hold, after which duplicates are told unknown.
func (c *Client) settleLater(s settlement) {
	c.unsettled.Add(1)
	select {
	case c.pending <- s:
	default:
		c.unsettled.Add(-1)
		settlementsDropped.Inc()
	}
}

// Run retries queued settlements until ctx ends. At first it tells every group
// that the earlier incarnations of this entry host are over, so that resends of
// their calls need not wait for the holds to learn that the outcome is unknown.
func (c *Client) Run(ctx context.Context) {
	c.running.Go(func() { c.endEarlierIncarnations(ctx) })
	for range settlers {
		c.running.Go(func() { c.settlePending(ctx) })
	}
	c.running.Wait()
}

// groupsEvery is how often a Client looks for groups that it has not told yet;
// the number of shards comes with the configuration.
const groupsEvery = time.Second

func (c *Client) endEarlierIncarnations(ctx context.Context) {
	self, assigned := c.awaitSelf(ctx)
	if !assigned {
		return
	}
	earlier := once.Owner{Host: self.Host, Incarnation: self.Incarnation - 1}
	told := 0
	for {
		for _, group := range c.groups()[told:] {
			if _, _, err := c.call(ctx, MethodLost, Request{Group: group, LostOwner: &earlier}); err != nil {
				return
			}
			told++
		}
		if !wait.For(ctx, groupsEvery) {
			return
		}
	}
}

func (c *Client) settlePending(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-c.pending:
			bounded, cancel := context.WithTimeout(ctx, settleFor)
			if !c.commit(bounded, s) {
				// Drain gets another chance at what Run leaves behind.
				c.settleLater(s)
			}
			c.unsettled.Add(-1)
			cancel()
		}
	}
}

// Drain is for a graceful shutdown, after the last call was taken and while Run
// is running. It waits for the calls under way and the settlements queued, and
// then tells every group that this incarnation of the entry host has ended, so
// that duplicates of claims that it can't account for need not wait for their
// holds. While something is unsettled it says nothing: the ledger would call an
// outcome unknown that is about to be recorded.
func (c *Client) Drain(ctx context.Context) {
	for c.unsettled.Load() > 0 {
		if !wait.For(ctx, minPause) {
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

// groups lists every ledger group in force.
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

// Pending returns the number of calls and settlements under way.
func (c *Client) Pending() int { return int(c.unsettled.Load()) }
