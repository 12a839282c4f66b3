package retry

import (
	"slices"
	"testing"
	"time"
)

// A burst has 40 callers refused within 0.2 s, while similar requests are sent every
// 100 ms. With one common retry time all would retry together, and most would be
// refused permanently because callers retry once. Their retries must be spaced, and
// callers for whom no free time is left must share the assigned ones.
func TestScheduleSpacesRetries(t *testing.T) {
	var s Schedule
	now := time.Unix(100, 0)
	for range 100 {
		s.Sent(now)
		now = now.Add(100 * time.Millisecond)
	}
	const least, most = 250 * time.Millisecond, 3 * time.Second
	var retries []time.Time
	for i := range 40 {
		at := now.Add(time.Duration(i) * 5 * time.Millisecond)
		after := s.RetryAfter(at, least, most, float64(i%10)/10)
		if after < least || after > most {
			t.Fatalf("caller %d gets %v, want a time between least and most", i, after)
		}
		retries = append(retries, at.Add(after))
	}
	for i := range 12 {
		if gap := retries[i+1].Sub(retries[i]); gap < 190*time.Millisecond || gap > 210*time.Millisecond {
			t.Errorf("callers %d and %d retry %v apart, want twice the 100 ms between sends", i, i+1, gap)
		}
	}
	slices.SortFunc(retries, time.Time.Compare)
	for i := range len(retries) - 8 {
		if retries[i+8].Sub(retries[i]) < 250*time.Millisecond {
			t.Fatalf("eight callers retry within %v", retries[i+8].Sub(retries[i]))
		}
	}
}

func TestScheduleRecoversAfterPause(t *testing.T) {
	var s Schedule
	now := time.Unix(100, 0)
	for range 5 {
		s.RetryAfter(now, 250*time.Millisecond, 5*time.Second, 0)
	}
	if after := s.RetryAfter(now.Add(10*time.Second), 250*time.Millisecond, 5*time.Second, 0); after != 250*time.Millisecond {
		t.Errorf("retry after %v long after the burst, want 250 ms", after)
	}
	if after := s.RetryAfter(now, 250*time.Millisecond, 100*time.Millisecond, 0.5); after != 250*time.Millisecond {
		t.Errorf("retry after %v with least above most, want least", after)
	}
	s.Sent(now)
	s.Sent(now.Add(time.Hour))
	if s.Gap() > initialGap+maxGap/10 {
		t.Errorf("after a pause of one hour the mean gap is %v", s.Gap())
	}
}
