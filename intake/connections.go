package intake

import (
	"container/list"
	"time"
)

const (
	// minAwait is how long a connection may wait for the bytes of its client before it is closed for a new
	// one: a client over a slow link has the time to send an ordinary request.
	minAwait = 100 * time.Millisecond
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
	c.open[connection] = c.awaiting.PushBack(awaiting[K]{connection, now})
}

// Await records that a connection waits for its client from now on.
func (c *Connections[K]) Await(connection K, now time.Time) {
	if at, found := c.open[connection]; found && at == nil {
		c.open[connection] = c.awaiting.PushBack(awaiting[K]{connection, now})
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

// Victim returns the connection to close for a new one; found is false if there is none now. stalledSince
// returns since when a client has not taken bytes of an answer, zero if it takes them.
func (c *Connections[K]) Victim(now time.Time, stalledSince func(K) time.Time) (victim K, found bool) {
	if first := c.awaiting.Front(); first != nil {
		if oldest := first.Value.(awaiting[K]); now.Sub(oldest.since) >= minAwait {
			return oldest.connection, true
		}
	}
	return c.Stalled(now, stalledSince)
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
