package intake

import (
	"container/list"
	"time"
)

const (
	// minIdle is how long a connection may wait for the first bytes of a request before it is closed for a
	// new one, and minIncomplete for the rest: a client over a slow link has the time to send an ordinary
	// request.
	minIdle       = 100 * time.Millisecond
	minIncomplete = 300 * time.Millisecond
	// maxLooks bounds the connections looked at for one that is closed.
	maxLooks = 32
	// minStalled is the same for a connection whose client takes no bytes of an answer.
	minStalled = time.Second
)

// Connections are the open connections of a listener. One that waits for its client (idle, or its request
// incomplete) may be closed for a new one, the one that has waited longest first; one whose request is
// under way may not, unless its client has stopped to read the answer. It is not safe for concurrent use.
type Connections[K comparable] struct {
	limit int
	open  map[K]*list.Element
	// awaiting holds the connections that wait for their clients, the longest wait first. Those whose
	// requests are under way have no element.
	awaiting *list.List
}

type awaiting[K comparable] struct {
	connection K
	since      time.Time
	// begun indicates that a part of a request has arrived.
	begun bool
}

// mayClose reports whether the client has had the time to send.
func (a awaiting[K]) mayClose(now time.Time) bool {
	if a.begun {
		return now.Sub(a.since) >= minIncomplete
	}
	return now.Sub(a.since) >= minIdle
}

// NewConnections returns a table of at most limit connections.
func NewConnections[K comparable](limit int) *Connections[K] {
	return &Connections[K]{limit: limit, open: make(map[K]*list.Element), awaiting: list.New()}
}

// Len returns the number of open connections.
func (c *Connections[K]) Len() int { return len(c.open) }

// Full reports whether a connection has to be closed before one more is added.
func (c *Connections[K]) Full() bool { return len(c.open) >= c.limit }

// Add adds a new connection, which waits for its client.
func (c *Connections[K]) Add(connection K, now time.Time) {
	c.open[connection] = c.awaiting.PushBack(awaiting[K]{connection: connection, since: now})
}

// Begin records that the first bytes of a request have arrived on a connection.
func (c *Connections[K]) Begin(connection K, now time.Time) {
	if at := c.open[connection]; at != nil {
		c.refresh(at, awaiting[K]{connection, now, true})
	}
}

func (c *Connections[K]) refresh(at *list.Element, a awaiting[K]) {
	at.Value = a
	c.awaiting.MoveToBack(at)
}

// Await records that a connection waits for its client from now on.
func (c *Connections[K]) Await(connection K, now time.Time) {
	if at, found := c.open[connection]; found && at == nil {
		c.open[connection] = c.awaiting.PushBack(awaiting[K]{connection: connection, since: now})
	}
}

// Work records that a request has arrived whole on a connection and is under way.
func (c *Connections[K]) Work(connection K) {
	if at := c.open[connection]; at != nil {
		c.awaiting.Remove(at)
		c.open[connection] = nil
	}
}

// Remove removes a connection that was closed.
func (c *Connections[K]) Remove(connection K) {
	if at := c.open[connection]; at != nil {
		c.awaiting.Remove(at)
	}
	delete(c.open, connection)
}

// Client tells what the client of a connection does.
type Client[K comparable] interface {
	// HasSent reports whether bytes have arrived that were not read: the process is late, not the client.
	HasSent(connection K) bool
	// StalledSince returns since when the client has not taken bytes of an answer, zero if it takes them.
	StalledSince(connection K) time.Time
}

// Victim returns the connection to close for a new one; found is false if there is none now.
func (c *Connections[K]) Victim(now time.Time, client Client[K]) (victim K, found bool) {
	at := c.awaiting.Front()
	for range maxLooks {
		if at == nil {
			break
		}
		oldest, next := at.Value.(awaiting[K]), at.Next()
		switch {
		case !oldest.mayClose(now):
		case client.HasSent(oldest.connection):
			oldest.since = now
			c.refresh(at, oldest)
		default:
			return oldest.connection, true
		}
		at = next
	}
	return c.Stalled(now, client.StalledSince)
}

// Stalled returns the connection whose client has not taken bytes of an answer for longest, if that is long
// enough to close it for another one.
func (c *Connections[K]) Stalled(now time.Time, stalledSince func(K) time.Time) (stalled K, found bool) {
	earliest := now.Add(-minStalled)
	for connection := range c.open {
		if since := stalledSince(connection); !since.IsZero() && !since.After(earliest) {
			stalled, earliest, found = connection, since, true
		}
	}
	return stalled, found
}

// Longest returns the connection that has waited longest for its client among those that hold something,
// as holds reports, for at least the given time.
func (c *Connections[K]) Longest(now time.Time, least time.Duration, holds func(K) bool) (K, bool) {
	for at := c.awaiting.Front(); at != nil; at = at.Next() {
		a := at.Value.(awaiting[K])
		if now.Sub(a.since) < least {
			break
		}
		if holds(a.connection) {
			return a.connection, true
		}
	}
	var none K
	return none, false
}
