package peer

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

// readBuffers is shared by all connections, so that an idle connection holds no
// buffer. Decoded frames don't refer to the buffer.
var readBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// readLoop decodes and dispatches messages until the connection ends. A message
// that can't be decoded closes the connection: the data after it can't be
// trusted, and pending calls fail with an uncertain outcome.
func (c *conn) readLoop() error {
	for {
		frames, err := c.readFrames()
		if err != nil {
			return err
		}
		c.markUsed()
		c.transport.stats.recvFrames.Add(len(frames))
		for _, f := range frames {
			c.dispatch(f)
		}
	}
}

// readFrames reads and decodes one WebSocket message.
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
		err = eris.New("text message in place of a binary one")
	}
	if err != nil {
		c.transport.stats.badFrames.Inc()
		return nil, eris.Wrap(err, "peer: bad message")
	}
	return frames, nil
}

// dispatch passes a frame to its handler. Once the connection has ended, only answers are
// accepted: a newer incarnation of the remote process may have sent messages since.
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
		c.deliver(f)
	case frameGoodbye:
		c.leaving.Store(true)
	}
}

// acceptRequest starts the handler of a request. It drops a request whose ID isn't
// above the last one: IDs increase on a connection, so the request is a repeat
// and would run twice.
func (c *conn) acceptRequest(f frame) {
	if f.ID <= c.lastRequest {
		c.transport.stats.duplicates.Inc()
		return
	}
	c.lastRequest = f.ID
	if !c.transport.beginWork(false) {
		c.refuseRequest(f, "the process is shutting down")
		return
	}
	select {
	case c.slots <- struct{}{}:
		go c.runRequest(f)
	default:
		c.transport.endWork()
		c.transport.stats.busy.Inc()
		c.refuseRequest(f, "too many requests run on this connection")
	}
}

// refuseRequest answers that the request was not run.
func (c *conn) refuseRequest(f frame, reason string) {
	answer := frame{Kind: frameAnswer, ID: f.ID, Method: f.Method, Status: answerNotRun, Error: reason}
	if !c.tryEnqueue(&outgoing{frame: answer}) {
		c.transport.stats.sendDrops.Inc()
	}
}

func (c *conn) runRequest(f frame) {
	defer c.transport.endWork()
	defer func() { <-c.slots }()
	ctx, cancel := context.WithTimeout(c.ctx, c.handlerTimeout(f))
	defer cancel()
	if ctx.Err() != nil {
		return
	}
	answer := c.handle(ctx, f)
	enqueueCtx, stop := context.WithTimeout(c.ctx, c.transport.options.WriteTimeout)
	defer stop()
	if err := c.enqueue(enqueueCtx, &outgoing{frame: answer}); err != nil {
		c.transport.stats.sendDrops.Inc()
	}
}

// handlerTimeout returns the smaller of HandlerTimeout and the caller's timeout.
func (c *conn) handlerTimeout(f frame) time.Duration {
	limit := c.transport.options.HandlerTimeout
	if f.TimeoutMillis == 0 {
		return limit
	}
	return min(limit, time.Duration(f.TimeoutMillis)*time.Millisecond)
}

// handle calls the handler of a request and returns the answer frame.
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

// acceptOneWay adds a message to the queue of its method. Each queue is bounded
// and handled in order, so that a slow handler delays and drops only messages of
// its own method.
func (c *conn) acceptOneWay(f frame) {
	if _, ok := c.transport.handlers[f.Method]; !ok {
		c.transport.stats.oneWayDrops.Inc()
		return
	}
	if c.transport.inline[f.Method] {
		c.runInline(f)
		return
	}
	l, ok := c.methodQueues[f.Method]
	if !ok {
		l = &methodQueue{}
		c.methodQueues[f.Method] = l
	}
	if !l.add(c, f) {
		c.transport.stats.oneWayDrops.Inc()
	}
}

// runInline calls an inline handler on the reader's goroutine. Inline handlers
// don't block, so the context has no deadline.
func (c *conn) runInline(f frame) {
	if !c.transport.beginWork(false) {
		c.transport.stats.oneWayDrops.Inc()
		return
	}
	defer c.transport.endWork()
	_, _ = c.transport.handlers[f.Method].HandlePeer(c.inlineCtx, c.remote, f.Method, f.Body)
}

func (c *conn) runOneWay(f frame) {
	if !c.transport.beginWork(false) {
		c.transport.stats.oneWayDrops.Inc()
		return
	}
	defer c.transport.endWork()
	ctx, cancel := context.WithTimeout(c.ctx, c.transport.options.HandlerTimeout)
	defer cancel()
	handler := c.transport.handlers[f.Method]
	_, _ = handler.HandlePeer(withSession(ctx, c), c.remote, f.Method, f.Body)
}
