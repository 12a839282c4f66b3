package admit

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// drainRate is the smoothed rate at which slots become free.
type drainRate struct {
	interval float64 // smoothed time between two completions, seconds
	last     time.Time
}

const (
	drainGain = 0.05
	// maxInterval is the largest interval, in seconds, that counts. Without it, an
	// idle period would make the predicted wait of the next requests hours long.
	maxInterval = 1.0
)

func (d *drainRate) observe(now time.Time) {
	if d.last.IsZero() {
		d.last = now
		return
	}
	gap := min(now.Sub(d.last).Seconds(), maxInterval)
	d.last = now
	if d.interval == 0 {
		d.interval = gap
		return
	}
	d.interval += drainGain * (gap - d.interval)
}

// wait returns the predicted time until n slots have become free.
func (d *drainRate) wait(n int) time.Duration {
	return time.Duration(float64(n) * d.interval * float64(time.Second))
}

// predictedWait returns the estimated wait of the team's next urgent request: the
// team's queued urgent requests start one by one, each after one request of every
// other waiting team.
func (c *Controller) predictedWait(name ident.Team) time.Duration {
	if c.running < c.limit.Value() {
		return 0
	}
	ahead := 1
	if t := c.queue.teams[name]; t != nil {
		ahead += t.urgent
	}
	turns := ahead * max(1, c.queue.urgentTeams)
	return c.drain.wait(min(turns, c.queue.queued+1))
}

// Bounds of the retry time in a refusal.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// retryAfter returns the predicted time until n queued requests have started, within
// the bounds.
func (c *Controller) retryAfter(n int) time.Duration {
	return min(max(c.drain.wait(n), minRetryAfter), maxRetryAfter)
}

// pace is the smoothed work that is served in a millisecond while requests wait.
type pace struct {
	// assumed is the pace before any is observed.
	assumed float64
	// work and gap are the smoothed cost of a request that was served and the time since
	// the one before, in milliseconds.
	work, gap float64
	last      time.Time
}

// paceGain is the weight of one request in the smoothed pace.
const paceGain = 0.1

// served records that a request was served. The time before last, when none waited, does
// not count.
func (p *pace) served(now time.Time, cost float64) {
	gap := float64(now.Sub(p.last)) / float64(time.Millisecond)
	p.last = now
	if p.work == 0 {
		if p.assumed <= 0 {
			return
		}
		p.work, p.gap = cost, cost/p.assumed
	}
	p.work += paceGain * (cost - p.work)
	p.gap += paceGain * (gap - p.gap)
}

func (p *pace) perMs() float64 {
	if p.work == 0 || p.gap <= 0 {
		return p.assumed
	}
	return p.work / p.gap
}
