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
	// maxWaiting is the maximum number of one-way messages queued while a link
	// dials.
	maxWaiting = 64
	// minConnDuration is the duration below which a closed connection counts as a
	// failed dial, so that a peer that accepts and drops connections isn't dialled
	// in a loop.
	minConnDuration = time.Second
	// maxShift is the maximum number of times that the back-off is doubled.
	maxShift = 16
)

// link manages the outgoing connection to one address. It dials on demand, one
// dial at a time, and backs off after failures.
type link struct {
	transport *Transport
	address   string

	mu      sync.Mutex
	conn    *conn
	dialing chan struct{}
	waiting []*outgoing
	// retryAt is the time before which the link doesn't dial.
	retryAt time.Time
	lastErr error
	// failed is the number of consecutive failures.
	failed int
	// failedAt is the time of the last failure: a dial that failed, or a
	// connection that ended within minConnDuration.
	failedAt time.Time
}

// get returns the live connection, or a channel that is closed when the dial in
// progress ends, or the error because of which the link backs off.
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

// connect waits for a live connection until ctx is done.
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

// send queues a one-way message, also while a dial is in progress, and reports
// whether it was queued.
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

// watch runs the connection, which started at since, and clears it when it ends.
func (l *link) watch(c *conn, since time.Time) {
	cause := l.transport.runConn(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
	}
	if time.Since(since) < minConnDuration {
		l.backOff(eris.Wrap(cause, "peer: connection ended early"))
		return
	}
	l.failed = 0
}

// backOff delays the next dial by a random time whose limit doubles with each
// failure. The jitter prevents the links of many processes from dialling a
// restarted host at the same time.
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

// failureAfter returns the last error of a link without a connection. It returns nil if the
// link is connected or hasn't failed since the given time.
func (l *link) failureAfter(since time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.ctx.Err() == nil || l.failedAt.Before(since) {
		return nil
	}
	return l.lastErr
}

// idle reports whether the link has no connection, no dial in progress and no
// back-off to wait for.
func (l *link) idle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn == nil && l.dialing == nil && now.After(l.retryAt)
}
