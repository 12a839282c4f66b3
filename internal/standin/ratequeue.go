package standin

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

// rateQueue models a resource that processes work sequentially at a fixed rate,
// such as an engine's prefill or a host's network link.
type rateQueue struct {
	mu       sync.Mutex
	rate     float64       // units of work per second; zero is unlimited
	freeAt   time.Time     // completion time of all reserved work
	busyFrom time.Time     // time of the last call of utilization
	busy     time.Duration // reserved work not yet counted by utilization
}

// reserve queues amount units of work and returns their completion time.
func (l *rateQueue) reserve(now time.Time, amount int64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate <= 0 {
		return now
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	cost := time.Duration(float64(amount) / l.rate * float64(time.Second))
	l.freeAt = l.freeAt.Add(cost)
	l.busy += cost
	return l.freeAt
}

// setRate sets the rate for work that is reserved from now on.
func (l *rateQueue) setRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

// PathLink is the path that sets the rate of an engine's or store host's link.
const PathLink = "/link"

// LinkRate is the body of a POST request to PathLink.
type LinkRate struct {
	// BytesPerSecond is the new rate; zero means unlimited.
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// ServeHTTP sets the rate to that of a LinkRate in the request's body.
func (l *rateQueue) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var rate LinkRate
	err := upstreamapi.DecodeBounded(r.Body, upstreamapi.MaxErrorBytes, &rate)
	if err == nil && rate.BytesPerSecond < 0 {
		err = errors.New("bytes_per_second: is negative")
	}
	if err != nil {
		upstreamapi.WriteError(w, http.StatusBadRequest, "invalid_rate", err.Error())
		return
	}
	l.setRate(rate.BytesPerSecond)
	w.WriteHeader(http.StatusNoContent)
}

// utilization returns the fraction of the time since its last call during which
// the resource was busy, between 0 and 1.
func (l *rateQueue) utilization(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.busyFrom)
	booked := l.busy
	if l.freeAt.After(now) {
		l.busy = l.freeAt.Sub(now) // future work is counted by a later call
	} else {
		l.busy = 0
	}
	booked -= l.busy
	l.busyFrom = now
	if elapsed <= 0 {
		return 0
	}
	return min(1, max(0, float64(booked)/float64(elapsed)))
}

// backlog returns how long work reserved at now would wait.
func (l *rateQueue) backlog(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.freeAt.Sub(now))
}
