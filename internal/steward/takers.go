package steward

import (
	"sync"
	"time"
)

// takersOver is the time over which entries count that took requests. It is the window in
// which further sends are counted: an entry that takes none any more may have drawn on its
// share of what all entries may send.
const takersOver = 10 * time.Second

// takers counts the entries that take requests, for the shares of what all of them may do
// together. Callers are told few of a large fleet's entries: shared among all, each gets
// less than one further send.
type takers struct {
	mu sync.Mutex
	// last is when each entry was last seen to take requests, and count how many did
	// lately, as of at.
	last  map[string]time.Time
	count int
	at    time.Time
}

// note takes in the entries as they are now.
func (t *takers) note(views []EntryView, now time.Time) int {
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
		if now.Sub(at) > takersOver {
			delete(t.last, host)
		}
	}
	t.count, t.at = len(t.last), now
	return t.count
}

// takerCount is the number of entries that took requests within takersOver, at least one;
// all entries until this leader has seen that long.
func (l *leadership) takerCount(views []EntryView, now time.Time) int {
	count := l.inUse.note(views, now)
	if now.Sub(l.since) < takersOver {
		return max(len(views), l.expected(now), 1)
	}
	return max(count, 1)
}
