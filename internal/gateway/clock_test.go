package gateway

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
)

// Guards against a fetch by an old word on the stores that is permitted from a new reading
// of the upstreams' clock, as at an entry whose machine was suspended: parts are freed once
// fetches by the word have ended.
func TestTheUpstreamsClockIsAsOldAsTheShelves(t *testing.T) {
	g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	s := g.state
	clock := func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.upstreamsClock(s.clockAt)
	}
	later := testAnswer().Clock + 5000
	g.ApplyAnswer(&steward.WatchAnswer{Term: 1, EntryCount: 1, Clock: later}, time.Now())
	if got := clock(); got != testAnswer().Clock {
		t.Errorf("the clock shows %d by an answer without shelves, %d with the last ones", got, testAnswer().Clock)
	}
	again := testAnswer()
	again.Clock = later
	g.ApplyAnswer(again, time.Now())
	if got := clock(); got != later {
		t.Errorf("the clock shows %d, told with the shelves %d", got, later)
	}
}
