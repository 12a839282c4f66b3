package client

import (
	"context"

	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/wait"
)

// awaitIncarnation asks the control hosts to number this life of the entry,
// until one does. It reports false when ctx ends before.
func (c *Client) awaitIncarnation(ctx context.Context) bool {
	for ctx.Err() == nil {
		if c.askIncarnation(ctx) {
			return true
		}
		wait.For(ctx, c.opts.RetryEvery)
	}
	return false
}

func (c *Client) askIncarnation(ctx context.Context) bool {
	target, _ := c.leader.current()
	var answer protocol.AssignAnswer
	if err := c.quickCall(ctx, target, protocol.MethodAssign, protocol.AssignRequest{}, &answer); err != nil {
		c.opts.Log.Debug("incarnation not assigned", "leader", target, "err", err)
		c.leader.failed(target)
		return false
	}
	if answer.Incarnation == 0 {
		c.follow(target, answer.Redirect)
		return false
	}
	c.mu.Lock()
	c.child.Assign(answer.Incarnation)
	c.mu.Unlock()
	c.incarnation.Store(uint64(answer.Incarnation))
	return true
}
