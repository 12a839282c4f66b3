package quarantine

import "time"

const (
	// servedRetention is how long a request that was served is not considered the
	// cause of a crash. A request that many callers send is in flight wherever an
	// upstream crashes.
	servedRetention = 10 * time.Second
	// maxServed bounds the requests remembered as served.
	maxServed = 4096
)

// RecentlyServed is the set of requests that were served within the last ten seconds, and
// some that were served earlier, in two generations. The zero value is ready to use;
// it is not safe for concurrent use.
type RecentlyServed struct {
	current, previous map[Fingerprint]bool
	rotatedAt         time.Time
}

// Record adds a request that was served completely.
func (s *RecentlyServed) Record(f Fingerprint, now time.Time) {
	s.rotate(now)
	s.current[f] = true
}

// Has reports whether a request was served recently.
func (s *RecentlyServed) Has(f Fingerprint, now time.Time) bool {
	s.rotate(now)
	return s.current[f] || s.previous[f]
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
	s.current, s.rotatedAt = make(map[Fingerprint]bool), now
}
