package intake

import (
	"strings"
	"testing"
	"time"
)

// Guards against heads whose end is missed or taken from the middle, however they are cut on their way.
func TestHeadEndsAtItsEmptyLine(t *testing.T) {
	for text, lines := range map[string]int{
		"GET / HTTP/1.1\r\nA: b\r\n\r\nGET": 3, "GET / HTTP/1.1\nA: b\n\nbody\n\n": 3, "\r\nGET": 1, "GET / HTTP/1.1\r\nA:\r\n": 2,
	} {
		for size := 1; size <= len(text); size++ {
			var h Head
			for at := 0; at < len(text); at += size {
				h.Add([]byte(text[at:min(at+size, len(text))]))
			}
			if h.Lines != lines || h.Ended != strings.Contains(text, "\n\r\n") && h.Ended != strings.Contains(text, "\n\n") && h.Ended != strings.HasPrefix(text, "\r\n") {
				t.Errorf("%q in pieces of %d: %d lines, ended %t", text, size, h.Lines, h.Ended)
			}
		}
	}
}

// Guards against limits that ordinary clients of a small machine meet: a head of 20 lines with a short body
// takes no shared memory, and hundreds of connections find a place.
func TestOrdinaryClientsMeetNoLimit(t *testing.T) {
	const lines, head, body, connections, longBody = 24, 800, 4 << 10, 600, 4 << 20
	if cost := HeadCost(lines, head) + body; cost > Allowance {
		t.Errorf("an ordinary request takes %d bytes of %d", cost, Allowance)
	}
	small := Resources{Memory: 134 << 20, Descriptors: 4096}
	if got := small.Connections(0.4); got < connections {
		t.Errorf("%d connections", got)
	}
	if got := small.Shared(); got < 4*longBody {
		t.Errorf("%d bytes for all long bodies", got)
	}
}

// Guards against bounds that together exceed the memory or the descriptors.
func TestBoundsFitTheResources(t *testing.T) {
	for _, r := range []Resources{{}, {Memory: 64 << 20, Descriptors: 512}, {Memory: 134 << 20, Descriptors: 4096}, {Memory: 16 << 30, Descriptors: 1 << 20}} {
		memory := int64(defaultMemory)
		if r.Memory > 0 {
			memory = r.Memory
		}
		connections := r.Connections(1)
		if held := int64(connections)*connectionBytes + r.Shared(); held > memory*6/10 {
			t.Errorf("%+v: clients may take %d bytes of %d", r, held, memory)
		}
		if r.Descriptors > 0 && connections > r.Descriptors {
			t.Errorf("%+v: %d connections", r, connections)
		}
	}
}

// client is a Client whose fields may be nil.
type client struct {
	hasSent func(int) bool
	stalled func(int) time.Time
}

func (c client) HasSent(connection int) bool { return c.hasSent != nil && c.hasSent(connection) }

func (c client) StalledSince(connection int) time.Time {
	if c.stalled == nil {
		return time.Time{}
	}
	return c.stalled(connection)
}

// Guards against closing a connection whose request is under way, or one that has just come, while others
// wait for their clients for longer.
func TestVictimHasWaitedLongest(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	c := NewConnections[int](3)
	for connection := range 3 {
		c.Add(connection, at(connection))
	}
	if !c.Full() {
		t.Error("3 of 3 connections leave a place")
	}
	if _, found := c.Victim(at(50), client{}); found {
		t.Error("a connection is closed 50 ms after it has come")
	}
	c.Work(0)
	if victim, found := c.Victim(at(200), client{}); !found || victim != 1 {
		t.Errorf("victim %d, %t: 1 has waited longest", victim, found)
	}
	c.Await(0, at(201))
	c.Remove(1)
	if victim, _ := c.Victim(at(400), client{}); victim != 2 {
		t.Errorf("victim %d: 0 has been served meanwhile", victim)
	}
	c.Work(0)
	c.Work(2)
	if _, found := c.Victim(at(10_000), client{}); found {
		t.Error("a connection is closed whose request is under way")
	}
	stalled := func(connection int) time.Time {
		if connection == 2 {
			return at(8_000)
		}
		return time.Time{}
	}
	if victim, found := c.Victim(at(10_000), client{stalled: stalled}); !found || victim != 2 {
		t.Errorf("victim %d, %t: the client of 2 takes no bytes", victim, found)
	}
	if _, found := c.Victim(at(8_500), client{stalled: stalled}); found {
		t.Error("a client that pauses for half a second is cut off")
	}
}

// Guards against closing a connection whose client has sent a request that a busy process has not read, and
// one whose request is on its way, while others have sent nothing.
func TestVictimHasSentNothing(t *testing.T) {
	start := time.Unix(0, 0)
	c := NewConnections[int](4)
	for connection := range 4 {
		c.Add(connection, start)
	}
	c.Begin(1, start)
	now := start.Add(200 * time.Millisecond)
	sent := client{hasSent: func(connection int) bool { return connection == 0 }}
	if victim, found := c.Victim(now, sent); !found || victim != 2 {
		t.Errorf("victim %d, %t: 0 has sent, 1 has begun to", victim, found)
	}
	c.Remove(2)
	c.Remove(3)
	if victim, found := c.Victim(now, sent); found {
		t.Errorf("victim %d", victim)
	}
	if victim, found := c.Victim(start.Add(minIncomplete), sent); !found || victim != 1 {
		t.Errorf("victim %d, %t: 1 has not sent the rest", victim, found)
	}
}

// Guards against a client that holds shared memory for long with an incomplete request.
func TestLongestHolderIsFound(t *testing.T) {
	c, start := NewConnections[int](3), time.Unix(0, 0)
	for connection := range 3 {
		c.Add(connection, start)
	}
	holds := func(connection int) bool { return connection > 0 }
	if holder, found := c.Longest(start.Add(2*time.Second), time.Second, holds); !found || holder != 1 {
		t.Errorf("holder %d, %t", holder, found)
	}
	if _, found := c.Longest(start.Add(time.Second/2), time.Second, holds); found {
		t.Error("a client is closed after half a second")
	}
}
