package gateway

import (
	"math"
	"time"
)

const (
	// firstEjection is how long an upstream is ejected after a first failure, maxEjection the
	// longest; each consecutive failure doubles it.
	firstEjection = 300 * time.Millisecond
	maxEjection   = 3 * time.Second
	// ejectedCost is added to the predicted time at an ejected upstream. It is above any
	// target, so that such an upstream is chosen only if all are ejected.
	ejectedCost = 5 * time.Second
	// silentCost is added for an upstream that the control hosts have no contact with.
	silentCost = 800 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the smoothed share of failed
	// requests.
	failureWeight = 0.1
	// failureCost is added at a share of failures of one.
	failureCost = 4 * time.Second
	// failureHalfLife is the time in which the share of failures halves. Otherwise only the
	// upstream's own answers lower it, and while others have no failures it gets no request
	// that it could answer.
	failureHalfLife = 10 * time.Second
)

// health is the health of an upstream by this entry's own requests.
type health struct {
	// consecutive is the number of failures since the last answer.
	consecutive  int
	ejectedUntil time.Time
	// failures is the smoothed share of requests that failed, as of failuresAt.
	failures   float64
	failuresAt time.Time
	// replaced indicates that another upstream has its address.
	replaced bool
}

// failed records a request that ended without a complete answer of the upstream.
func (h *health) failed(now time.Time) {
	h.observe(1, now)
	wait := firstEjection << min(h.consecutive, 4)
	h.consecutive++
	h.ejectedUntil = now.Add(min(wait, maxEjection))
}

// answered records a complete answer; good indicates a success.
func (h *health) answered(good bool, now time.Time) {
	h.consecutive = 0
	h.ejectedUntil = time.Time{}
	outcome := 0.0
	if !good {
		outcome = 1
	}
	h.observe(outcome, now)
}

// observe adds one outcome to the share of failures.
func (h *health) observe(outcome float64, now time.Time) {
	h.failures = h.share(now)
	h.failuresAt = now
	h.failures += failureWeight * (outcome - h.failures)
}

// share returns the share of failures, decayed to the present.
func (h *health) share(now time.Time) float64 {
	return h.failures * math.Exp2(-float64(now.Sub(h.failuresAt))/float64(failureHalfLife))
}

// penalty is the time added to the prediction for an unhealthy upstream.
func (h *health) penalty(now time.Time, silent bool) time.Duration {
	var cost time.Duration
	if now.Before(h.ejectedUntil) {
		cost += ejectedCost
	}
	if silent {
		cost += silentCost
	}
	if share := h.share(now); share > 0.05 {
		cost += time.Duration(share * float64(failureCost))
	}
	return cost
}
