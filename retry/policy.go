package retry

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// Options configures a Policy.
type Options struct {
	// MaxAttempts bounds the attempts of one request, including the first.
	MaxAttempts int
	// BaseDelay is the bound of the first backoff delay, which doubles with each
	// attempt up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// MinAttempt is the minimum timeout of an attempt; AttemptFactor is the
	// timeout as a multiple of the predicted time.
	MinAttempt    time.Duration
	AttemptFactor float64
	// MinWork is the minimum time to the deadline for which another attempt is worth
	// its cost.
	MinWork time.Duration
}

// DefaultOptions returns the options used by entry hosts.
func DefaultOptions() Options {
	return Options{
		MaxAttempts:   3,
		BaseDelay:     25 * time.Millisecond,
		MaxDelay:      time.Second,
		MinAttempt:    100 * time.Millisecond,
		AttemptFactor: 3,
		MinWork:       20 * time.Millisecond,
	}
}

// Call describes a request to a Policy.
type Call struct {
	Team  ident.Team
	Class ident.Class
	// Repeatable is set if running the request twice is harmless.
	Repeatable bool
	// Attempts is the number of attempts sent so far.
	Attempts int
	// Deadline is the time by which the caller needs the answer; zero means none.
	Deadline time.Time
	// Expected is the predicted time until the answer of another attempt.
	Expected time.Duration
}

// Action is the next step after a failed attempt.
type Action uint8

// Values of Action.
const (
	// ActionAnswer returns the outcome to the caller.
	ActionAnswer Action = iota
	// ActionRetry sends another attempt after Delay.
	ActionRetry
)

// Decision is the result of Policy.Next.
type Decision struct {
	Action Action
	Delay  time.Duration
	// Err is the outcome for the caller if Action is ActionAnswer, else nil.
	Err error
	// At is the time of the decision, Slack the time from then to the deadline.
	At    time.Time
	Slack time.Duration
}

// Policy decides on retries and hedges. It is not safe for concurrent use.
type Policy struct {
	options Options
	budgets *Budgets
}

// NewPolicy returns a policy that draws from budgets.
func NewPolicy(options Options, budgets *Budgets) *Policy {
	return &Policy{options: options, budgets: budgets}
}

// Next decides what follows an attempt that ended with err, an outcome of package
// outcome.
//
// A request that certainly did not run may be sent again whether or not it is
// repeatable. A call that is not repeatable holds its at-most-once claim for a single
// send, so it is retried here only on such proof.
func (p *Policy) Next(now time.Time, call Call, err error, random *rand.Rand) Decision {
	d := Decision{Action: ActionAnswer, Err: err, At: now, Slack: slack(now, call)}
	if err == nil || !p.mayRetry(call, err) {
		return d
	}
	if call.Attempts >= p.options.MaxAttempts {
		return d
	}
	delay := p.backoff(call.Attempts, random)
	if !call.Deadline.IsZero() && d.Slack < delay+max(call.Expected, p.options.MinWork) {
		return d
	}
	if !p.budgets.Take(call.Team, call.Class) {
		return d
	}
	d.Action, d.Delay, d.Err = ActionRetry, delay, nil
	return d
}

func (p *Policy) mayRetry(call Call, err error) bool {
	var notRun *outcome.NotRun
	if errors.As(err, &notRun) {
		return retriable(notRun.Reason)
	}
	return call.Repeatable
}

// retriable reports whether another upstream may succeed where one gave reason.
func retriable(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonDial, outcome.ReasonRefused, outcome.ReasonConnectionLost, outcome.ReasonLeavingUpstream:
		return true
	default:
		return false
	}
}

// backoff returns a random delay between zero and an exponentially growing bound
// ("full jitter"), so that requests that failed together are not retried together.
func (p *Policy) backoff(attempts int, random *rand.Rand) time.Duration {
	bound := p.options.BaseDelay
	for i := 1; i < attempts && bound < p.options.MaxDelay; i++ {
		bound *= 2
	}
	bound = min(bound, p.options.MaxDelay)
	if bound <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(bound) + 1))
}

// AttemptTimeout returns the time after which an attempt counts as failed. It follows
// the predicted time: a fixed timeout would treat an upstream as failing that is only
// as busy as predicted, and the retry would add to its queue.
func (p *Policy) AttemptTimeout(now time.Time, call Call) time.Duration {
	timeout := time.Duration(p.options.AttemptFactor * float64(call.Expected))
	timeout = max(timeout, p.options.MinAttempt)
	if call.Deadline.IsZero() {
		return timeout
	}
	return max(0, min(timeout, slack(now, call)))
}

// Hedge reports whether to send a second attempt while one has been running for
// waited, which is longer than usual. Only a repeatable request with enough time for
// the second attempt and a token in its budgets is hedged.
func (p *Policy) Hedge(now time.Time, call Call, waited, usual time.Duration) bool {
	if !call.Repeatable || waited <= usual || call.Attempts >= p.options.MaxAttempts {
		return false
	}
	if !call.Deadline.IsZero() && slack(now, call) < max(call.Expected, p.options.MinWork) {
		return false
	}
	return p.budgets.Take(call.Team, call.Class)
}

func slack(now time.Time, call Call) time.Duration {
	if call.Deadline.IsZero() {
		return 0
	}
	return call.Deadline.Sub(now)
}
