package decision

import (
	"sync"
	"time"
)

// Class is the class of a line, which determines its share of the budget.
type Class uint8

const (
	// StateChange lines report a change in the process's local view.
	StateChange Class = iota
	// Failure lines report a request that was refused, was answered with a server error or
	// has no complete answer.
	Failure
	// Retry lines report that a request is sent again.
	Retry
	// Late lines report a complete answer that began after its target.
	Late
	// Success lines report all other answers.
	Success
	classCount
)

// linesPerSecond is the rate limit of each class. A process writes 120 lines per second at
// most (about 36 KB/s), and the log has a sample of every class at any load.
var linesPerSecond = [classCount]float64{StateChange: 40, Failure: 40, Retry: 15, Late: 15, Success: 10}

// burstSeconds is the burst size: how many seconds of each rate may be written at once.
const burstSeconds = 3

// budget has a token bucket for each class.
type budget struct {
	mu         sync.Mutex
	tokens     [classCount]float64
	refilledAt time.Time
	skipped    [classCount]uint64
}

func newBudget(now time.Time) *budget {
	b := &budget{refilledAt: now}
	for class := range b.tokens {
		b.tokens[class] = burstSeconds * linesPerSecond[class]
	}
	return b
}

// allow reports whether a line may be written, and how many lines of its class were skipped
// since the last one written.
func (b *budget) allow(class Class, now time.Time) (ok bool, skipped uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if passed := now.Sub(b.refilledAt).Seconds(); passed > 0 {
		for c := range b.tokens {
			b.tokens[c] = min(b.tokens[c]+passed*linesPerSecond[c], burstSeconds*linesPerSecond[c])
		}
		b.refilledAt = now
	}
	if b.tokens[class] < 1 {
		b.skipped[class]++
		return false, 0
	}
	b.tokens[class]--
	skipped = b.skipped[class]
	b.skipped[class] = 0
	return true, skipped
}
