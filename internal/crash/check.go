// Package crash lets requests wait for the check whether an upstream at which their attempts broke
// off has crashed.
package crash

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/quarantine"
)

// waitTime bounds the wait for checks before a retry. A check ends within a few ms of
// quarantine.CheckDelay unless the upstream's host doesn't answer.
const waitTime = 50 * time.Millisecond

// State is the state of an upstream's process.
type State uint8

const (
	// Unclear: the upstream's host gave no answer.
	Unclear State = iota
	// Running: the process accepts connections.
	Running
	// Refused: the address refuses connections. A network partition refuses them too.
	Refused
	// Crashed: the address refuses connections, and those to other upstreams are established.
	Crashed
)

// Confirm decides whether an upstream has crashed. One that refuses connections has, if it still does
// after another upstream has accepted one: a partition between the two and this process has then
// ended, if there was one. check checks the upstream in question, others returns connections to others.
func Confirm(ctx context.Context, check func(context.Context) State, others func() []func(context.Context) bool) State {
	if state := check(ctx); state != Refused || !anyConnects(ctx, others()) {
		return state
	}
	state := check(ctx)
	if state == Refused {
		return Crashed
	}
	return state
}

// anyConnects reports whether one of several upstreams accepts a connection. It returns at the first.
func anyConnects(ctx context.Context, others []func(context.Context) bool) bool {
	results := make(chan bool, len(others))
	for _, connects := range others {
		go func() { results <- connects(ctx) }()
	}
	for range others {
		if <-results {
			return true
		}
	}
	return false
}

// Check is the check whether one upstream has crashed.
type Check struct {
	// done is closed at the end, after state was set.
	done  chan struct{}
	state State
}

// NewCheck returns a check that has not ended.
func NewCheck() *Check { return &Check{done: make(chan struct{})} }

// End ends the check with its result. It must be called once.
func (c *Check) End(state State) {
	c.state = state
	close(c.done)
}

// Wait waits for the end until ctx ends, and returns the state as far as it is known.
func (c *Check) Wait(ctx context.Context) State {
	select {
	case <-c.done:
		return c.state
	default:
	}
	select {
	case <-c.done:
		return c.state
	case <-ctx.Done():
		return Unclear
	}
}

// Checks are the checks of the upstreams at which the attempts of one request broke off.
type Checks []*Check

// Suspect reports whether one more crash would quarantine the request. The control hosts, or the
// other entries, learn of crashes later than the entry that retries. It waits for the checks, at most
// waitTime, if enough attempts broke off.
func (c Checks) Suspect(ctx context.Context) bool {
	if len(c) < quarantine.SuspectThreshold {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, waitTime)
	defer cancel()
	crashes := 0
	for _, check := range c {
		if state := check.Wait(ctx); state == Crashed || state == Refused {
			crashes++
		}
	}
	return crashes >= quarantine.SuspectThreshold
}
