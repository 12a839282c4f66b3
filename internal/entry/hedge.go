package entry

import (
	"context"
	"math"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/retry"
)

// callTimes learns how long the calls of one service usually take until their
// answer begins: a smoothed mean and deviation, as for a retransmission timer.
type callTimes struct {
	count           int
	mean, deviation float64 // seconds
}

const (
	// meanGain and deviationGain are the weights of one call.
	meanGain      = 0.125
	deviationGain = 0.25
	// usualDeviations above the mean is longer than a call usually takes.
	usualDeviations = 4
	// minObserved is how many calls must have been seen before one counts as
	// slow.
	minObserved = 16
	// minUsual keeps fast services from being asked twice for a hiccup.
	minUsual = 10 * time.Millisecond
)

func (t *callTimes) observe(took time.Duration) {
	seconds := took.Seconds()
	if t.count == 0 {
		t.mean, t.deviation = seconds, seconds/2
	}
	t.count++
	miss := seconds - t.mean
	t.mean += meanGain * miss
	t.deviation += deviationGain * (math.Abs(miss) - t.deviation)
}

// usual returns the time after which a call counts as slow; false while too
// little is known.
func (t *callTimes) usual() (time.Duration, bool) {
	if t.count < minObserved {
		return 0, false
	}
	seconds := t.mean + usualDeviations*t.deviation
	return max(time.Duration(seconds*float64(time.Second)), minUsual), true
}

// timesOf returns what is known of a service's calls. The caller holds the
// mutex.
func (e *Entry) timesOf(service ident.Service) *callTimes {
	times := e.callTimes[service]
	if times == nil {
		times = &callTimes{}
		if len(e.callTimes) < maxPools {
			e.callTimes[service] = times
		}
	}
	return times
}

// forwarded is the end of one attempt.
type forwarded struct {
	answer ServiceAnswer
	err    error
	cancel context.CancelFunc
}

// forwardHedged makes one attempt of a repeatable call, and a second one beside
// it when the first takes longer than such calls usually do and the policy has
// budget and slack for it. The first good answer wins; the other attempt is
// cancelled and its answer dropped.
func (e *Entry) forwardHedged(ctx context.Context, j *serviceJob) (ServiceAnswer, error) {
	e.mu.Lock()
	usual, known := e.timesOf(j.call.Service).usual()
	e.mu.Unlock()
	if !known {
		return e.forward(ctx, j)
	}
	ended := make(chan forwarded, maxHedges)
	started := time.Now()
	e.attempt(ctx, j, ended)
	open := 1
	// The policy wants more than the usual time to have passed.
	slow := time.NewTimer(usual + time.Millisecond)
	defer slow.Stop()
	for {
		select {
		case <-slow.C:
			if open == 1 && e.mayHedge(j, time.Since(started), usual) {
				e.counts.hedges.Inc()
				e.attempt(ctx, j, ended)
				open++
			}
		case end := <-ended:
			open--
			if end.err != nil && open > 0 {
				end.cancel()
				continue // the other may still answer
			}
			e.dropLate(ended, open)
			if end.err != nil {
				end.cancel()
			}
			return end.answer, end.err
		}
	}
}

// maxHedges bounds the attempts of one call under way at once.
const maxHedges = 2

// attempt forwards the call on a goroutine of its own. The context of a good
// answer stays open until the whole call's ends, since its body is read later.
func (e *Entry) attempt(ctx context.Context, j *serviceJob, ended chan<- forwarded) {
	own, cancel := context.WithCancel(ctx)
	go func() {
		answer, err := e.forward(own, j)
		ended <- forwarded{answer: answer, err: err, cancel: cancel}
	}()
}

// dropLate closes the answers of attempts that lost.
func (e *Entry) dropLate(ended <-chan forwarded, open int) {
	if open == 0 {
		return
	}
	go func() {
		for range open {
			late := <-ended
			if late.err == nil {
				_ = late.answer.Body.Close()
				e.counts.lateAnswers.Inc()
			}
			late.cancel()
		}
	}()
}

func (e *Entry) mayHedge(j *serviceJob, waited, usual time.Duration) bool {
	if e.judged(j.print) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.policy.Hedge(time.Now(), retry.Call{
		Team:       j.call.Caller.Team(),
		Class:      j.class.Name,
		Repeatable: j.repeatable,
		Attempts:   j.attempts,
		Deadline:   j.deadline,
		Expected:   usual,
	}, waited, usual)
}

// noteCall learns from one attempt. The caller holds the mutex.
func (e *Entry) noteCall(j *serviceJob, took time.Duration, err error) {
	if err == nil {
		e.timesOf(j.call.Service).observe(took)
		return
	}
	if outcome.KindOf(err) != outcome.KindNotRun {
		j.ran = err
	}
}
