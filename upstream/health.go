package upstream

import (
	"fmt"
	"time"
)

// HealthOptions configure when an upstream is ejected and how it is reinstated.
// Zero fields take the defaults.
type HealthOptions struct {
	// Consecutive is the number of consecutive failures that eject an upstream.
	Consecutive int
	// MinSuccess is the success rate, 0 to 1, below which an upstream is
	// ejected once it has had at least MinAttempts.
	MinSuccess  float64
	MinAttempts int
	// FirstEjection is the duration of the first ejection; each further one
	// lasts twice as long, up to MaxEjection.
	FirstEjection time.Duration
	MaxEjection   time.Duration
	// ProbationSuccesses is the number of consecutive successes that ends
	// probation.
	ProbationSuccesses int
}

// Defaults of HealthOptions.
const (
	DefaultConsecutive        = 5
	DefaultMinSuccess         = 0.5
	DefaultMinAttempts        = 20
	DefaultFirstEjection      = 5 * time.Second
	DefaultMaxEjection        = time.Minute
	DefaultProbationSuccesses = 3
)

// Weights of the health estimate.
const (
	// successStep is the weight of one attempt in the moving success rate.
	successStep = 0.05
	// probationWeight is the weight of an upstream on probation and the lowest
	// weight in slow start. It limits the work that the upstream gets.
	probationWeight = 0.1
)

func (o HealthOptions) withDefaults() HealthOptions {
	setIntIfZero(&o.Consecutive, DefaultConsecutive)
	setIntIfZero(&o.MinAttempts, DefaultMinAttempts)
	setIntIfZero(&o.ProbationSuccesses, DefaultProbationSuccesses)
	setFloatIfZero(&o.MinSuccess, DefaultMinSuccess)
	setDurationIfZero(&o.FirstEjection, DefaultFirstEjection)
	setDurationIfZero(&o.MaxEjection, DefaultMaxEjection)
	return o
}

func (o HealthOptions) validate() error {
	if o.Consecutive < 0 || o.MinAttempts < 0 || o.ProbationSuccesses < 0 {
		return fmt.Errorf("health: a count is negative: %+v", o)
	}
	if o.MinSuccess < 0 || o.MinSuccess > 1 {
		return fmt.Errorf("health: min success: %v is not within 0 to 1", o.MinSuccess)
	}
	if o.FirstEjection < 0 || o.MaxEjection < o.FirstEjection && o.MaxEjection != 0 {
		return fmt.Errorf("health: ejection: %v to %v is not a range", o.FirstEjection, o.MaxEjection)
	}
	return nil
}

// healthPhase is the health state of an upstream.
type healthPhase uint8

const (
	healthy healthPhase = iota
	ejected
	probation // reinstated after an ejection, with a reduced weight
)

// health is the health state of one upstream, from its recent attempts.
type health struct {
	phase               healthPhase
	successRate         float64 // moving average, 0 to 1
	attempts            int
	consecutiveFailures int
	probationSuccesses  int // consecutive, on probation
	ejections           int
	ejectedUntil        time.Time // end of the ejection
}

func newHealth() health { return health{successRate: 1} }

// observe records the result of one attempt and reports whether the upstream
// should be ejected.
func (h *health) observe(result Result, opts *HealthOptions) bool {
	if result == Cancelled {
		return false
	}
	h.attempts++
	if result == Succeeded {
		h.successRate += successStep * (1 - h.successRate)
		h.consecutiveFailures = 0
		h.recordProbationSuccess(opts)
		return false
	}
	h.successRate -= successStep * h.successRate
	h.consecutiveFailures++
	h.probationSuccesses = 0
	// One failure on probation is enough, since probation is a test.
	if h.phase == probation || h.consecutiveFailures >= opts.Consecutive {
		return true
	}
	return h.attempts >= opts.MinAttempts && h.successRate < opts.MinSuccess
}

func (h *health) recordProbationSuccess(opts *HealthOptions) {
	if h.phase != probation {
		return
	}
	h.probationSuccesses++
	if h.probationSuccesses >= opts.ProbationSuccesses {
		*h = newHealth()
	}
}

func (h *health) eject(now time.Time, opts *HealthOptions) {
	length := opts.FirstEjection
	for range h.ejections {
		length = min(2*length, opts.MaxEjection)
	}
	h.ejections++
	h.phase = ejected
	h.consecutiveFailures = 0
	h.ejectedUntil = now.Add(length)
}

// reinstate ends an ejection and starts probation. Attempts before the ejection
// no longer count.
func (h *health) reinstate() {
	h.phase = probation
	h.probationSuccesses = 0
	h.attempts = 0
	h.successRate = 1
}
