package entry

import (
	"context"
	"math"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/retry"
)

// callTimes estimates the time until the answer to a call of one service
// begins: a smoothed mean and deviation, as for a TCP retransmission timer.
type callTimes struct {
	count           int
	mean, deviation float64 // seconds
}

const (
	// meanGain and deviationGain are the weights of one observation.
	meanGain      = 0.125
	deviationGain = 0.25
	// slowDeviations is the number of deviations above the mean beyond which a
	// call counts as slow.
	slowDeviations = 4
	// minObserved is the number of observations before calls can count as slow.
	minObserved = 16
	// minSlowAfter is the lower bound of slowAfter. It prevents hedges of fast
	// services because of short delays.
	minSlowAfter = 10 * time.Millisecond
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

// slowAfter returns the duration after which a call counts as slow, and false
// while there are too few observations.
func (t *callTimes) slowAfter() (time.Duration, bool) {
	if t.count < minObserved {
		return 0, false
	}
	seconds := t.mean + slowDeviations*t.deviation
	return max(time.Duration(seconds*float64(time.Second)), minSlowAfter), true
}

// timesOf returns the call times of a service. The caller holds the mutex.
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

// forwardResult is the result of one attempt.
type forwardResult struct {
	answer ServiceAnswer
	err    error
	cancel context.CancelFunc
}

// forwardHedged makes one attempt of a repeatable call, and a second,
// concurrent one when the first is slower than usual for the service and the
// retry policy permits a hedge within budget and deadline. The first success is
// returned; the other attempt is cancelled and its answer discarded.
func (e *Entry) forwardHedged(ctx context.Context, j *serviceJob) (ServiceAnswer, error) {
	e.mu.Lock()
	slowAfter, estimated := e.timesOf(j.call.Service).slowAfter()
	e.mu.Unlock()
	if !estimated {
		return e.forward(ctx, j)
	}
	results := make(chan forwardResult, maxHedges)
	started := time.Now()
	e.attempt(ctx, j, results)
	open := 1
	// The policy requires that more than the usual time has passed.
	slow := time.NewTimer(slowAfter + time.Millisecond)
	defer slow.Stop()
	for {
		select {
		case <-slow.C:
			if open == 1 && e.mayHedge(j, time.Since(started), slowAfter) {
				e.counts.hedges.Inc()
				e.attempt(ctx, j, results)
				open++
			}
		case result := <-results:
			open--
			if result.err != nil && open > 0 {
				result.cancel()
				continue // the other attempt may still succeed
			}
			e.dropLate(results, open)
			if result.err != nil {
				result.cancel()
			}
			return result.answer, result.err
		}
	}
}

// maxHedges bounds the concurrent attempts of one call.
const maxHedges = 2

// attempt forwards the call in a new goroutine. After a success its context
// stays open until the context of the call ends, since the body is read later.
func (e *Entry) attempt(ctx context.Context, j *serviceJob, results chan<- forwardResult) {
	own, cancel := context.WithCancel(ctx)
	go func() {
		answer, err := e.forward(own, j)
		results <- forwardResult{answer: answer, err: err, cancel: cancel}
	}()
}

// dropLate closes the answers of the attempts that lost.
func (e *Entry) dropLate(results <-chan forwardResult, open int) {
	if open == 0 {
		return
	}
	go func() {
		for range open {
			late := <-results
			if late.err == nil {
				_ = late.answer.Body.Close()
				e.counts.lateAnswers.Inc()
			}
			late.cancel()
		}
	}()
}

func (e *Entry) mayHedge(j *serviceJob, waited, slowAfter time.Duration) bool {
	if e.isSuspect(j.fingerprint, nil) {
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
		Expected:   slowAfter,
	}, waited, slowAfter)
}

// recordCall records the duration or the error of one attempt. The caller holds
// the mutex.
func (e *Entry) recordCall(j *serviceJob, took time.Duration, err error) {
	if err == nil {
		e.timesOf(j.call.Service).observe(took)
		return
	}
	if outcome.KindOf(err) != outcome.KindNotRun {
		j.possiblyRan = err
	}
}
