package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// CheckDelay is the delay between the first attempt that breaks off at an upstream
	// and the check whether the upstream crashed. A crash breaks all connections of
	// the process, but they are noticed one by one.
	CheckDelay = 10 * time.Millisecond
	// CheckTimeout bounds the check whether the upstream crashed.
	CheckTimeout = 500 * time.Millisecond
)

// Attempt is an attempt that broke off, or whose answer ended with its connection.
type Attempt struct {
	Request     string
	Service     string
	Team        string
	Fingerprint Fingerprint
	// Parts are the fingerprints of the parts of its prompt that other requests may share.
	Parts []Fingerprint
	// Sent is the time at which it was sent.
	Sent time.Time
	// Ended indicates that its answer ended with its connection, without a length or chunks:
	// it is complete unless the upstream crashed.
	Ended bool
}

// LostAttempts collects the attempts that broke off at each upstream until it is known
// whether the upstream crashed or only the connections broke. The zero value is ready
// to use; it is not safe for concurrent use.
type LostAttempts struct{ attempts map[Incarnation][]Attempt }

// Add records an attempt and reports whether it is the first at its upstream, which
// then has to be checked after CheckDelay.
func (l *LostAttempts) Add(incarnation Incarnation, a Attempt) bool {
	if l.attempts == nil {
		l.attempts = make(map[Incarnation][]Attempt)
	}
	known, pending := l.attempts[incarnation]
	if len(known) < MaxFingerprints {
		l.attempts[incarnation] = append(known, a)
	}
	return !pending
}

// Take removes and returns the attempts that broke off at an upstream, once it was
// checked.
func (l *LostAttempts) Take(incarnation Incarnation) []Attempt {
	attempts := l.attempts[incarnation]
	delete(l.attempts, incarnation)
	return attempts
}

// Len returns the number of upstreams that are still to be checked.
func (l *LostAttempts) Len() int { return len(l.attempts) }

// NewCrash returns the crash of an upstream with the requests of those attempts that were not
// served recently, and with the parts that were not served since they were sent. Beyond the bound
// it lists the parts that suspected reports first, then some of each request.
func NewCrash(incarnation Incarnation, attempts []Attempt, served *Served, suspected func(part Fingerprint) bool, now time.Time) Crash {
	crash := Crash{Incarnation: incarnation}
	var parts [][]Fingerprint
	for _, a := range attempts {
		if !served.Requests.Has(a.Fingerprint, now) && !slices.Contains(crash.Fingerprints, a.Fingerprint) {
			crash.Fingerprints = append(crash.Fingerprints, a.Fingerprint)
		}
		unproven := slices.DeleteFunc(slices.Clone(a.Parts), func(f Fingerprint) bool { return served.Parts.HasSince(f, a.Sent, now) })
		for _, f := range unproven {
			if suspected(f) {
				crash.addPart(f)
			}
		}
		parts = append(parts, unproven)
	}
	crash.addInTurn(parts)
	for _, f := range crash.Parts {
		if served.Parts.Has(f, now) {
			crash.ServedBefore = append(crash.ServedBefore, f)
		}
	}
	return crash
}

// addPart adds a part unless it is listed or the list is full.
func (c *Crash) addPart(f Fingerprint) {
	if len(c.Parts) < MaxParts && !slices.Contains(c.Parts, f) {
		c.Parts = append(c.Parts, f)
	}
}

// addInTurn adds parts of several requests, one of each in turn, from a random one on: a part that
// is left out of one crash is listed at another.
func (c *Crash) addInTurn(requests [][]Fingerprint) {
	longest := 0
	for i, parts := range requests {
		longest = max(longest, len(parts))
		if len(parts) > 0 {
			first := rand.IntN(len(parts))
			requests[i] = slices.Concat(parts[first:], parts[:first])
		}
	}
	for i := 0; i < longest && len(c.Parts) < MaxParts; i++ {
		for _, parts := range requests {
			if i < len(parts) {
				c.addPart(parts[i])
			}
		}
	}
}
