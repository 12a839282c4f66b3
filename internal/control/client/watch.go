package client

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/internal/wire"
)

var errRevisionGone = eris.New("the revision is no longer offered")

func (c *Client) watchLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		target, moved := c.leader.current()
		if err := c.watchOnce(ctx, target, moved); err != nil {
			c.opts.Log.Debug("watch failed", "leader", target, "err", err)
			c.leader.failed(target)
			wait.For(ctx, c.opts.RetryEvery)
		}
	}
	return nil
}

// watchOnce asks for what follows the revision held. The next watch names the
// new revision, which acknowledges it.
func (c *Client) watchOnce(loop context.Context, target string, moved <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(loop, c.opts.WatchWait+c.opts.CallTimeout)
	defer cancel()
	go func() {
		// A leader on the far side of a partition holds the call open and
		// says nothing. The renewals notice it first.
		select {
		case <-moved:
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
		c.follow(target, answer.Redirect)
		// The pause is not the call's: to follow a redirect ends the call's
		// context. Without a leader each control host sends on to the next, and
		// the entry would ask them in a circle as fast as they answer.
		wait.For(loop, c.opts.RetryEvery/4)
		return nil
	}
	return c.take(ctx, target, answer)
}

func (c *Client) take(ctx context.Context, target string, answer protocol.WatchAnswer) error {
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
		c.askRenewal()
	}
}

// fetch collects a whole configuration part by part.
func (c *Client) fetch(ctx context.Context, target string, answer protocol.WatchAnswer) (*config.FullRevision, error) {
	if answer.FullBytes <= 0 || answer.FullBytes > protocol.MaxConfigBytes {
		return nil, eris.Errorf("a configuration of %d bytes is out of bounds", answer.FullBytes)
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
