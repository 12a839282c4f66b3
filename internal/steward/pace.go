package steward

import (
	"sync"
	"time"
)

const (
	// answerShare is the part of its time that a control host spends on answers to
	// watches at most. The rest is for the log, announcements and the operator.
	answerShare = 0.25
	// answerWeight is the weight of the newest answer in what one takes.
	answerWeight = 0.02
	// pauseMost is the longest pause between two watches that is asked for: words on
	// loads and stores older than that serve no choice.
	pauseMost = 300 * time.Millisecond
)

// pace asks watchers to come as often as this host can answer them. Where news come
// all the time, each would else ask again as soon as it was answered: hundreds of
// entries take all of their hosts' time then, and what they are told is old. What an
// answer takes is observed and grows when the host has other work.
type pace struct {
	mu   sync.Mutex
	took time.Duration
}

// note takes in how long an answer took, without the wait for news.
func (p *pace) note(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.took += time.Duration(answerWeight * float64(took-p.took))
}

// pause is how long each of so many watchers should wait between two watches.
func (p *pace) pause(watchers int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(time.Duration(float64(p.took)*float64(watchers)/answerShare), pauseMost)
}
