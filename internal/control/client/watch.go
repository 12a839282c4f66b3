package client

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/internal/wire"
)

var errRevisionGone = eris.New("revision is no longer available")

func (c *Client) watchLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		target, targetChanged := c.leader.current()
		if err := c.watchOnce(ctx, target, targetChanged); err != nil {
			c.opts.Log.Debug("watch failed", "leader", target, "err", err)
			c.leader.markFailed(target)
			wait.For(ctx, c.opts.RetryEvery)
		}
	}
	return nil
}

// watchOnce requests the changes since the current revision and applies them.
// The next watch contains the new revision, which acknowledges it.
func (c *Client) watchOnce(loopCtx context.Context, target string, targetChanged <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(loopCtx, c.opts.WatchWait+c.opts.CallTimeout)
	defer cancel()
	go func() {
		// A leader on the other side of a partition holds the call open without
		// an answer. The renewals detect this first and change the target.
		select {
		case <-targetChanged:
			cancel()
		case <-ctx.Done():
		}
	}()
	request := protocol.WatchRequest{
		HeldRevision: c.Snapshot().Revision(),
		WaitMillis:   c.opts.WatchWait.Milliseconds(),

		Incarnation: c.Incarnation(),
	}
	var answer protocol.WatchAnswer
	if err := c.call(ctx, target, protocol.MethodWatch, request, &answer); err != nil {
		return err
	}
	if answer.Redirect != nil {
		c.followRedirect(target, answer.Redirect)
		// The delay uses loopCtx, since following a redirect cancels ctx. Without
		// a leader each control host redirects to the next, and without this delay
		// the entry would send them watches in turn as fast as they answer.
		wait.For(loopCtx, c.opts.RetryEvery/4)
		return nil
	}
	return c.apply(ctx, target, answer)
}

func (c *Client) apply(ctx context.Context, target string, answer protocol.WatchAnswer) error {
	update := config.Update{Delta: answer.Delta}
	if answer.FullRevision > c.Snapshot().Revision() {
		full, err := c.fetch(ctx, target, answer)
		if err != nil {
			return err
		}
		update = config.Update{Full: full}
		c.count(func(n *Counts) { n.Fulls++ })
	}
	c.mu.Lock()
	effect := c.child.Pushed(update)
	next := c.child.Config()
	c.mu.Unlock()
	if effect.Behind {
		c.count(func(n *Counts) { n.Gaps++ })
	}
	if effect.ConfigChanged {
		c.adopt(next)
	}
	return effect.Err
}

func (c *Client) adopt(next *config.Snapshot) {
	c.current.Store(next)
	if c.opts.OnRevision != nil {
		c.opts.OnRevision(next)
	}
	c.acked.Store(uint64(next.Revision()))
	c.count(func(n *Counts) { n.Updates++ })
	if !c.Serving() {
		c.requestRenewal()
	}
}

// fetch fetches a full configuration in parts.
func (c *Client) fetch(ctx context.Context, target string, answer protocol.WatchAnswer) (*config.FullRevision, error) {
	if answer.FullBytes <= 0 || answer.FullBytes > protocol.MaxConfigBytes {
		return nil, eris.Errorf("invalid configuration size: %d bytes", answer.FullBytes)
	}
	data := make([]byte, 0, answer.FullBytes)
	for len(data) < answer.FullBytes {
		request := protocol.PartRequest{Revision: answer.FullRevision, Offset: len(data)}
		var part protocol.PartAnswer
		if err := c.call(ctx, target, protocol.MethodPart, request, &part); err != nil {
			return nil, err
		}
		if part.Gone || len(part.Data) == 0 || len(data)+len(part.Data) > answer.FullBytes {
			return nil, errRevisionGone
		}
		data = append(data, part.Data...)
	}
	full := new(config.FullRevision)
	if err := wire.Unmarshal(data, full); err != nil {
		return nil, eris.Wrap(err, "decode configuration")
	}
	return full, nil
}
