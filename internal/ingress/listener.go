package ingress

import (
	"net"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/intake"
)

// listener accepts connections within a bound.
type listener struct {
	net.Listener
	guard  *Guard
	limits func() HeadLimits
	// scansHeads indicates that the connections carry heads in plain text.
	scansHeads bool

	mu    sync.Mutex
	table *intake.Connections[*Conn]
}

const (
	// acceptWait is how long a new connection waits for a place while the requests of all others are under
	// way: clients allow a second for a request to be read. acceptPoll is the interval at which it looks.
	acceptWait = 500 * time.Millisecond
	acceptPoll = 5 * time.Millisecond
)

// Accept implements net.Listener. At the bound it closes another connection, or the new one if the
// requests of all others stay under way.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: accepted, listener: l}
		c.inHead.Store(l.scansHeads)
		if l.admit(c) {
			return c, nil
		}
		l.guard.evicted.Inc()
		_ = accepted.Close()
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.guard.remove(l)
	return l.Listener.Close()
}

// admit adds a connection to the table, for another one if that is full, and reports whether it did.
func (l *listener) admit(c *Conn) bool {
	for end := time.Now().Add(acceptWait); ; time.Sleep(acceptPoll) {
		now := time.Now()
		victim, admitted := l.tryAdmit(c, now)
		if victim != nil {
			l.guard.evicted.Inc()
			victim.evict()
		}
		if admitted || now.After(end) {
			return admitted
		}
	}
}

func (l *listener) tryAdmit(c *Conn, now time.Time) (victim *Conn, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table.Full() {
		var found bool
		victim, found = l.table.Victim(now, clients{})
		if !found {
			return nil, false
		}
		l.table.Remove(victim)
	}
	l.table.Add(c, now)
	return victim, true
}

// full reports whether a new connection has to take the place of another one.
func (l *listener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Full()
}

// closeSlowest closes the connection that has waited longest for its client while it holds shared memory:
// for a request, or else for an answer to be read.
func (l *listener) closeSlowest(now time.Time) bool {
	l.mu.Lock()
	victim, found := l.table.Longest(now, slowAfter, (*Conn).holdsShared)
	if !found {
		victim, found = l.table.Stalled(now, (*Conn).stalledWithShared)
	}
	if found {
		l.table.Remove(victim)
	}
	l.mu.Unlock()
	if found {
		l.guard.evicted.Inc()
		victim.evict()
	}
	return found
}

// clients implements intake.Client.
type clients struct{}

// HasSent implements intake.Client.
func (clients) HasSent(c *Conn) bool { return c.hasUnread() }

// StalledSince implements intake.Client.
func (clients) StalledSince(c *Conn) time.Time { return c.stalledSince() }

func (l *listener) begin(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Begin(c, time.Now())
}

func (l *listener) await(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Await(c, time.Now())
}

func (l *listener) work(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Work(c)
}

func (l *listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Remove(c)
}

func (l *listener) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Len()
}
