package quarantine

import (
	"slices"
	"time"
)

const (
	// askWait is the time for which an entry that asks for a trial listens for others that do, askLife
	// the time after which an ask no longer counts: the entry may have ended, or have no request left.
	askWait, askLife = 300 * time.Millisecond, 3 * time.Second
)

// TrialAsks decides which of several entries without a common leader may send the next trial: the one
// with the lowest host name of those that ask. The zero value is ready to use; it is not safe for
// concurrent use.
type TrialAsks struct{ asks map[Fingerprint]trialAsk }

type trialAsk struct {
	host string
	at   time.Time
}

// Record records that an entry asks for a trial of parts.
func (a *TrialAsks) Record(parts []Fingerprint, host string, now time.Time) {
	if a.asks == nil {
		a.asks = make(map[Fingerprint]trialAsk)
	}
	for _, part := range parts {
		if known, found := a.asks[part]; !found || now.Sub(known.at) >= askLife || host < known.host {
			a.asks[part] = trialAsk{host: host, at: now}
		}
	}
}

// Asked reports whether an ask for all of the parts counts now.
func (a *TrialAsks) Asked(parts []Fingerprint, now time.Time) bool {
	return !slices.ContainsFunc(parts, func(part Fingerprint) bool {
		known, found := a.asks[part]
		return !found || now.Sub(known.at) >= askLife
	})
}

// Grants reports whether an entry may send a trial of all of the parts.
func (a *TrialAsks) Grants(parts []Fingerprint, host string, now time.Time) bool {
	return a.Asked(parts, now) && !slices.ContainsFunc(parts, func(part Fingerprint) bool {
		known := a.asks[part]
		return known.host != host || now.Sub(known.at) < askWait
	})
}

// Forget drops the asks for parts.
func (a *TrialAsks) Forget(parts ...Fingerprint) {
	for _, part := range parts {
		delete(a.asks, part)
	}
}

// Len returns the number of parts with an ask.
func (a *TrialAsks) Len() int { return len(a.asks) }
