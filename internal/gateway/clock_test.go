package gateway

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
)

// Guards against a fetch that is based on old inventories but permitted by a new reading of
// the upstreams' clock, as at an entry whose machine was suspended: parts are freed once the
// fetches permitted by those inventories have ended.
func TestUpstreamsClockIsAsOldAsInventories(t *testing.T) {
	g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	s := g.state
	clock := func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.upstreamsClock(s.clockAt)
	}
	laterClock := testAnswer().Clock + 5000
	g.ApplyAnswer(&steward.WatchAnswer{Term: 1, EntryCount: 1, Clock: laterClock}, time.Now())
	if got := clock(); got != testAnswer().Clock {
		t.Errorf("the clock shows %d after an answer without inventories, %d with the last inventories", got, testAnswer().Clock)
	}
	again := testAnswer()
	again.Clock = laterClock
	g.ApplyAnswer(again, time.Now())
	if got := clock(); got != laterClock {
		t.Errorf("the clock shows %d, received with the inventories %d", got, laterClock)
	}
}
