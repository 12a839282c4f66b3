package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/ratelimit"
)

const (
	// limitWindow is the window in which the requests to a limited upstream are counted.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack bound these requests: limitFactor times what the limit allows,
	// and limitSlack more.
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is the time after an upstream first names its limit from which the bound holds,
	// limitKnown the time after which an entry that has received a limit counts.
	limitGrace = 3 * time.Second
	limitKnown = 500 * time.Millisecond
)

// namedLimits models runners that name a limit in their answers.
type namedLimits struct {
	// begin is the time from which the limits of perSecond are named.
	begin     time.Time
	perSecond map[string]float64

	mu sync.Mutex
	// told holds, by runner and entry, the time of the first answer with a limit.
	told map[[2]string]time.Time
	// arrivals holds the requests of entries that know of the limit, counted all requests since
	// begin, by runner.
	arrivals map[string][]time.Time
	counted  map[string]int
	// known and divider are the leader's.
	known   *ratelimit.Observations
	divider *ratelimit.Divider
	rates   map[string]float64
}

// exchange models the control hosts: it records what an entry reports and adds the list of limits
// and the entry's shares to the answer.
func (l *namedLimits) exchange(request *steward.WatchRequest, answer *steward.WatchAnswer) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, o := range request.Limits {
		l.known.Record(o.Upstream, o.StartedMs, o.Limit, now.Add(-o.Age), now)
	}
	l.rates[request.Entry.Host] = float64(request.Entry.Rate)
	var list []ratelimit.Entry
	for host, rate := range l.rates {
		list = append(list, ratelimit.Entry{Host: host, Rate: rate})
	}
	l.divider.Update(l.known.List(now), list, now)
	shares, revision := l.divider.Shares()
	answer.GrantsRevision, answer.Shares = revision, ratelimit.SharesFor(shares, request.Entry.Host)
	answer.LimitsRevision, answer.Limits = l.known.Revision()+1, l.known.List(now)
}

// arrive counts a request.
func (l *namedLimits) arrive(runner, entry string) {
	if l == nil || l.perSecond[runner] == 0 || time.Now().Before(l.begin) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counted[runner]++
	if at, known := l.told[[2]string{runner, entry}]; known && time.Since(at) >= limitKnown && time.Since(l.begin) >= limitGrace {
		l.arrivals[runner] = append(l.arrivals[runner], time.Now())
	}
}

// named returns what a runner states in an answer to an entry.
func (l *namedLimits) named(runner, entry string) *ratelimit.Limit {
	if l == nil || l.perSecond[runner] == 0 || time.Now().Before(l.begin) {
		return &ratelimit.Limit{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := [2]string{runner, entry}
	if _, known := l.told[key]; !known {
		l.told[key] = time.Now()
	}
	return &ratelimit.Limit{Limited: true, PerSecond: l.perSecond[runner]}
}

// check compares the requests in each window with the bound.
func (l *namedLimits) check(t *testing.T) {
	t.Helper()
	for _, runner := range slices.Sorted(maps.Keys(l.perSecond)) {
		list, from, most := l.arrivals[runner], 0, 0
		for to, at := range list {
			for at.Sub(list[from]) >= limitWindow {
				from++
			}
			most = max(most, to-from+1)
		}
		bound := limitFactor*l.perSecond[runner]*limitWindow.Seconds() + limitSlack
		t.Logf("%s: limit %.1f a second, at most %d requests in %v, bound %.0f; %d since it was named", runner, l.perSecond[runner], most, limitWindow, bound, l.counted[runner])
		if float64(most) > bound {
			t.Errorf("%s: an upstream with a limit of %.1f a second got %d requests in %v, bound %.0f", runner, l.perSecond[runner], most, limitWindow, bound)
		}
	}
}

// limitedFleet runs a fleet of which some runners name the given limits from one second on.
func limitedFleet(t *testing.T, shape fleetShape, perSecond ...float64) (*namedLimits, *fleetResult) {
	t.Helper()
	l := &namedLimits{
		perSecond: make(map[string]float64), told: make(map[[2]string]time.Time),
		arrivals: make(map[string][]time.Time), counted: make(map[string]int),
		known: ratelimit.NewObservations(), rates: make(map[string]float64),
	}
	var result *fleetResult
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleet(t, shape)
		for i, runner := range slices.SortedFunc(maps.Keys(f.runners), cmp.Compare[string]) {
			if i < len(perSecond) {
				l.perSecond[runner] = perSecond[i]
			}
		}
		l.begin, l.divider = time.Now().Add(time.Second), ratelimit.NewDivider(time.Now().Add(-time.Minute))
		f.limits = l
		result = f.run()
	})
	return l, result
}

// migrationFleet has 9 runners with many slots, and as many short prompts a second as they
// serve well.
func migrationFleet(entries int) fleetShape {
	return fleetShape{
		zones: 3, entries: entries, runners: 9, slots: 32, queue: 16, memory: 111646, prefillPerMs: 157,
		fastStores: 3, slowStores: 2, fastStoreTokens: 321577, slowStoreTokens: 1534801,
		longPerS: 38, shortPerS: 263, longParts: 300, shortParts: 2000,
		answerInterval: 150 * time.Millisecond, answerLag: 50 * time.Millisecond, length: 10 * time.Second, stored: true,
	}
}

// Guards against entries that go on sending an upstream more requests than the limit that it
// names allows all of them together.
func TestLimitedUpstreamsGetNoMoreThanTheyName(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{7, 64} {
		limits, result := limitedFleet(t, migrationFleet(entries), 5.8, 6.7)
		limits.check(t)
		t.Logf("%d entries: %v", entries, result)
	}
}
