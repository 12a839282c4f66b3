package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/lovagereach/lovagereach/internal/port"
)

// conn is one authenticated connection, dialled or accepted.
type conn struct {
	transport *Transport
	ws        *websocket.Conn
	remote    port.Peer
	// expires is when the far side's certificate ends, zero without TLS.
	expires time.Time

	ctx    context.Context
	cancel context.CancelCauseFunc
	// inlineCtx is ctx with the session, for inline handlers.
	inlineCtx context.Context

	out   chan *outgoing
	bytes *semaphore.Weighted
	// unwritten counts frames queued or being written.
	unwritten atomic.Int64
	// leaving is set once the far side has said goodbye.
	leaving atomic.Bool
	// lastUsed is how long after began the last frame came either way, in nanoseconds.
	// The time of day may step, and would end connections in use.
	lastUsed atomic.Int64
	began    time.Time

	mu      sync.Mutex
	pending map[uint64]*outgoing
	nextID  uint64

	// lastRequest and lanes belong to the reader.
	lastRequest uint64
	lanes       map[port.Method]*lane
	slots       chan struct{}
}

func newConn(t *Transport, ws *websocket.Conn, remote port.Peer) *conn {
	ctx, cancel := context.WithCancelCause(t.ctx)
	c := &conn{
		transport: t,
		ws:        ws,
		remote:    remote,
		ctx:       ctx,
		cancel:    cancel,
		began:     time.Now(),
		out:       make(chan *outgoing, t.options.QueueLength),
		bytes:     semaphore.NewWeighted(int64(t.options.MaxQueuedBytes)),
		pending:   make(map[uint64]*outgoing),
		lanes:     make(map[port.Method]*lane),
		slots:     make(chan struct{}, t.options.HandlerLimit),
	}
	c.inlineCtx = withSession(ctx, c)
	c.touch()
	return c
}

// run carries the connection until it ends and returns why.
func (c *conn) run() error {
	c.ws.SetReadLimit(int64(c.transport.options.MaxFrame))
	var group errgroup.Group
	for _, loop := range []func() error{c.readLoop, c.writeLoop, c.pingLoop} {
		group.Go(func() error {
			err := loop()
			c.fail(err)
			return err
		})
	}
	<-c.ctx.Done()
	_ = c.ws.CloseNow()
	_ = group.Wait()
	return context.Cause(c.ctx)
}

// fail ends the connection. The first cause stands.
func (c *conn) fail(cause error) {
	if cause == nil {
		cause = port.ErrPeerLost
	}
	c.cancel(cause)
}

func (c *conn) touch() {
	c.lastUsed.Store(int64(time.Since(c.began)))
}

// idle returns for how long no frame has come either way.
func (c *conn) idle(now time.Time) time.Duration {
	return now.Sub(c.began) - time.Duration(c.lastUsed.Load())
}

// enqueue queues o, waiting for room until ctx ends.
func (c *conn) enqueue(ctx context.Context, o *outgoing) error {
	size := int64(o.frame.size())
	if size > int64(c.transport.options.MaxFrame) {
		return errTooLarge
	}
	if err := c.bytes.Acquire(ctx, size); err != nil {
		return errQueueFull
	}
	c.unwritten.Add(1)
	select {
	case c.out <- o:
		return nil
	case <-ctx.Done():
		c.release(o)
		return errQueueFull
	case <-c.ctx.Done():
		c.release(o)
		return context.Cause(c.ctx)
	}
}

// tryEnqueue queues o if there is room now.
func (c *conn) tryEnqueue(o *outgoing) bool {
	size := int64(o.frame.size())
	if size > int64(c.transport.options.MaxFrame) || c.ctx.Err() != nil {
		return false
	}
	if !c.bytes.TryAcquire(size) {
		return false
	}
	c.unwritten.Add(1)
	select {
	case c.out <- o:
		return true
	default:
		c.release(o)
		return false
	}
}

func (c *conn) release(o *outgoing) {
	c.bytes.Release(int64(o.frame.size()))
	c.unwritten.Add(-1)
}

// call sends a request on this connection and waits for its answer, at most
// HandlerTimeout when ctx has no deadline.
func (c *conn) call(ctx context.Context, method port.Method, body []byte) ([]byte, error) {
	c.touch()
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.transport.options.HandlerTimeout)
		defer cancel()
	}
	o := newRequest(ctx, frame{Kind: frameRequest, Method: method, Body: body})
	if err := c.enqueue(ctx, o); err != nil {
		return nil, notSent(err)
	}
	select {
	case answer := <-o.answer:
		return readAnswer(answer)
	case <-ctx.Done():
		return nil, c.giveUp(o, ctx.Err())
	case <-c.ctx.Done():
		return c.lost(o)
	}
}

// giveUp withdraws o. A frame already taken by the writer may have been run.
func (c *conn) giveUp(o *outgoing, cause error) error {
	if o.abandon() {
		return notSent(cause)
	}
	c.forget(o)
	return cause
}

// lost settles a call whose connection has ended. The answer may have arrived
// just before the end.
func (c *conn) lost(o *outgoing) ([]byte, error) {
	if o.abandon() {
		return nil, notSent(context.Cause(c.ctx))
	}
	select {
	case answer := <-o.answer:
		return readAnswer(answer)
	default:
		return nil, eris.Wrap(port.ErrPeerLost, context.Cause(c.ctx).Error())
	}
}

func readAnswer(answer frame) ([]byte, error) {
	switch answer.Status {
	case answerNotRun:
		return nil, notSent(eris.New(answer.Error))
	case answerFailed:
		return nil, &port.RemoteError{Message: answer.Error}
	default:
		return answer.Body, nil
	}
}

// send queues a one-way message.
func (c *conn) send(method port.Method, body []byte) bool {
	c.touch()
	o := &outgoing{frame: frame{Kind: frameOneWay, Method: method, Body: body}}
	if c.tryEnqueue(o) {
		return true
	}
	c.transport.stats.sendDrops.Inc()
	return false
}

// register gives a request its identity. A caller that left after the writer
// took its frame is not registered, or its entry would stay until the end.
func (c *conn) register(o *outgoing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	o.frame.ID = c.nextID
	if !o.gone {
		c.pending[o.frame.ID] = o
	}
}

func (c *conn) forget(o *outgoing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o.gone = true
	delete(c.pending, o.frame.ID)
}

// settle hands an answer to its call. An answer that matches no waiting call
// by identity and method is dropped: handing it to another caller would give
// that caller somebody else's result.
func (c *conn) settle(answer frame) {
	c.mu.Lock()
	o, ok := c.pending[answer.ID]
	if ok && o.frame.Method != answer.Method {
		ok = false
	}
	if ok {
		delete(c.pending, answer.ID)
	}
	c.mu.Unlock()
	if !ok {
		c.transport.stats.lateAnswers.Inc()
		return
	}
	o.answer <- answer
}

// pingLoop ends a connection whose far side no longer answers, whose
// certificate has run out, or which nobody has used for a long time.
func (c *conn) pingLoop() error {
	options := c.transport.options
	ticker := time.NewTicker(options.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return context.Cause(c.ctx)
		case now := <-ticker.C:
			if !c.expires.IsZero() && now.After(c.expires) {
				return eris.New("peer: certificate has expired")
			}
			if c.idle(now) > options.LinkIdle {
				return eris.New("peer: connection idle")
			}
		}
		ctx, cancel := context.WithTimeout(c.ctx, options.PingTimeout)
		err := c.ws.Ping(ctx)
		cancel()
		if err != nil {
			return eris.Wrap(err, "peer: ping")
		}
	}
}
