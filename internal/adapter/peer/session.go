package peer

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
)

// Session is a live connection to another process, dialled or accepted. A
// handler uses it to push messages to the calling process, and a subscriber to
// detect that its connection has ended.
type Session interface {
	// Peer returns the process at the other end.
	Peer() port.Peer
	// Send queues a one-way message on this connection and reports whether it
	// was queued. Messages of one method arrive in order; once the connection
	// has ended, queued messages are lost.
	Send(method port.Method, body []byte) bool
	// Call is like PeerClient.Call, on this connection.
	Call(ctx context.Context, method port.Method, body []byte) ([]byte, error)
	// Done returns a channel that is closed when the connection has ended.
	Done() <-chan struct{}
}

// ConnectionStatus is the state of one connection, for dumps.
type ConnectionStatus struct {
	Peer port.Peer
	// Waiting is the number of frames not written yet.
	Waiting int64
	// Unanswered is the number of calls without an answer yet.
	Unanswered int
	// Idle is the time since the last frame in either direction.
	Idle time.Duration
}

// Connections returns the state of all live connections, dialled and accepted.
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

// LastDialError returns the error of the last dial of address. It returns nil if the address is
// connected or no dial has failed since the given time.
func (t *Transport) LastDialError(address string, since time.Time) error {
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

// FromContext returns the connection on which a handler was called, or nil
// outside of handlers. The session remains usable after the handler returns.
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
