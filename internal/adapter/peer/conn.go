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

// conn is an authenticated connection, either dialled or accepted.
type conn struct {
	transport *Transport
	ws        *websocket.Conn
	remote    port.Peer
	// expires is the expiry time of the remote certificate, zero without TLS.
	expires time.Time

	ctx    context.Context
	cancel context.CancelCauseFunc
	// inlineCtx is ctx with the session attached; inline handlers get it.
	inlineCtx context.Context

	out   chan *outgoing
	bytes *semaphore.Weighted
	// unwritten is the number of frames that are queued or being written.
	unwritten atomic.Int64
	// leaving is set once the remote process has sent a goodbye frame.
	leaving atomic.Bool
	// lastUsed is the time of the last frame in either direction, in nanoseconds
	// since startedAt. It is measured by the monotonic clock: a step of the wall
	// clock would close connections in use.
	lastUsed  atomic.Int64
	startedAt time.Time

	mu      sync.Mutex
	pending map[uint64]*outgoing
	nextID  uint64

	// lastRequest, the highest request ID received, and methodQueues are used
	// by the reader only.
	lastRequest  uint64
	methodQueues map[port.Method]*methodQueue
	slots        chan struct{}
}

func newConn(t *Transport, ws *websocket.Conn, remote port.Peer) *conn {
	ctx, cancel := context.WithCancelCause(t.ctx)
	c := &conn{
		transport:    t,
		ws:           ws,
		remote:       remote,
		ctx:          ctx,
		cancel:       cancel,
		startedAt:    time.Now(),
		out:          make(chan *outgoing, t.options.QueueLength),
		bytes:        semaphore.NewWeighted(int64(t.options.MaxQueuedBytes)),
		pending:      make(map[uint64]*outgoing),
		methodQueues: make(map[port.Method]*methodQueue),
		slots:        make(chan struct{}, t.options.HandlerLimit),
	}
	c.inlineCtx = withSession(ctx, c)
	c.markUsed()
	return c
}

// run reads, writes and pings until the connection ends, and returns the cause.
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

// fail closes the connection. Only the first cause is kept.
func (c *conn) fail(cause error) {
	if cause == nil {
		cause = port.ErrPeerLost
	}
	c.cancel(cause)
}

// markUsed records the current time as that of the last frame.
func (c *conn) markUsed() {
	c.lastUsed.Store(int64(time.Since(c.startedAt)))
}

// idle returns the time since the last frame in either direction.
func (c *conn) idle(now time.Time) time.Duration {
	return now.Sub(c.startedAt) - time.Duration(c.lastUsed.Load())
}

// enqueue queues o and waits for queue space until ctx is done.
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

// tryEnqueue queues o if the queue has space, and reports whether it did.
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

// release returns the queue space of o.
func (c *conn) release(o *outgoing) {
	c.bytes.Release(int64(o.frame.size()))
	c.unwritten.Add(-1)
}

// call sends a request on this connection and waits for its answer, for at
// most HandlerTimeout if ctx has no deadline.
func (c *conn) call(ctx context.Context, method port.Method, body []byte) ([]byte, error) {
	c.markUsed()
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
		return nil, c.withdraw(o, ctx.Err())
	case <-c.ctx.Done():
		return c.resolveLost(o)
	}
}

// withdraw cancels o and returns the call's error. Only an unclaimed frame
// yields ErrPeerNotSent: a frame that the writer has claimed may have been run.
func (c *conn) withdraw(o *outgoing, cause error) error {
	if o.abandon() {
		return notSent(cause)
	}
	c.unregister(o)
	return cause
}

// resolveLost completes a call whose connection has ended. The answer may have
// arrived just before the end.
func (c *conn) resolveLost(o *outgoing) ([]byte, error) {
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

// readAnswer returns the body of an answer, or the error for its status.
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

// send queues a one-way message and reports whether it was queued.
func (c *conn) send(method port.Method, body []byte) bool {
	c.markUsed()
	o := &outgoing{frame: frame{Kind: frameOneWay, Method: method, Body: body}}
	if c.tryEnqueue(o) {
		return true
	}
	c.transport.stats.sendDrops.Inc()
	return false
}

// register assigns an ID to a request and records it as pending. A request
// whose caller returned after the writer had claimed the frame isn't recorded:
// its entry would stay until the connection ends.
func (c *conn) register(o *outgoing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	o.frame.ID = c.nextID
	if !o.callerGone {
		c.pending[o.frame.ID] = o
	}
}

// unregister removes a request whose caller has returned.
func (c *conn) unregister(o *outgoing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o.callerGone = true
	delete(c.pending, o.frame.ID)
}

// deliver passes an answer to its call. An answer that matches no pending call
// by ID and method is dropped, so that no caller gets the result of another
// call.
func (c *conn) deliver(answer frame) {
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

// pingLoop closes the connection when a ping isn't answered within
// PingTimeout, when the remote certificate has expired, or when the connection
// has been idle for LinkIdle.
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
