package quarantine

import (
	"slices"
	"time"
)

const (
	// firstTrialDelay is the time from the quarantine of a part to its first trial, and
	// trialDelayFactor that between the delays of two trials: a sound part is released soon, and a
	// part that crashes upstreams costs few of them.
	firstTrialDelay  = 2 * time.Second
	trialDelayFactor = 8
	// maxTrialDelay is the longest delay between two trials.
	maxTrialDelay = 20 * time.Minute
	// sharedTrialDelay is how long a trial is due before a request with several quarantined parts
	// may be it: one that is served proves all of them sound, but its crash tells nothing of each.
	sharedTrialDelay = 5 * time.Second
	// groupWindow is the time within which crashes belong to one group.
	groupWindow = 100 * time.Millisecond
)

// TrialDelay returns the time from the quarantine of a part, or from its latest trial, to the next
// one.
func TrialDelay(trials int) time.Duration {
	delay := firstTrialDelay
	for range trials {
		if delay *= trialDelayFactor; delay >= maxTrialDelay {
			return maxTrialDelay
		}
	}
	return delay
}

// TrialDue reports whether a request may be a trial of all of its quarantined parts. due holds the
// time at which the next trial of each is due.
func TrialDue(due []time.Time, now time.Time) bool {
	wait := time.Duration(0)
	if len(due) > 1 {
		wait = sharedTrialDelay
	}
	return !slices.ContainsFunc(due, func(at time.Time) bool { return now.Before(at.Add(wait)) })
}

// TrialTimes holds, by the monotonic clock of this process, when each part was quarantined or last
// tried. The zero value is ready to use; it is not safe for concurrent use.
type TrialTimes struct{ known map[Fingerprint]trialTime }

type trialTime struct {
	trials int
	at     time.Time
}

// Sync adapts the times to the quarantined parts: a part that is new, or that was tried since, counts
// from now on.
func (p *TrialTimes) Sync(parts []QuarantinedPart, now time.Time) {
	before := p.known
	p.known = make(map[Fingerprint]trialTime, len(parts))
	for _, q := range parts {
		if known, found := before[q.Part]; found && known.trials == q.Trials {
			p.known[q.Part] = known
		} else {
			p.known[q.Part] = trialTime{trials: q.Trials, at: now}
		}
	}
}

// Due returns the time at which the next trial of a part is due, and false if it is not quarantined.
func (p *TrialTimes) Due(part Fingerprint) (time.Time, bool) {
	known, found := p.known[part]
	if !found {
		return time.Time{}, false
	}
	return known.at.Add(TrialDelay(known.trials)), true
}

// Grant reports whether a request with these quarantined parts, and no others, may be a trial now.
func (p *TrialTimes) Grant(parts []Fingerprint, now time.Time) bool {
	due := make([]time.Time, 0, len(parts))
	for _, part := range parts {
		at, found := p.Due(part)
		if !found {
			return false
		}
		due = append(due, at)
	}
	return len(due) > 0 && TrialDue(due, now)
}

// CrashGroups assigns reported crashes to groups by the time at which they were noticed.
type CrashGroups struct{ began time.Time }

// Joins reports whether a crash belongs to the group of the one before.
func (g *CrashGroups) Joins(noticed time.Time) bool {
	if !g.began.IsZero() && noticed.Sub(g.began).Abs() < groupWindow {
		return true
	}
	g.began = noticed
	return false
}
