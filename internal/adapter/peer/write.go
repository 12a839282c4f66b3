package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

// batch is the content of one WebSocket message to be written.
type batch struct {
	items  []*outgoing
	frames []frame
	size   int
}

func (b *batch) reset() {
	clear(b.items)
	clear(b.frames)
	b.items = b.items[:0]
	b.frames = b.frames[:0]
	b.size = 0
}

// writeLoop writes queued frames, many of them per message.
func (c *conn) writeLoop() error {
	var b batch
	var next *outgoing
	for {
		b.reset()
		if next == nil {
			select {
			case next = <-c.out:
			case <-c.ctx.Done():
				return context.Cause(c.ctx)
			}
		}
		next = c.fill(&b, next)
		if err := c.writeBatch(&b); err != nil {
			return err
		}
	}
}

// fill adds first and the frames queued behind it to b. It returns the frame that
// didn't fit, or nil.
func (c *conn) fill(b *batch, first *outgoing) *outgoing {
	for next := first; ; {
		size := next.frame.size()
		if b.size > 0 && b.size+size > c.transport.options.MaxFrame {
			return next
		}
		c.add(b, next, size)
		if b.size >= batchBytes || len(b.frames) == maxBatch {
			return nil
		}
		select {
		case next = <-c.out:
		default:
			return nil
		}
	}
}

// add claims o and adds it to b; an abandoned frame is released.
func (c *conn) add(b *batch, o *outgoing, size int) {
	if !o.claim() {
		c.release(o)
		return
	}
	if o.answer != nil {
		o.stampTimeout(time.Now())
		c.register(o)
	}
	b.items = append(b.items, o)
	b.frames = append(b.frames, o.frame)
	b.size += size
}

func (c *conn) writeBatch(b *batch) error {
	if len(b.frames) == 0 {
		return nil
	}
	data, err := encodeFrames(b.frames)
	if err != nil {
		return eris.Wrap(err, "peer: encode frames")
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.transport.options.WriteTimeout)
	err = c.ws.Write(ctx, websocket.MessageBinary, data)
	cancel()
	for _, o := range b.items {
		c.release(o)
	}
	if err != nil {
		return eris.Wrap(err, "peer: write")
	}
	c.transport.stats.sentFrames.Add(len(b.frames))
	c.transport.stats.sentBytes.Add(len(data))
	return nil
}
