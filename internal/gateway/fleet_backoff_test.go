package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ratelimit"
)

const (
	// maxBackOffRequests is how many requests an upstream may get from an entry between
	// backOffSlack after it has asked that entry to back off and the end of the time.
	maxBackOffRequests, backOffSlack = 2, 500 * time.Millisecond
)

// sheddingRunners models runners that answer requests with 503 and a time.
type sheddingRunners struct {
	begin, end time.Time
	runners    map[string]bool
	// share is the share of the requests that they refuse, wait the time that they name.
	share float64
	wait  time.Duration

	mu     sync.Mutex
	random *rand.Rand
	// asked and arrivals hold, by entry and runner, the times of the answers with a time and
	// of all requests.
	asked, arrivals map[[2]string][]time.Time
}

// refuse counts a request, and returns the answer to one that is refused, else nil.
func (s *sheddingRunners) refuse(entry, runner string) *Answer {
	now := time.Now()
	if s == nil || !s.runners[runner] {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := [2]string{entry, runner}
	s.arrivals[key] = append(s.arrivals[key], now)
	if now.Before(s.begin) || !now.Before(s.end) || s.random.Float64() >= s.share {
		return nil
	}
	s.asked[key] = append(s.asked[key], now)
	a := refusal(Full)
	a.BackOff = s.wait
	return a
}

// most returns the largest number of requests that reached a runner from an entry in a time in
// which it had asked for none.
func (s *sheddingRunners) most() int {
	most := 0
	for key, asked := range s.asked {
		for _, at := range asked {
			n := 0
			for _, arrival := range s.arrivals[key] {
				if since := arrival.Sub(at); since > backOffSlack && since < s.wait {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// Guards against entries that go on sending requests to an upstream that has asked them to back
// off.
func TestUpstreamsThatAskForBackOffGetNoRequests(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		entries, runners int
		share            float64
		wait             time.Duration
	}{{7, 3, 1, 3 * time.Second}, {7, 3, 0.9, 3 * time.Second}, {7, 9, 0.7, 1500 * time.Millisecond}, {64, 3, 1, 3 * time.Second}} {
		t.Run(fmt.Sprintf("%d entries, %d of 9 runners", test.entries, test.runners), func(t *testing.T) {
			t.Parallel()
			s := &sheddingRunners{runners: make(map[string]bool), share: test.share, wait: test.wait, random: rand.New(rand.NewPCG(1, 2)),
				asked: make(map[[2]string][]time.Time), arrivals: make(map[[2]string][]time.Time)}
			synctest.Test(t, func(t *testing.T) {
				f := newModelFleet(t, migrationFleet(test.entries))
				for _, runner := range slices.SortedFunc(maps.Keys(f.runners), cmp.Compare[string])[:test.runners] {
					s.runners[runner] = true
				}
				s.begin = time.Now().Add(2 * time.Second)
				s.end = s.begin.Add(5 * time.Second)
				f.shedding = s
				t.Log(f.run())
			})
			if most := s.most(); most > maxBackOffRequests {
				t.Errorf("a runner that had asked an entry to back off for %v got %d requests from it in that time", test.wait, most)
			}
		})
	}
}

// Guards against upstreams that get more than they bear where some ask for back-off, others name
// limits and all are brittle, since each of the three moves load to the others.
func TestBackOffHoldsBesideLimitsAndBrittleUpstreams(t *testing.T) {
	t.Parallel()
	s := &sheddingRunners{runners: make(map[string]bool), share: 0.9, wait: 3 * time.Second, random: rand.New(rand.NewPCG(3, 4)),
		asked: make(map[[2]string][]time.Time), arrivals: make(map[[2]string][]time.Time)}
	l := &namedLimits{perSecond: make(map[string]float64), told: make(map[[2]string]time.Time), arrivals: make(map[string][]time.Time),
		counted: make(map[string]int), known: ratelimit.NewObservations(), rates: make(map[string]float64)}
	b := &brittleRunners{perSecond: 3, waiting: 1, rejected: make(map[*modelRunner][]time.Time), down: make(map[*modelRunner]time.Time)}
	shape := migrationFleet(7)
	shape.slots = 12
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleet(t, shape)
		for i, runner := range slices.SortedFunc(maps.Keys(f.runners), cmp.Compare[string]) {
			switch {
			case i < 3:
				s.runners[runner] = true
			case i < 5:
				l.perSecond[runner] = 6
			}
		}
		begin := time.Now().Add(time.Second)
		s.begin, s.end = begin, begin.Add(8*time.Second)
		l.begin, l.divider, b.begin = begin, ratelimit.NewDivider(time.Now().Add(-time.Minute)), begin
		f.shedding, f.limits, f.brittle = s, l, b
		t.Log(f.run())
	})
	l.check(t)
	if most := s.most(); most > maxBackOffRequests {
		t.Errorf("a runner that had asked an entry to back off got %d requests from it in that time", most)
	}
	if bound := 2 + shape.runners/10; b.falls > bound {
		t.Errorf("%d falls, bound %d", b.falls, bound)
	}
}
