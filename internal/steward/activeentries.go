package steward

import (
	"sync"
	"time"
)

// activeWindow is the period within which an entry must have received requests to be counted.
// It is the window in which further sends are counted: an entry that receives none any more may
// have used its share of what all entries may send.
const activeWindow = 10 * time.Second

// activeEntries counts the entries that receive requests, for the shares of fleet-wide limits.
// Callers use few of a large fleet's entries: shared among all, each gets less than one further
// send.
type activeEntries struct {
	mu sync.Mutex
	// last holds the time at which each entry was last seen to receive requests, and count the
	// number of recent ones as of at.
	last  map[string]time.Time
	count int
	at    time.Time
}

// update records the current state of the entries and returns the count.
func (t *activeEntries) update(views []EntryView, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.at.IsZero() && now.Sub(t.at) < silentEvery {
		return t.count
	}
	if t.last == nil {
		t.last = make(map[string]time.Time)
	}
	for i := range views {
		if views[i].Rate > 0 {
			t.last[views[i].Host] = now
		}
	}
	for host, at := range t.last {
		if now.Sub(at) > activeWindow {
			delete(t.last, host)
		}
	}
	t.count, t.at = len(t.last), now
	return t.count
}

// activeCount returns the number of entries that received requests within activeWindow, at
// least one; all entries until this leadership has lasted that long.
func (l *leadership) activeCount(views []EntryView, now time.Time) int {
	count := l.active.update(views, now)
	if now.Sub(l.since) < activeWindow {
		return max(len(views), l.expected(now), 1)
	}
	return max(count, 1)
}
