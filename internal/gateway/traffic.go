package gateway

import (
	"math"
	"sync"
	"time"
)

const (
	// usualShare is the part of an entry's processor and of its link that its
	// requests should take: the rest bears a burst, and the loss of another entry.
	usualShare = 0.3
	// processorTime is what a request takes of a processor's core: the choice among a
	// hundred runners, and the events of its answer.
	processorTime = 600 * time.Microsecond
	// headBytes is what a request and its answer take of a link besides the body.
	headBytes = 2048
	// rateOver is the time over which the rate of requests is smoothed.
	rateOver = time.Second
	// idleAfter is how long an entry without requests counts as in use. Callers that
	// are told of it use it within the time that they keep addresses for.
	idleAfter = 2 * time.Second
)

// HostCapacity are what an entry's host has for its requests; zero where it is not told.
type HostCapacity struct {
	// Cores is its share of a processor in cores, LinkMbps the rate of its link.
	Cores, LinkMbps float64
}

// traffic observes the requests that come to an entry.
type traffic struct {
	mu sync.Mutex
	// rate are the requests a second and bytes their bytes, as of last.
	rate, bytes float64
	last        time.Time
}

// request notes one request with a body of so many bytes.
func (t *traffic) request(body int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := t.left(now)
	t.last = now
	t.rate = t.rate*left + 1/rateOver.Seconds()
	t.bytes = t.bytes*left + float64(body+headBytes)/rateOver.Seconds()
}

// left is the part of what was observed that counts still. The caller holds the lock.
func (t *traffic) left(now time.Time) float64 {
	if t.last.IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(t.last)) / float64(rateOver))
}

// told returns the requests a second that come, and those that the entry serves well
// by its means, 0 if they are not told. A request's body passes its link twice, once
// each way.
func (t *traffic) told(now time.Time, means HostCapacity) (rate, most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate = int(math.Ceil(t.rate * t.left(now)))
	if means.Cores <= 0 {
		return rate, 0
	}
	limit := usualShare * means.Cores / processorTime.Seconds()
	if means.LinkMbps > 0 && t.bytes > 0 {
		perRequest := t.bytes / t.rate
		limit = min(limit, usualShare*means.LinkMbps*1e6/8/perRequest)
	}
	return rate, max(int(limit), 1)
}

// idle reports whether no request has come lately.
func (t *traffic) idle(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.last) > idleAfter
}
