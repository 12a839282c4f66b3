package upstream

import "time"

// maxRecent bounds the finished attempts kept for one upstream until its next
// report. Beyond it the oldest is forgotten, and the load is overestimated by
// that one request until the report arrives.
const maxRecent = 64

// flight is one attempt of this process in flight.
type flight struct {
	upstream   uint32
	generation uint32 // of the upstream's slot
	position   int    // in the upstream's list of flights
	sent       time.Time
	tokens     int64 // prompt work not yet prefilled
	counted    bool  // the last report includes it
}

// landing is a finished attempt that the last report may still include.
type landing struct {
	sent, finished time.Time
}

// shareEstimate learns which part of the reported work is this process's own.
// All entries see the same report and act alike, so this process's own work
// since the report tells what the others have probably sent meanwhile. The
// share is learned because entries are not alike: one that sends everything
// has nobody to expect.
type shareEstimate struct {
	own, all float64
}

// Weights of the share estimate.
const (
	// shareStep is the weight of one report.
	shareStep = 0.02
	// sharePrior is the work, in requests, at which the estimate weighs as
	// much as the assumption that all entries send the same.
	sharePrior = 0.25
)

func (e *shareEstimate) observe(own, all int) {
	e.own += shareStep * (float64(own) - e.own)
	e.all += shareStep * (float64(max(all, own)) - e.all)
}

// others is how many requests of other entries come with each own one.
func (e *shareEstimate) others(entries int) float64 {
	return (e.all+sharePrior*float64(entries))/(e.own+sharePrior) - 1
}

// loadState is the last report of an upstream and what changed since.
type loadState struct {
	report   Report
	reported bool
	// measured is when the report was measured and taken when it arrived, both
	// on this process's clock.
	measured time.Time
	taken    time.Time
	flights  []*flight
	recent   []landing
	// added are flights that the report does not include, landed those that
	// it includes and that have finished since.
	added       int
	landed      int
	addedTokens int64
}

// take replaces the report. It returns false for one that is not newer. Reports
// come late by less than late, so that one which seems older after that was
// measured on a clock that has stepped back.
func (l *loadState) take(report Report, now time.Time, transit, late time.Duration) bool {
	order := report.MeasuredAt.Compare(l.report.MeasuredAt)
	if l.reported && (order == 0 || order < 0 && now.Sub(l.taken) < late) {
		return false
	}
	l.report = report
	l.taken = now
	l.reported = true
	l.measured = now.Add(-max(report.Age, 0))
	l.recount(l.measured.Add(-transit))
	return true
}

// recount splits the flights into those sent by included, which the report
// counts already, and the others.
func (l *loadState) recount(included time.Time) {
	l.added, l.landed, l.addedTokens = 0, 0, 0
	for _, f := range l.flights {
		f.counted = !f.sent.After(included)
		if !f.counted {
			l.added++
			l.addedTokens += f.tokens
		}
	}
	kept := l.recent[:0]
	for _, r := range l.recent {
		if !r.finished.After(included) {
			continue
		}
		kept = append(kept, r)
		if !r.sent.After(included) {
			l.landed++
		}
	}
	l.recent = kept
}

func (l *loadState) send(f *flight) {
	f.position = len(l.flights)
	l.flights = append(l.flights, f)
	l.added++
	l.addedTokens += f.tokens
}

// prefilled removes a flight's prompt work, because its first token came.
func (l *loadState) prefilled(f *flight) {
	if !f.counted {
		l.addedTokens -= f.tokens
	}
	f.tokens = 0
}

func (l *loadState) finish(f *flight, now time.Time) {
	l.prefilled(f)
	last := len(l.flights) - 1
	l.flights[f.position] = l.flights[last]
	l.flights[f.position].position = f.position
	l.flights[last] = nil
	l.flights = l.flights[:last]
	if f.counted {
		l.landed++
	} else {
		l.added--
	}
	if len(l.recent) >= maxRecent {
		l.recent = append(l.recent[:0], l.recent[1:]...)
	}
	l.recent = append(l.recent, landing{sent: f.sent, finished: now})
}

// counted is how many of the reported requests are this process's own.
func (l *loadState) counted() int { return len(l.flights) - l.added + l.landed }

// requests is the estimate of running and queued work. others is how many
// requests of other entries come with each request of this process.
func (l *loadState) requests(others float64) float64 {
	reported := 0
	if l.reported {
		reported = l.report.Running + l.report.Queued
	}
	// Work that ended since is estimated like work that was added: what this
	// process saw end stands for what the others saw.
	known := max(float64(reported)-float64(l.landed)*(1+others), 0)
	// What is in flight here runs there, whatever the report says.
	return max(known+float64(l.added)*(1+others), float64(len(l.flights)))
}

// estimate is the load at now.
func (l *loadState) estimate(now time.Time, others float64) Load {
	load := Load{
		Requests:     l.requests(others),
		QueuedTokens: float64(l.addedTokens) * (1 + others),
		Own:          len(l.flights),
	}
	if !l.reported {
		return load
	}
	load.Reported = true
	load.Age = now.Sub(l.measured)
	load.QueuedTokens += float64(l.report.QueuedTokens)
	load.FreeBlocks = l.report.FreeBlocks
	load.LinkBusy = l.report.LinkBusy
	return load
}
