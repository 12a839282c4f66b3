package upstream

import "time"

// maxFinished bounds the finished attempts kept for one upstream until its next
// report. Beyond it the oldest is dropped, and the load is overestimated by that
// request until the report arrives.
const maxFinished = 64

// sentAttempt is one attempt of this process in flight.
type sentAttempt struct {
	upstream   uint32
	generation uint32 // of the upstream's slot
	position   int    // in loadState.inFlight
	sentAt     time.Time
	tokens     int64 // pending prefill
	inReport   bool  // included in the last report
}

// finishedAttempt is an attempt that has finished and that the last report may
// still include.
type finishedAttempt struct {
	sentAt, finishedAt time.Time
}

// shareEstimate is a moving estimate of this process's share of the reported
// work. All entries receive the same report and follow the same rules, so the
// work this process has sent since the report indicates how much the others
// have sent. The share is learned because entries do not send equally: one that
// sends all the work has to add nothing for others.
type shareEstimate struct {
	// own and all are moving averages, in requests, of this process's part of
	// the reported work and of all of it.
	own, all float64
}

// Weights of the share estimate.
const (
	// shareStep is the weight of one report in the moving averages.
	shareStep = 0.02
	// sharePrior is the own work, in requests, at which the estimate has the
	// same weight as the assumption that all entries send equally.
	sharePrior = 0.25
)

func (e *shareEstimate) observe(own, all int) {
	e.own += shareStep * (float64(own) - e.own)
	e.all += shareStep * (float64(max(all, own)) - e.all)
}

// othersPerOwn returns the estimated number of requests of other entries per
// request of this process. entries is the assumed number of entries.
func (e *shareEstimate) othersPerOwn(entries int) float64 {
	return (e.all+sharePrior*float64(entries))/(e.own+sharePrior) - 1
}

// loadState is the last report of an upstream and the changes since.
type loadState struct {
	report   Report
	reported bool
	// measuredAt is the time at which the report was measured and receivedAt
	// the time at which it arrived, both on this process's clock.
	measuredAt time.Time
	receivedAt time.Time
	inFlight   []*sentAttempt
	finished   []finishedAttempt
	// unreported is the number of attempts in flight that the report does not
	// include, finishedReported the number of finished attempts that it does
	// include. unreportedTokens is the pending prefill of the former.
	unreported       int
	finishedReported int
	unreportedTokens int64
}

// apply replaces the report. It returns false for one that is not newer. Reports
// are delayed by less than maxDelay, so one that appears older and arrives later
// than that was measured on a clock that has stepped back.
func (l *loadState) apply(report Report, now time.Time, transit, maxDelay time.Duration) bool {
	order := report.MeasuredAt.Compare(l.report.MeasuredAt)
	if l.reported && (order == 0 || order < 0 && now.Sub(l.receivedAt) < maxDelay) {
		return false
	}
	l.report = report
	l.receivedAt = now
	l.reported = true
	l.measuredAt = now.Add(-max(report.Age, 0))
	l.recount(l.measuredAt.Add(-transit))
	return true
}

// recount separates the attempts sent up to cutoff, which the report includes,
// from the others.
func (l *loadState) recount(cutoff time.Time) {
	l.unreported, l.finishedReported, l.unreportedTokens = 0, 0, 0
	for _, a := range l.inFlight {
		a.inReport = !a.sentAt.After(cutoff)
		if !a.inReport {
			l.unreported++
			l.unreportedTokens += a.tokens
		}
	}
	kept := l.finished[:0]
	for _, r := range l.finished {
		if !r.finishedAt.After(cutoff) {
			continue
		}
		kept = append(kept, r)
		if !r.sentAt.After(cutoff) {
			l.finishedReported++
		}
	}
	l.finished = kept
}

func (l *loadState) send(a *sentAttempt) {
	a.position = len(l.inFlight)
	l.inFlight = append(l.inFlight, a)
	l.unreported++
	l.unreportedTokens += a.tokens
}

// prefilled removes an attempt's pending prefill, because its first token has
// arrived.
func (l *loadState) prefilled(a *sentAttempt) {
	if !a.inReport {
		l.unreportedTokens -= a.tokens
	}
	a.tokens = 0
}

func (l *loadState) finish(a *sentAttempt, now time.Time) {
	l.prefilled(a)
	last := len(l.inFlight) - 1
	l.inFlight[a.position] = l.inFlight[last]
	l.inFlight[a.position].position = a.position
	l.inFlight[last] = nil
	l.inFlight = l.inFlight[:last]
	if a.inReport {
		l.finishedReported++
	} else {
		l.unreported--
	}
	if len(l.finished) >= maxFinished {
		l.finished = append(l.finished[:0], l.finished[1:]...)
	}
	l.finished = append(l.finished, finishedAttempt{sentAt: a.sentAt, finishedAt: now})
}

// ownReported returns the number of reported requests that are this process's
// own.
func (l *loadState) ownReported() int { return len(l.inFlight) - l.unreported + l.finishedReported }

// requests returns the estimated number of running and queued requests.
// othersPerOwn is the number of requests of other entries per request of this
// process.
func (l *loadState) requests(othersPerOwn float64) float64 {
	reported := 0
	if l.reported {
		reported = l.report.Running + l.report.Queued
	}
	// Requests of other entries that have finished since the report are
	// estimated in proportion to own ones, like those that were sent.
	known := max(float64(reported)-float64(l.finishedReported)*(1+othersPerOwn), 0)
	// Own attempts in flight are a lower bound, whatever the report indicates.
	return max(known+float64(l.unreported)*(1+othersPerOwn), float64(len(l.inFlight)))
}

// estimate returns the load at now.
func (l *loadState) estimate(now time.Time, othersPerOwn float64) Load {
	load := Load{
		Requests:     l.requests(othersPerOwn),
		QueuedTokens: float64(l.unreportedTokens) * (1 + othersPerOwn),
		Own:          len(l.inFlight),
	}
	if !l.reported {
		return load
	}
	load.Reported = true
	load.Age = now.Sub(l.measuredAt)
	load.QueuedTokens += float64(l.report.QueuedTokens)
	load.FreeBlocks = l.report.FreeBlocks
	load.LinkBusy = l.report.LinkBusy
	return load
}
