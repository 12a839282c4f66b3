package quarantine

import "time"

const (
	// servedRetention is how long a request that was served is not considered the
	// cause of a crash. A request that many callers send is in flight wherever an
	// upstream crashes.
	servedRetention = 10 * time.Second
	// maxServed bounds the requests remembered as served, and the parts, each in two scopes.
	maxServed = 8192
)

// Served is what one process has lately seen served: requests, and parts of their prompts.
type Served struct{ Requests, Parts RecentlyServed }

// Record records that a request with these parts was served completely.
func (s *Served) Record(request Fingerprint, parts []Fingerprint, now time.Time) {
	s.Requests.Record(request, now)
	for _, f := range parts {
		s.Parts.Record(f, now)
	}
}

// RecentlyServed is the set of requests that were served within the last ten seconds, and
// some that were served earlier, in two generations. The zero value is ready to use;
// it is not safe for concurrent use.
type RecentlyServed struct {
	current, previous map[Fingerprint]time.Time
	rotatedAt         time.Time
}

// Record adds a request that was served completely.
func (s *RecentlyServed) Record(f Fingerprint, now time.Time) {
	s.rotate(now)
	s.current[f] = now
}

// Has reports whether a request was served recently.
func (s *RecentlyServed) Has(f Fingerprint, now time.Time) bool {
	s.rotate(now)
	return !s.last(f).IsZero()
}

// HasSince reports whether a request was served after a time, as far as that is remembered.
func (s *RecentlyServed) HasSince(f Fingerprint, since, now time.Time) bool {
	s.rotate(now)
	return s.last(f).After(since)
}

// last returns when a request was last served, zero if that is not remembered.
func (s *RecentlyServed) last(f Fingerprint) time.Time {
	if at, found := s.current[f]; found {
		return at
	}
	return s.previous[f]
}

func (s *RecentlyServed) rotate(now time.Time) {
	age := now.Sub(s.rotatedAt)
	if age < servedRetention && len(s.current) < maxServed/2 {
		return
	}
	s.previous = s.current
	if age >= 2*servedRetention {
		s.previous = nil
	}
	s.current, s.rotatedAt = make(map[Fingerprint]time.Time), now
}
