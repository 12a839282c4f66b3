package steward

import (
	"sync"
	"time"
)

const (
	// answerShare is the maximum share of its time that a control host spends on answers to
	// watches. The rest is for the log, announcements and the operator.
	answerShare = 0.25
	// answerWeight is the weight of the newest answer in the moving average of the time per
	// answer.
	answerWeight = 0.02
	// maxPause is the longest pause between two watches that is requested: loads and store
	// states older than that are useless for routing.
	maxPause = 300 * time.Millisecond
	// budgetWindow is the period over which unused answer capacity accumulates. Entries without
	// any state turn to the leader within a short time after a restart.
	budgetWindow = 500 * time.Millisecond
)

// pacer limits watchers to the rate at which this host can answer them. When state changes all
// the time, each watcher would otherwise send its next request as soon as it was answered:
// hundreds of entries then take all of their hosts' time, and the state that they receive is
// old. The time per answer is measured and grows when the host has other work.
type pacer struct {
	mu         sync.Mutex
	answerTime time.Duration
	// budget is the number of answers that there is time for, as of budgetAt.
	budget   float64
	budgetAt time.Time
}

// record records the time of an answer, without the wait for a change.
func (p *pacer) record(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answerTime += time.Duration(answerWeight * float64(took-p.answerTime))
}

// minAnswerTime is the lower bound of the time assumed per answer.
const minAnswerTime = 100 * time.Microsecond

// mayAnswer reports whether a host with relays has time for one more answer, and counts it.
// When the relays are slow, all entries would otherwise turn to the leader together: it would
// lose its leadership over the work, and so would its successor.
func (p *pacer) mayAnswer(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	perSecond := answerShare / max(p.answerTime, minAnswerTime).Seconds()
	p.budget = min(p.budget+perSecond*now.Sub(p.budgetAt).Seconds(), maxDirectEntries+perSecond*budgetWindow.Seconds())
	p.budgetAt = now
	if p.budget < 1 {
		return false
	}
	p.budget--
	return true
}

// pause returns how long each of a number of watchers should wait between two watches.
func (p *pacer) pause(watchers int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(time.Duration(float64(p.answerTime)*float64(watchers)/answerShare), maxPause)
}
