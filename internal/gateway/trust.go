package gateway

import (
	"math"
	"time"
)

const (
	// distrustFirst is how long an upstream is avoided after a first failure,
	// distrustMost the longest; each failure in a row doubles it.
	distrustFirst = 300 * time.Millisecond
	distrustMost  = 3 * time.Second
	// distrustCost is added to the prediction of an avoided upstream. It is
	// above any target, so that such an upstream is taken only if all are.
	distrustCost = 5 * time.Second
	// silentCost is added for an upstream that the control hosts don't hear.
	silentCost = 800 * time.Millisecond
	// failureWindow smooths the share of failed requests: the weight of the
	// newest outcome.
	failureWeight = 0.1
	// failureCost is added at a share of failures of one.
	failureCost = 4 * time.Second
	// failureHalved is the time in which half of the share is forgotten. Only an
	// upstream's own answers lower it else, and while others have failed nothing it
	// gets no request that it could answer.
	failureHalved = 10 * time.Second
)

// trust is what an entry's own requests say of an upstream.
type trust struct {
	// inRow counts failures without an answer between.
	inRow   int
	avoided time.Time
	// failures is the smoothed share of requests that failed, as of counted.
	failures float64
	counted  time.Time
	// gone tells that another upstream has its address.
	gone bool
}

// failed notes a request that ended without the upstream's whole answer.
func (t *trust) failed(now time.Time) {
	t.count(1, now)
	wait := distrustFirst << min(t.inRow, 4)
	t.inRow++
	t.avoided = now.Add(min(wait, distrustMost))
}

// answered notes a whole answer; good tells that it was a success.
func (t *trust) answered(good bool, now time.Time) {
	t.inRow = 0
	t.avoided = time.Time{}
	outcome := 0.0
	if !good {
		outcome = 1
	}
	t.count(outcome, now)
}

// count takes one outcome into the share of failures.
func (t *trust) count(outcome float64, now time.Time) {
	t.failures = t.share(now)
	t.counted = now
	t.failures += failureWeight * (outcome - t.failures)
}

// share is the share of failures, with what time has made forgotten.
func (t *trust) share(now time.Time) float64 {
	return t.failures * math.Exp2(-float64(now.Sub(t.counted))/float64(failureHalved))
}

// cost is what distrust adds to a prediction.
func (t *trust) cost(now time.Time, silent bool) time.Duration {
	var cost time.Duration
	if now.Before(t.avoided) {
		cost += distrustCost
	}
	if silent {
		cost += silentCost
	}
	if share := t.share(now); share > 0.05 {
		cost += time.Duration(share * float64(failureCost))
	}
	return cost
}
