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
	// spareOver is for how long answers that were not asked for are made up. Entries that
	// were told nothing yet turn to the leader within a moment after a restart.
	spareOver = 500 * time.Millisecond
)

// pace asks watchers to come as often as this host can answer them. Where news come
// all the time, each would else ask again as soon as it was answered: hundreds of
// entries take all of their hosts' time then, and what they are told is old. What an
// answer takes is observed and grows when the host has other work.
type pace struct {
	mu   sync.Mutex
	took time.Duration
	// spare are the answers that there is time for, as of spareAt.
	spare   float64
	spareAt time.Time
}

// note takes in how long an answer took, without the wait for news.
func (p *pace) note(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.took += time.Duration(answerWeight * float64(took-p.took))
}

// leastTook is the least time that an answer is taken to need.
const leastTook = 100 * time.Microsecond

// mayAnswer reports whether a host that others should ask in its place has time for one
// more answer, and counts it. Where those others are late, all entries would turn to the
// leader at once: it would lose the lead over them, and the next one after it.
func (p *pace) mayAnswer(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	perSecond := answerShare / max(p.took, leastTook).Seconds()
	p.spare = min(p.spare+perSecond*now.Sub(p.spareAt).Seconds(), entriesAlone+perSecond*spareOver.Seconds())
	p.spareAt = now
	if p.spare < 1 {
		return false
	}
	p.spare--
	return true
}

// pause is how long each of so many watchers should wait between two watches.
func (p *pace) pause(watchers int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(time.Duration(float64(p.took)*float64(watchers)/answerShare), pauseMost)
}
