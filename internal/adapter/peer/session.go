package peer

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
)

// Session is one live connection to another process, in either direction. It
// lets a handler push messages to the process that called it, and lets a
// subscriber notice that its connection has ended.
type Session interface {
	// Peer is who is at the far side.
	Peer() port.Peer
	// Send queues a one-way message on this connection and reports whether it
	// was queued. Messages of one method arrive in order or, after the
	// connection's end, not at all.
	Send(method port.Method, body []byte) bool
	// Call is PeerClient.Call on this connection.
	Call(ctx context.Context, method port.Method, body []byte) ([]byte, error)
	// Done is closed when the connection has ended.
	Done() <-chan struct{}
}

// ConnectionStatus describes one connection for dumps.
type ConnectionStatus struct {
	Peer port.Peer
	// Waiting is the number of frames that wait to be written.
	Waiting int64
	// Unanswered is the number of calls that wait for an answer.
	Unanswered int
	Idle       time.Duration
}

// Connections describes the live connections in both directions.
func (t *Transport) Connections() []ConnectionStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]ConnectionStatus, 0, len(t.conns))
	for c := range t.conns {
		list = append(list, c.status())
	}
	return list
}

func (c *conn) status() ConnectionStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnectionStatus{
		Peer:       c.remote,
		Waiting:    c.unwritten.Load(),
		Unanswered: len(c.pending),
		Idle:       c.idle(time.Now()),
	}
}

// Unreached returns why an address can't be reached, nil if it is connected or no dial has
// failed since.
func (t *Transport) Unreached(address string, since time.Time) error {
	t.mu.Lock()
	l := t.links[address]
	t.mu.Unlock()
	if l == nil {
		return nil
	}
	return l.failureAfter(since)
}

type sessionKey struct{}

func withSession(ctx context.Context, c *conn) context.Context {
	return context.WithValue(ctx, sessionKey{}, Session(c))
}

// FromContext returns the connection on which a handler was called. It is nil
// outside of handlers. The session may be kept after the handler returns.
func FromContext(ctx context.Context) Session {
	session, _ := ctx.Value(sessionKey{}).(Session)
	return session
}

// Peer implements Session.
func (c *conn) Peer() port.Peer { return c.remote }

// Send implements Session.
func (c *conn) Send(method port.Method, body []byte) bool { return c.send(method, body) }

// Call implements Session.
func (c *conn) Call(ctx context.Context, method port.Method, body []byte) ([]byte, error) {
	return c.call(ctx, method, body)
}

// Done implements Session.
func (c *conn) Done() <-chan struct{} { return c.ctx.Done() }
