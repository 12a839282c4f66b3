package gateway

import (
	"math"
	"sync"
	"time"
)

const (
	// usableShare is the fraction of an entry's processor and of its link that its requests
	// should use: the rest is a reserve for bursts and for the loss of another entry.
	usableShare = 0.3
	// processorTime is the time of one processor core that a request takes: the choice among a
	// hundred runners, and the events of its answer.
	processorTime = 600 * time.Microsecond
	// headBytes is the size of a request and its answer on a link besides the body.
	headBytes = 2048
	// rateWindow is the time constant of the smoothed request rate.
	rateWindow = time.Second
	// idleAfter is the time without requests after which an entry counts as idle. Callers that
	// learn of the entry use it within the time that they keep addresses for.
	idleAfter = 2 * time.Second
)

// HostCapacity is the capacity that an entry's host has for its requests; zero if unknown.
type HostCapacity struct {
	// Cores is the entry's share of the processor in cores, LinkMbps the rate of its link.
	Cores, LinkMbps float64
}

// traffic measures the requests that arrive at an entry.
type traffic struct {
	mu sync.Mutex
	// rate is the number of requests per second and bytes that of their bytes, as of last.
	rate, bytes float64
	last        time.Time
}

// request counts one request with a body of the given size.
func (t *traffic) request(body int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := t.decay(now)
	t.last = now
	t.rate = t.rate*factor + 1/rateWindow.Seconds()
	t.bytes = t.bytes*factor + float64(body+headBytes)/rateWindow.Seconds()
}

// decay returns the factor by which the measured rates have decayed since the last request.
// The caller holds the lock.
func (t *traffic) decay(now time.Time) float64 {
	if t.last.IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(t.last)) / float64(rateWindow))
}

// rates returns the requests per second that arrive, and the rate that the entry can serve
// well with its capacity, 0 if that is unknown. A request's body passes the link twice, once
// in each direction.
func (t *traffic) rates(now time.Time, capacity HostCapacity) (rate, maxRate int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate = int(math.Ceil(t.rate * t.decay(now)))
	if capacity.Cores <= 0 {
		return rate, 0
	}
	limit := usableShare * capacity.Cores / processorTime.Seconds()
	if capacity.LinkMbps > 0 && t.bytes > 0 {
		perRequest := t.bytes / t.rate
		limit = min(limit, usableShare*capacity.LinkMbps*1e6/8/perRequest)
	}
	return rate, max(int(limit), 1)
}

// idle reports whether no request has arrived lately.
func (t *traffic) idle(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.last) > idleAfter
}
