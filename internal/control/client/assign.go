package client

import (
	"context"

	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/wait"
)

// awaitIncarnation requests an incarnation from the control hosts until one is
// assigned. It returns false if ctx is done before.
func (c *Client) awaitIncarnation(ctx context.Context) bool {
	for ctx.Err() == nil {
		if c.requestIncarnation(ctx) {
			return true
		}
		wait.For(ctx, c.opts.RetryEvery)
	}
	return false
}

func (c *Client) requestIncarnation(ctx context.Context) bool {
	target, _ := c.leader.current()
	var answer protocol.AssignAnswer
	if err := c.callWithTimeout(ctx, target, protocol.MethodAssign, protocol.AssignRequest{}, &answer); err != nil {
		c.opts.Log.Debug("incarnation not assigned", "leader", target, "err", err)
		c.leader.markFailed(target)
		return false
	}
	if answer.Incarnation == 0 {
		c.followRedirect(target, answer.Redirect)
		return false
	}
	c.mu.Lock()
	c.child.Assign(answer.Incarnation)
	c.mu.Unlock()
	c.incarnation.Store(uint64(answer.Incarnation))
	return true
}
