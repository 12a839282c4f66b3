package retry

import (
	"slices"
	"testing"
	"time"
)

// A burst has forty callers refused within 0.2 s, while a request of their sort is
// sent every 100 ms. Told the same time, all would return in one moment and most be
// refused for good, for callers come back once. They have to come one after the
// other, and those for whom no time is left have to share the times there are.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	var s Schedule
	now := time.Unix(100, 0)
	for range 100 {
		s.Sent(now)
		now = now.Add(100 * time.Millisecond)
	}
	const least, most = 250 * time.Millisecond, 3 * time.Second
	var returns []time.Time
	for i := range 40 {
		at := now.Add(time.Duration(i) * 5 * time.Millisecond)
		after := s.RetryAfter(at, least, most, float64(i%10)/10)
		if after < least || after > most {
			t.Fatalf("caller %d is told %v", i, after)
		}
		returns = append(returns, at.Add(after))
	}
	for i := range 12 {
		if gap := returns[i+1].Sub(returns[i]); gap < 190*time.Millisecond || gap > 210*time.Millisecond {
			t.Errorf("callers %d and %d return %v apart, want twice the 100 ms between sends", i, i+1, gap)
		}
	}
	slices.SortFunc(returns, time.Time.Compare)
	for i := range len(returns) - 8 {
		if returns[i+8].Sub(returns[i]) < 250*time.Millisecond {
			t.Fatalf("eight callers return within %v", returns[i+8].Sub(returns[i]))
		}
	}
}

func TestScheduleIsFreeAgainAfterAPause(t *testing.T) {
	var s Schedule
	now := time.Unix(100, 0)
	for range 5 {
		s.RetryAfter(now, 250*time.Millisecond, 5*time.Second, 0)
	}
	if after := s.RetryAfter(now.Add(10*time.Second), 250*time.Millisecond, 5*time.Second, 0); after != 250*time.Millisecond {
		t.Errorf("told %v long after the burst", after)
	}
	if after := s.RetryAfter(now, 250*time.Millisecond, 100*time.Millisecond, 0.5); after != 250*time.Millisecond {
		t.Errorf("told %v where the least is beyond the most", after)
	}
	s.Sent(now)
	s.Sent(now.Add(time.Hour))
	if s.Gap() > startGap+longestGap/10 {
		t.Errorf("a pause counts as a gap of %v", s.Gap())
	}
}
