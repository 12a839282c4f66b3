package client

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

func (c *Client) requestRenewal() {
	select {
	case c.renewNow <- struct{}{}:
	default:
	}
}

func (c *Client) renewLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := c.opts.RenewEvery
		if !c.renewOnce(ctx) {
			wait = c.opts.RetryEvery
		}
		c.awaitRenewal(ctx, wait)
	}
	return nil
}

func (c *Client) awaitRenewal(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.renewNow:
	case <-ctx.Done():
	}
}

// renewOnce reports whether the lease was granted or the entry has released it.
func (c *Client) renewOnce(ctx context.Context) bool {
	request, wanted := c.beginRenewal()
	if !wanted {
		return true
	}
	target, _ := c.leader.current()
	var answer protocol.RenewAnswer
	if err := c.callWithTimeout(ctx, target, protocol.MethodRenew, request, &answer); err != nil {
		c.opts.Log.Debug("lease not renewed", "leader", target, "err", err)
		c.leader.markFailed(target)
		return false
	}
	if answer.Redirect != nil || answer.Renewed == nil {
		c.followRedirect(target, answer.Redirect)
		return false
	}
	return c.completeRenewal(*answer.Renewed)
}

func (c *Client) beginRenewal() (protocol.RenewRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.child.Self().State == member.StateDown {
		return protocol.RenewRequest{}, false
	}
	c.counts.Renewals++
	renewal := c.child.Renewal(c.opts.Clock(), config.Revision(c.acked.Load()))
	return protocol.RenewRequest{
		Number:  renewal.Number,
		Acked:   renewal.InForce,
		Session: renewal.Stamp.Session,
		State:   renewal.State,
		Claim:   renewal.Claim,
		Members: renewal.Members,

		Incarnation: renewal.Stamp.Incarnation,
	}, true
}

func (c *Client) completeRenewal(renewed relay.Renewed) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	effect := c.child.Renewed(renewed)
	if effect.Reattach {
		c.child.Attach()
	}
	c.refused = renewed.Refused
	if renewed.Refused != "" {
		c.counts.Refusals++
		return false
	}
	if !effect.Granted {
		c.counts.StaleAnswers++
	}
	return true
}

func (c *Client) reportLoop(ctx context.Context) error {
	for wait.For(ctx, c.opts.ReportEvery) {
		upstreams := c.opts.Upstreams()
		if len(upstreams) > protocol.MaxReported {
			upstreams = upstreams[:protocol.MaxReported]
		}
		target, _ := c.leader.current()
		var answer protocol.ReportAnswer
		// The next report replaces a lost one.
		err := c.callWithTimeout(ctx, target, protocol.MethodReport, protocol.Report{Upstreams: upstreams}, &answer)
		if err != nil {
			c.opts.Log.Debug("report not sent", "leader", target, "err", err)
		}
	}
	return nil
}
