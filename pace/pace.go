// Package pace predicts how much longer than usual work takes at an upstream whose host is shared.
//
// Upstreams state the factor with their answers. It may change many times between two answers that
// one entry gets from an upstream. A statement therefore counts less with its age, at the rate at
// which the statements of the service have been seen to change; what remains is the mean of the
// service. An upstream that is slow without stating it is found by the time that its answers take.
//
// Factors are multiplied, so that their logarithms are averaged. No function reads a clock.
package pace

import (
	"math"
	"time"
)

const (
	// weight is the weight of the newest statement in the mean and the variance of a service.
	weight = 1.0 / 64
	// minChange and maxChange bound the time within which statements change: shorter than a network
	// transit or longer than a host lives, it makes no difference.
	minChange = 5 * time.Millisecond
	maxChange = 5 * time.Minute
	// startChange is the time until it is known.
	startChange = 200 * time.Millisecond
	// changeStep is the step of its logarithm, maxChangeError bounds what is multiplied by it: the
	// square of a difference has a long tail, which must count, or the time would be too long.
	changeStep     = 0.04
	maxChangeError = 8.0
	// minVariance is the variance of the logarithms below which statements count as constant.
	minVariance = 1e-4
	// maxFactor bounds a prediction, and its reciprocal.
	maxFactor = 8.0
	// measuredShare is the share of an upstream's times that its measured slowness lies above:
	// requests that queue behind others take longer, at any upstream, and many of them do.
	measuredShare = 0.25
	// measuredStep is the step of the logarithm of the measured slowness.
	measuredStep = 0.5
	// measuredHalfLife is the time in which the measured slowness halves, so that an upstream that
	// gets no requests for being slow is tried again.
	measuredHalfLife = 5 * time.Second
)

// Upstream is what is known of one incarnation of an upstream. The zero value is one that has stated
// nothing.
type Upstream struct {
	// stated is the logarithm of the statement made at statedAt, zero if there is none.
	stated   float64
	statedAt time.Time
	// measured is the logarithm of the measured slowness as of measuredAt.
	measured   float64
	measuredAt time.Time
}

// Service is what is known of the upstreams of a service. The zero value is ready to use.
type Service struct {
	// count is the number of statements, up to the number that the mean is made of.
	count          int
	mean, variance float64
	// change is the logarithm of the time in seconds within which statements change, relative to
	// startChange.
	change float64
}

// State records a statement of an upstream. One that is no positive finite number is ignored.
func (s *Service) State(u *Upstream, factor float64, now time.Time) {
	if !(factor > 0) || math.IsInf(factor, 1) {
		return
	}
	value := bounded(math.Log(factor))
	if !u.statedAt.IsZero() && now.After(u.statedAt) {
		s.observeChange(value-u.stated, now.Sub(u.statedAt))
	}
	s.count = min(s.count+1, int(1/weight))
	share := 1 / float64(s.count)
	d := value - s.mean
	s.mean += share * d
	s.variance += share * (d*(value-s.mean) - s.variance)
	u.stated, u.statedAt = value, now
}

// observeChange adjusts the time within which statements change: the square of the difference of two
// statements is to be twice the variance, less what they still have in common.
func (s *Service) observeChange(d float64, after time.Duration) {
	if s.variance < minVariance {
		return
	}
	expected := 1 - math.Exp(-float64(after)/float64(s.Change()))
	missing := expected - d*d/(2*s.variance)
	s.change += changeStep * max(missing, -maxChangeError)
	s.change = min(max(s.change, math.Log(float64(minChange)/float64(startChange))), math.Log(float64(maxChange)/float64(startChange)))
}

// Change returns the time within which statements change.
func (s *Service) Change() time.Duration {
	return time.Duration(float64(startChange) * math.Exp(s.change))
}

// Measure records by which factor an answer of an upstream took longer than predicted for its pace.
// Only answers that waited behind no other request, as far as is known, may be recorded.
func (s *Service) Measure(u *Upstream, factor float64, now time.Time) {
	if !(factor > 0) || math.IsInf(factor, 1) {
		return
	}
	value := bounded(math.Log(factor))
	u.measured = u.measuredNow(now)
	u.measuredAt = now
	switch d := value - u.measured; {
	case d > 0:
		u.measured += min(measuredStep*measuredShare, d)
	default:
		u.measured = max(u.measured+max(-measuredStep*(1-measuredShare), d), 0)
	}
}

// measuredNow returns the logarithm of the measured slowness now.
func (u *Upstream) measuredNow(now time.Time) float64 {
	return u.measured * math.Exp2(-float64(max(now.Sub(u.measuredAt), 0))/float64(measuredHalfLife))
}

// Factor predicts by which factor work takes longer than usual at an upstream.
func (s *Service) Factor(u *Upstream, now time.Time) float64 {
	if s.count == 0 && u.measuredAt.IsZero() {
		return 1
	}
	value := s.mean
	if !u.statedAt.IsZero() {
		kept := math.Exp(-float64(max(now.Sub(u.statedAt), 0)) / float64(s.Change()))
		value += kept * (u.stated - s.mean)
	}
	return math.Exp(bounded(value + u.measuredNow(now)))
}

func bounded(value float64) float64 {
	limit := math.Log(maxFactor)
	return min(max(value, -limit), limit)
}
