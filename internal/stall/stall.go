// Package stall measures for how long a process did not run: it was stopped, got no processor,
// waited for a disk, or its machine was suspended. A process that has heard nothing from another
// one during a stall was not cut off from it.
package stall

import (
	"context"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/internal/wait"
)

const (
	// beatInterval is the interval at which Run checks that the process runs.
	beatInterval = 100 * time.Millisecond
	// maxBeat is the longest time between two beats that is no stall. Timers fire late on a busy
	// processor.
	maxBeat = 2 * beatInterval
)

// Meter adds up the stalls of this process. Its zero value has seen none, and sees none before
// the first Beat.
type Meter struct {
	mu   sync.Mutex
	last time.Time
	sum  time.Duration
}

// Run beats until ctx ends. The clock must count suspensions of the machine for them to be seen.
func (m *Meter) Run(ctx context.Context, clock func() time.Time) {
	for {
		m.Beat(clock())
		if !wait.For(ctx, beatInterval) {
			return
		}
	}
}

// Beat records that the process runs.
func (m *Meter) Beat(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum += m.current(now)
	m.last = now
}

// Total returns the duration of all stalls until now, including one after which no beat has come
// yet.
func (m *Meter) Total(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sum + m.current(now)
}

// current returns the duration of the stall since the latest beat. The caller holds the lock.
func (m *Meter) current(now time.Time) time.Duration {
	if m.last.IsZero() {
		return 0
	}
	return max(now.Sub(m.last)-maxBeat, 0)
}
