package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lovagereach/lovagereach/intake"
)

const (
	// headSlack is what a head may have beyond its limit in bytes, for the request line.
	headSlack = 4 << 10
	// timeoutSlack is the time that a head may take, or a connection be idle, as a multiple of the configured
	// one: clients keep to it at their end of the link, and a process reads late what has arrived in time.
	timeoutSlack = 1.5
	// lingerTime is how long a refused client may go on sending: a close with unread bytes would reset the
	// connection before the client has read the answer.
	lingerTime = 300 * time.Millisecond
	// writeTimeout is the time within which a client has to take the bytes of one write, where the server sets
	// no deadline: a client that reads nothing would hold its answer for good.
	writeTimeout = 20 * time.Second
	// unavailableRetryAfter is the Retry-After value of requests refused for lack of memory, in seconds.
	unavailableRetryAfter = "1"
)

// Conn is a connection of a client. What it holds is counted until its request has been answered.
type Conn struct {
	net.Conn
	listener *listener
	// inHead indicates that what is read belongs to a head.
	inHead atomic.Bool
	// head counts the head that is being read, deadline is that of reading it, and asked the server's own
	// one. Only the server's goroutine reads a head.
	head            intake.Head
	deadline, asked time.Time
	// writeBounded indicates that the server has set a deadline for writes.
	writeBounded atomic.Bool
	// writingSince is the time in Unix ns at which the write in progress began, 0 for none.
	writingSince atomic.Int64

	mu sync.Mutex
	// held is what the request holds, and shared the part of it that is taken from the shared memory.
	held, shared int64
	closed       bool
}

type connKey struct{}

// connOf returns the guarded connection behind c, nil if there is none.
func connOf(c net.Conn) *Conn {
	for c != nil {
		if guarded, found := c.(*Conn); found {
			return guarded
		}
		inner, wraps := c.(interface{ NetConn() net.Conn })
		if !wraps {
			return nil
		}
		c = inner.NetConn()
	}
	return nil
}

// NetConn returns the connection that c guards.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the writing side, as the server does before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if half, found := c.Conn.(interface{ CloseWrite() error }); found {
		return half.CloseWrite()
	}
	return nil
}

// Read implements net.Conn. It counts the bytes of a head and refuses one that goes beyond a limit.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.inHead.Load() {
		return n, err
	}
	limits := c.listener.limits()
	if c.head.Bytes == 0 {
		c.boundHead(limits.Timeout)
		c.listener.begin(c)
	}
	before := c.head.Cost()
	c.head.Add(p[:n])
	if limits.Bytes > 0 && c.head.Bytes > limits.Bytes+headSlack {
		c.listener.guard.tooLong.Inc()
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the head is over %d bytes", limits.Bytes))
	}
	if c.Reserve(context.Background(), c.head.Cost()-before) != nil {
		return 0, c.refuse(http.StatusServiceUnavailable, ErrMemory.Error())
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.writeBounded.Load() {
		// It fails only for a connection that is closed.
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	c.writingSince.Store(time.Now().UnixNano())
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	c.writeBounded.Store(!deadline.IsZero())
	return c.Conn.SetWriteDeadline(deadline)
}

// stalledSince returns since when the client has not taken bytes of an answer, zero if it takes them.
func (c *Conn) stalledSince() time.Time {
	if since := c.writingSince.Load(); since != 0 {
		return time.Unix(0, since)
	}
	return time.Time{}
}

// SetReadDeadline implements net.Conn. Before a head it is that of an idle connection.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	if c.inHead.Load() {
		c.asked = deadline
		limits := c.listener.limits()
		if c.head.Bytes == 0 {
			deadline = earlier(deadline, limits.Idle)
		} else {
			deadline = earlier(deadline, limits.Timeout)
		}
		c.deadline = deadline
	}
	return c.Conn.SetReadDeadline(deadline)
}

// boundHead sets the deadline of a head whose first bytes have come.
func (c *Conn) boundHead(timeout time.Duration) {
	if deadline := earlier(c.deadline, timeout); deadline != c.deadline {
		c.deadline = deadline
		// It fails only for a connection that is closed.
		_ = c.Conn.SetReadDeadline(deadline)
	}
}

// earlier returns the earlier of a deadline, zero for none, and the end of a configured time from now on, 0
// for none.
func earlier(deadline time.Time, configured time.Duration) time.Time {
	if configured <= 0 {
		return deadline
	}
	if end := time.Now().Add(time.Duration(timeoutSlack * float64(configured))); deadline.IsZero() || end.Before(deadline) {
		return end
	}
	return deadline
}

// refuse answers a request whose head was not read, and returns the error that ends the connection.
func (c *Conn) refuse(status int, text string) error {
	c.inHead.Store(false)
	retry := ""
	if status == http.StatusServiceUnavailable {
		c.listener.guard.refused.Inc()
		retry = "Retry-After: " + unavailableRetryAfter + "\r\n"
	}
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s\n",
		status, http.StatusText(status), len(text)+1, retry, text)
	_ = c.CloseWrite()
	c.release()
	_, _ = io.Copy(io.Discard, c.Conn)
	return io.EOF
}

// enter records a change of the connection's state by the server.
func (c *Conn) enter(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inHead.Store(false)
		// What bounds the head must not bound the request.
		_ = c.SetReadDeadline(c.asked)
	case http.StateHijacked:
		c.inHead.Store(false)
	case http.StateIdle:
		c.release()
		c.head = intake.Head{}
		c.inHead.Store(c.listener.scansHeads)
		c.listener.await(c)
	}
}

// Reserve counts bytes that the request is about to hold, and takes shared memory for what is beyond the
// connection's allowance. One request gets the whole shared memory at most.
func (c *Conn) Reserve(ctx context.Context, bytes int64) error {
	c.mu.Lock()
	missing := min(c.held+bytes-intake.Allowance, c.listener.guard.limit) - c.shared
	c.mu.Unlock()
	if missing > 0 {
		if err := c.listener.guard.acquire(ctx, missing); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += bytes
	if missing <= 0 {
		return nil
	}
	if c.closed {
		c.listener.guard.shared.Release(missing)
		return net.ErrClosed
	}
	c.shared += missing
	return nil
}

// release returns what the request held.
func (c *Conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shared > 0 {
		c.listener.guard.shared.Release(c.shared)
	}
	c.held, c.shared = 0, 0
}

// hasUnread reports whether bytes of the client wait to be read.
func (c *Conn) hasUnread() bool {
	inner := c.Conn
	if secure, wraps := inner.(interface{ NetConn() net.Conn }); wraps {
		inner = secure.NetConn()
	}
	socket, found := inner.(syscall.Conn)
	if !found {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = failed == nil && n > 0
	})
	return err == nil && unread
}

// stalledWithShared is stalledSince for connections that hold shared memory.
func (c *Conn) stalledWithShared() time.Time {
	if !c.holdsShared() {
		return time.Time{}
	}
	return c.stalledSince()
}

func (c *Conn) holdsShared() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shared > 0
}

// evict closes the connection for another one. What its request holds is counted until the server has
// ended it.
func (c *Conn) evict() { _ = c.Conn.Close() }

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.listener.remove(c)
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.release()
	return err
}
