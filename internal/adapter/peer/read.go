package peer

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

// readBuffers are shared by all connections, so that an idle one keeps none.
// Decoding copies what it keeps of them.
var readBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// readLoop decodes and dispatches messages until the connection ends. A
// message that does not decode ends the connection: what follows it cannot be
// trusted, and its callers learn that their outcome is uncertain.
func (c *conn) readLoop() error {
	for {
		frames, err := c.readFrames()
		if err != nil {
			return err
		}
		c.touch()
		c.transport.stats.recvFrames.Add(len(frames))
		for _, f := range frames {
			c.dispatch(f)
		}
	}
}

// readFrames reads and decodes one message.
func (c *conn) readFrames() ([]frame, error) {
	kind, reader, err := c.ws.Reader(c.ctx)
	if err != nil {
		return nil, eris.Wrap(err, "peer: read")
	}
	buffer := readBuffers.Get().(*bytes.Buffer)
	defer readBuffers.Put(buffer)
	buffer.Reset()
	if _, err := buffer.ReadFrom(reader); err != nil {
		return nil, eris.Wrap(err, "peer: read")
	}
	c.transport.stats.recvBytes.Add(buffer.Len())
	frames, err := decodeFrames(buffer.Bytes())
	if err == nil && kind != websocket.MessageBinary {
		err = eris.New("text in place of frames")
	}
	if err != nil {
		c.transport.stats.badFrames.Inc()
		return nil, eris.Wrap(err, "peer: bad message")
	}
	return frames, nil
}

// dispatch hands a message on. Of what was read before the connection ended only answers
// count: a later life of the far side may have been heard since.
func (c *conn) dispatch(f frame) {
	if c.ctx.Err() != nil && f.Kind != frameAnswer {
		return
	}
	switch f.Kind {
	case frameRequest:
		c.acceptRequest(f)
	case frameOneWay:
		c.acceptOneWay(f)
	case frameAnswer:
		c.settle(f)
	case frameGoodbye:
		c.leaving.Store(true)
	}
}

// acceptRequest starts the handler of a request unless the identity has been
// seen before: identities grow on a connection, so a repeated one would run a
// request twice.
func (c *conn) acceptRequest(f frame) {
	if f.ID <= c.lastRequest {
		c.transport.stats.duplicates.Inc()
		return
	}
	c.lastRequest = f.ID
	if !c.transport.begin(false) {
		c.refuseRequest(f, "the process is shutting down")
		return
	}
	select {
	case c.slots <- struct{}{}:
		go c.runRequest(f)
	default:
		c.transport.end()
		c.transport.stats.busy.Inc()
		c.refuseRequest(f, "too many requests run on this connection")
	}
}

func (c *conn) refuseRequest(f frame, why string) {
	answer := frame{Kind: frameAnswer, ID: f.ID, Method: f.Method, Status: answerNotRun, Error: why}
	if !c.tryEnqueue(&outgoing{frame: answer}) {
		c.transport.stats.sendDrops.Inc()
	}
}

func (c *conn) runRequest(f frame) {
	defer c.transport.end()
	defer func() { <-c.slots }()
	ctx, cancel := context.WithTimeout(c.ctx, c.handlerTimeout(f))
	defer cancel()
	if ctx.Err() != nil {
		return
	}
	answer := c.handle(ctx, f)
	queueing, stop := context.WithTimeout(c.ctx, c.transport.options.WriteTimeout)
	defer stop()
	if err := c.enqueue(queueing, &outgoing{frame: answer}); err != nil {
		c.transport.stats.sendDrops.Inc()
	}
}

func (c *conn) handlerTimeout(f frame) time.Duration {
	limit := c.transport.options.HandlerTimeout
	if f.TimeoutMillis == 0 {
		return limit
	}
	return min(limit, time.Duration(f.TimeoutMillis)*time.Millisecond)
}

func (c *conn) handle(ctx context.Context, f frame) frame {
	answer := frame{Kind: frameAnswer, ID: f.ID, Method: f.Method}
	handler, ok := c.transport.handlers[f.Method]
	if !ok {
		answer.Status = answerNotRun
		answer.Error = "no handler for method " + string(f.Method)
		return answer
	}
	body, err := handler.HandlePeer(withSession(ctx, c), c.remote, f.Method, f.Body)
	if err != nil {
		answer.Status = answerFailed
		answer.Error = truncate(err.Error(), maxErrorText)
		return answer
	}
	answer.Body = body
	if answer.size() > c.transport.options.MaxFrame {
		answer.Body = nil
		answer.Status = answerFailed
		answer.Error = errTooLarge.Error()
	}
	return answer
}

// acceptOneWay hands a message to the lane of its method. Each lane handles in
// order and is bounded, so that a slow handler delays and drops messages of
// its own method only.
func (c *conn) acceptOneWay(f frame) {
	if _, ok := c.transport.handlers[f.Method]; !ok {
		c.transport.stats.oneWayDrops.Inc()
		return
	}
	if c.transport.inline[f.Method] {
		c.runInline(f)
		return
	}
	l, ok := c.lanes[f.Method]
	if !ok {
		l = &lane{}
		c.lanes[f.Method] = l
	}
	if !l.add(c, f) {
		c.transport.stats.oneWayDrops.Inc()
	}
}

// runInline calls a handler that does not wait for anything, so it needs no
// deadline of its own.
func (c *conn) runInline(f frame) {
	if !c.transport.begin(false) {
		c.transport.stats.oneWayDrops.Inc()
		return
	}
	defer c.transport.end()
	_, _ = c.transport.handlers[f.Method].HandlePeer(c.inlineCtx, c.remote, f.Method, f.Body)
}

func (c *conn) runOneWay(f frame) {
	if !c.transport.begin(false) {
		c.transport.stats.oneWayDrops.Inc()
		return
	}
	defer c.transport.end()
	ctx, cancel := context.WithTimeout(c.ctx, c.transport.options.HandlerTimeout)
	defer cancel()
	handler := c.transport.handlers[f.Method]
	_, _ = handler.HandlePeer(withSession(ctx, c), c.remote, f.Method, f.Body)
}
