package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
)

const (
	// maxWaiting bounds one-way messages held while a link dials.
	maxWaiting = 64
	// shortLife is below which a connection's end counts as a failed dial, so
	// that a peer which accepts and drops connections is not dialled in a loop.
	shortLife = time.Second
	// maxShift bounds the doubling of the back-off.
	maxShift = 16
)

// link is the outgoing side towards one address. It dials on demand, one dial
// at a time, with back-off after failures.
type link struct {
	transport *Transport
	address   string

	mu      sync.Mutex
	conn    *conn
	dialing chan struct{}
	waiting []*outgoing
	retryAt time.Time
	lastErr error
	failed  int
	// failedAt is when the latest dial failed, or the connection ended early.
	failedAt time.Time
}

// get returns the live connection, or a channel that is closed once the dial
// under way has ended, or the error that made the link back off.
func (l *link) get() (*conn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.getLocked()
}

func (l *link) getLocked() (*conn, <-chan struct{}, error) {
	if l.conn != nil && l.conn.ctx.Err() == nil && !l.conn.leaving.Load() {
		return l.conn, nil, nil
	}
	if l.dialing != nil {
		return nil, l.dialing, nil
	}
	if l.transport.draining() {
		return nil, nil, errClosing
	}
	if time.Now().Before(l.retryAt) {
		return nil, nil, l.lastErr
	}
	l.dialing = make(chan struct{})
	go l.dial()
	return nil, l.dialing, nil
}

// connect waits for a live connection until ctx ends.
func (l *link) connect(ctx context.Context) (*conn, error) {
	for {
		c, dialing, err := l.get()
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// send queues a one-way message, also while the first dial is under way.
func (l *link) send(method port.Method, body []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, _, err := l.getLocked()
	if c != nil {
		return c.send(method, body)
	}
	tooLarge := frameOverhead+len(method)+len(body) > l.transport.options.MaxFrame
	if err != nil || tooLarge || len(l.waiting) >= maxWaiting {
		l.transport.stats.sendDrops.Inc()
		return false
	}
	o := &outgoing{frame: frame{Kind: frameOneWay, Method: method, Body: body}}
	l.waiting = append(l.waiting, o)
	return true
}

func (l *link) dial() {
	l.transport.stats.dials.Inc()
	c, err := l.transport.dial(l.address)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if err != nil {
		l.transport.stats.dialErrors.Inc()
		l.backOff(err)
		return
	}
	l.conn = c
	for _, o := range l.waiting {
		if !c.tryEnqueue(o) {
			l.transport.stats.sendDrops.Inc()
		}
	}
	l.waiting = nil
	go l.watch(c, time.Now())
}

// watch runs the connection and clears it when it ends.
func (l *link) watch(c *conn, since time.Time) {
	cause := l.transport.runConn(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
	}
	if time.Since(since) < shortLife {
		l.backOff(eris.Wrap(cause, "peer: connection ended early"))
		return
	}
	l.failed = 0
}

// backOff holds off the next dial for a random time that doubles with each
// failure. The jitter keeps the links of many processes from dialling a
// restarted host at the same moment.
func (l *link) backOff(err error) {
	options := l.transport.options
	l.transport.stats.sendDrops.Add(len(l.waiting))
	l.waiting = nil
	l.lastErr = err
	limit := min(options.BackoffMin<<min(l.failed, maxShift), options.BackoffMax)
	l.failed++
	l.failedAt = time.Now()
	l.retryAt = l.failedAt.Add(limit/2 + rand.N(limit/2+1))
}

// failureAfter returns why the link has no connection, nil if it has one or has not failed
// since.
func (l *link) failureAfter(since time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.ctx.Err() == nil || l.failedAt.Before(since) {
		return nil
	}
	return l.lastErr
}

// idle reports whether the link holds nothing worth keeping.
func (l *link) idle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn == nil && l.dialing == nil && now.After(l.retryAt)
}
