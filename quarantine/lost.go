package quarantine

import (
	"slices"
	"time"
)

const (
	// LookAfter is how long after a first attempt broke off at an upstream the others
	// are waited for: all connections of a process end with it, but are noticed one by
	// one.
	LookAfter = 10 * time.Millisecond
	// LookTimeout bounds the question whether the upstream has ended.
	LookTimeout = 500 * time.Millisecond
)

// Attempt is one attempt that broke off.
type Attempt struct {
	Request string
	Print   Fingerprint
}

// Lost are the attempts that broke off at upstreams, until it is known whether these
// ended or only the connections did. The zero value is ready; it is not safe for
// concurrent use.
type Lost struct{ attempts map[Incarnation][]Attempt }

// Add notes an attempt and reports whether it is the first at its upstream, which is
// then to be looked at after LookAfter.
func (l *Lost) Add(life Incarnation, a Attempt) bool {
	if l.attempts == nil {
		l.attempts = make(map[Incarnation][]Attempt)
	}
	known, waiting := l.attempts[life]
	if len(known) < MaxFingerprints {
		l.attempts[life] = append(known, a)
	}
	return !waiting
}

// Take returns the attempts that broke off at an upstream, once it was looked at.
func (l *Lost) Take(life Incarnation) []Attempt {
	attempts := l.attempts[life]
	delete(l.attempts, life)
	return attempts
}

// Len is the number of upstreams that are to be looked at.
func (l *Lost) Len() int { return len(l.attempts) }

// Blame is an upstream's end with those of the attempts whose requests were not served
// lately.
func Blame(life Incarnation, attempts []Attempt, served *Served, now time.Time) Crash {
	end := Crash{Life: life}
	for _, a := range attempts {
		if !served.Has(a.Print, now) && !slices.Contains(end.Prints, a.Print) {
			end.Prints = append(end.Prints, a.Print)
		}
	}
	return end
}
