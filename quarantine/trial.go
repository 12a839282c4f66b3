package quarantine

import "time"

const (
	// firstTrialDelay is the time from the quarantine of a part to its first trial, and
	// trialDelayFactor that between the delays of two trials: a sound part is released soon, and a
	// part that crashes upstreams costs few of them.
	firstTrialDelay  = 2 * time.Second
	trialDelayFactor = 8
	// maxTrialDelay is the longest delay between two trials.
	maxTrialDelay = 20 * time.Minute
	// sharedTrialDelay is the further delay of a request with several quarantined parts: one that is
	// served proves all of them sound, but its crash tells nothing of each.
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

// TrialTimes holds, by the monotonic clock of this process, when the next trial of each quarantined
// part is due. The zero value is ready to use; it is not safe for concurrent use.
type TrialTimes struct{ known map[Fingerprint]trialTime }

type trialTime struct {
	counted QuarantinedPart
	// alone is when a request with no other quarantined part may be sent, shared when one with
	// others may.
	alone, shared time.Time
}

// Sync adapts the times to the quarantined parts. The delay to the next trial of a part that is new, or
// that was tried, begins now; one that was not run is due again soon. Trials with other parts tell
// nothing of each and don't delay those without.
func (p *TrialTimes) Sync(parts []QuarantinedPart, now time.Time) {
	before := p.known
	p.known = make(map[Fingerprint]trialTime, len(parts))
	for _, q := range parts {
		known, found := before[q.Part]
		if !found || known.counted.Trials < q.Trials {
			known.alone = now.Add(TrialDelay(q.Trials))
		}
		if !found && q.Burst && q.Trials == 0 {
			known.alone = now
		}
		if !found || known.counted.Trials < q.Trials || known.counted.Shared < q.Shared {
			known.shared = now.Add(TrialDelay(q.Trials+q.Shared) + sharedTrialDelay)
		}
		if known.counted.Trials > q.Trials {
			known.alone = now.Add(firstTrialDelay)
		}
		if known.counted.Shared > q.Shared {
			known.shared = now.Add(firstTrialDelay + sharedTrialDelay)
		}
		known.counted = q
		p.known[q.Part] = known
	}
}

// Due returns the times at which trials of a part are due, with no other quarantined part and with
// others, and false if it is not quarantined.
func (p *TrialTimes) Due(part Fingerprint) (alone, shared time.Time, found bool) {
	known, found := p.known[part]
	return known.alone, known.shared, found
}

// Grant reports whether a request with these quarantined parts, and no others, may be sent now.
func (p *TrialTimes) Grant(parts []Fingerprint, now time.Time) bool {
	for _, part := range parts {
		due, shared, found := p.Due(part)
		if len(parts) > 1 {
			due = shared
		}
		if !found || now.Before(due) {
			return false
		}
	}
	return len(parts) > 0
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
