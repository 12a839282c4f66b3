package decision

import (
	"sync"
	"time"
)

// Class is what a line is worth when not all can be kept.
type Class uint8

const (
	// StateChange lines tell a change of what the process believes.
	StateChange Class = iota
	// Failure lines tell of a request without a whole answer, and of refusals.
	Failure
	// Retry lines tell that a request was sent once more.
	Retry
	// Late lines tell of a whole answer that began after its target.
	Late
	// Success lines tell of the rest.
	Success
	classes
)

// perSecond are the lines of each class in a second, chosen so that a process
// writes 120 at most (about 36 KB/s) and that a sample of every class stands
// in the log at any load.
var perSecond = [classes]float64{StateChange: 40, Failure: 40, Retry: 15, Late: 15, Success: 10}

// burst is how many seconds' worth of lines may be written at once.
const burst = 3

// budget is a token bucket for each class.
type budget struct {
	mu      sync.Mutex
	tokens  [classes]float64
	at      time.Time
	skipped [classes]uint64
}

func newBudget(now time.Time) *budget {
	b := &budget{at: now}
	for class := range b.tokens {
		b.tokens[class] = burst * perSecond[class]
	}
	return b
}

// take reports whether a line may be written, and how many of its class were
// left out since the last one that was.
func (b *budget) take(class Class, now time.Time) (ok bool, skipped uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		for c := range b.tokens {
			b.tokens[c] = min(b.tokens[c]+passed*perSecond[c], burst*perSecond[c])
		}
		b.at = now
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
