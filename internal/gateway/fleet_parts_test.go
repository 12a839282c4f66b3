package gateway

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

var partSeeds = flag.Int("parts.seeds", 1, "seeds of each load with parts that crash runners")

// partCase is a load with parts that crash runners.
type partCase struct {
	entries, runners int
	// bad are the parts that crash runners from badFrom to badUntil, and call sends one request
	// with them.
	bad  []string
	call func(f *partFleet, n int)
	// coldFor is the time from a runner's start for which it refuses most requests, beginAfter the longest
	// further time after which it begins one, runnerDown that from a crash to the next process if it is
	// not the usual one.
	coldFor, beginAfter, runnerDown time.Duration
	// steady indicates that all runners take the same time to begin a request.
	steady bool
	// countCrashes indicates that the part is to be known after a number of crashes, not of requests that
	// met one, which is sooner: in bursts many meet the same.
	countCrashes bool
	// teams send the requests with the parts; nil if callers need no key.
	teams []string
	// sound sends one request that crashes nothing, with the first part or the key of the others.
	sound func(f *partFleet, n int)
	// before happens from the start of the load until then, beside meanwhile.
	before, beside func(f *partFleet)
	// unstable is the time until which beside keeps entries or control hosts out of touch.
	unstable time.Duration
}

const (
	// badFrom, badUntil and partEnd are times since the start of the load.
	badFrom, badUntil, partEnd = 2 * time.Second, 22 * time.Second, 26 * time.Second
	// minAttempts is how many attempts must be compared.
	minAttempts = 20
	// badInterval and soundInterval are the times between two requests.
	badInterval, soundInterval = 150 * time.Millisecond, 15 * time.Millisecond
)

// ordinary sends a request with the first part of all and one of eight second parts.
func ordinary(f *partFleet, n int) { f.callSound("f1f1", fmt.Sprint("a", n%8)) }

// partCases are the loads beside which a part that crashes runners must be found.
var partCases = map[string]partCase{
	"second of three parts": {bad: []string{"bad0"}, call: func(f *partFleet, _ int) { f.call("", "f1f1", "bad0") }},
	"any place, other letters, twice": {bad: []string{"bad0"}, call: func(f *partFleet, n int) {
		f.call("", [][]string{{"f1f1", "bad0"}, {"f1f1", "a1", "BAD0"}, {"bad0", "a2"}, {"f1f1", "bad0", "a3", "bad0"}}[n%4]...)
	}},
	"the first part, of requests with the same key": {bad: []string{"bad0"}, call: func(f *partFleet, n int) { f.call("", "bad0", fmt.Sprint("a", n%8)) }},
	"always with a rare part that is sound": {bad: []string{"bad0"}, call: func(f *partFleet, _ int) { f.call("", "f1f1", "bad0", "0ddd") },
		beside: func(f *partFleet) {
			time.Sleep(10 * time.Second)
			f.every(time.Second, 10*time.Second, func(int) { f.callSound("f1f1", "0ddd") })
		}},
	"always with the same parts, more than can be quarantined": {bad: []string{"bad0"}, call: func(f *partFleet, _ int) {
		f.call("", slices.Concat(longPrompt(0, 100, ""), []string{"bad0"})...)
	}},
	"before runners that refuse most requests after a start": {bad: []string{"bad0"}, coldFor: 4 * time.Second, call: func(f *partFleet, _ int) {
		for range 4 {
			f.tasks.Go(func() { f.call("", "f1f1", "bad0") })
		}
	}},
	"two parts at once": {bad: []string{"bad0", "bad1"}, call: func(f *partFleet, n int) {
		f.call("", [][]string{{"f1f1", "bad0"}, {"f1f1", "bad1"}, {"f1f1", "a1", "bad1"}, {"bad0", "a2"}, {"f1f1", "bad1", "bad0"}}[n%5]...)
	}},
	"beside requests that crash runners by themselves": {bad: []string{"bad0"}, call: func(f *partFleet, _ int) { f.call("", "f1f1", "bad0") },
		beside: func(f *partFleet) {
			f.every(400*time.Millisecond, 16*time.Second, func(int) { f.call(crashingBody, "f1f1", "a1") })
		}},
	"beside runners that crash by themselves": {bad: []string{"bad0"}, call: func(f *partFleet, _ int) { f.call("", "f1f1", "bad0") },
		beside: func(f *partFleet) {
			for i := range 6 {
				time.Sleep(1500 * time.Millisecond)
				f.crash(runnerAddress(i), runnerAddress((i+3)%9), runnerAddress((i+5)%9))
			}
		}},
	"over killed entries": {bad: []string{"bad0"}, call: func(f *partFleet, _ int) { f.call("", "f1f1", "bad0") },
		beside: func(f *partFleet) {
			for i := range 8 {
				time.Sleep(500 * time.Millisecond)
				f.tasks.Go(func() { f.killEntry(i%7, 400*time.Millisecond) })
			}
		}},
	"over killed control hosts": {bad: []string{"bad0"}, unstable: 7 * time.Second, call: func(f *partFleet, _ int) { f.call("", "f1f1", "bad0") },
		beside: func(f *partFleet) {
			time.Sleep(200 * time.Millisecond)
			f.setControlsDown(true)
			time.Sleep(4 * time.Second)
			f.setControlsDown(false)
		}},
	"control hosts killed once it is found": {bad: []string{"bad0"}, call: func(f *partFleet, _ int) { f.call("", "f1f1", "bad0") },
		beside: func(f *partFleet) {
			for range 4 {
				time.Sleep(4 * time.Second)
				f.setControlsDown(true)
				time.Sleep(500 * time.Millisecond)
				f.setControlsDown(false)
			}
		}},
	"served until it crashes runners": {bad: []string{"bad0"}, call: func(f *partFleet, _ int) { f.call("", "f1f1", "bad0") },
		before: func(f *partFleet) {
			f.every(40*time.Millisecond, badFrom-100*time.Millisecond, func(int) { f.callSound("f1f1", "bad0") })
		}},
	"at entries that reach no runner": {bad: []string{"bad0"}, call: func(f *partFleet, _ int) { f.call("", "f1f1", "bad0") },
		beside: func(f *partFleet) { f.setUnreached(0, 1, 2) }},
	"long prompts": {bad: []string{"bad0"}, call: func(f *partFleet, n int) { f.call("", longPrompt(n, 40, "bad0")...) },
		sound: func(f *partFleet, n int) { f.callSound(longPrompt(n, 40, "")...) }},
	"few requests": {bad: []string{"bad0"}, call: func(f *partFleet, n int) {
		if n%6 == 0 {
			f.call("", "f1f1", "bad0")
		}
	}, sound: func(f *partFleet, n int) {
		if n%10 == 0 {
			ordinary(f, n/10)
		}
	}},
	"many entries": {entries: 300, runners: 100, bad: []string{"bad0"}, call: func(f *partFleet, _ int) { f.call("", "f1f1", "bad0") }},
}

// longPrompt returns the first part of all prompts and many parts of its own, with one among them.
func longPrompt(n, parts int, among string) []string {
	list := []string{"f1f1"}
	for i := range parts {
		list = append(list, fmt.Sprintf("%06x%02x", n, i))
	}
	if among != "" {
		list[1+n%parts] = among
	}
	return list
}

// Guards against parts of prompts that crash runner after runner beside other load and faults, and
// against requests that crash nothing being refused for it.
func TestPartsThatCrashRunnersAreFound(t *testing.T) { runPartCases(t, partCases) }

// runPartCases runs loads with some seeds each.
func runPartCases(t *testing.T, cases map[string]partCase) {
	t.Parallel()
	for name, c := range cases {
		for seed := range *partSeeds {
			t.Run(fmt.Sprintf("%s %d", name, seed+1), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { c.run(t, uint64(seed+1)) })
			})
		}
	}
}

func (c partCase) run(t *testing.T, seed uint64) {
	f := newPartFleet(t, max(c.entries, 7), max(c.runners, 9), seed)
	defer f.stop()
	time.Sleep(time.Second + c.coldFor)
	f.steady, f.coldFor, f.beginAfter, f.runnerDown = c.steady, c.coldFor, c.beginAfter, max(c.runnerDown, partRunnerDown)
	start := time.Now()
	sound := c.sound
	if sound == nil {
		sound = ordinary
	}
	f.tasks.Go(func() { f.every(soundInterval, partEnd, func(n int) { sound(f, n) }) })
	if c.before != nil {
		f.tasks.Go(func() { c.before(f) })
	}
	time.Sleep(badFrom)
	f.setBad(true, c.bad...)
	if c.beside != nil {
		f.tasks.Go(func() { c.beside(f) })
	}
	f.every(badInterval, badUntil-badFrom, func(n int) { c.call(f, n) })
	time.Sleep(time.Until(start.Add(partEnd)))
	before, servedBefore := f.soundBetween(start, start.Add(badFrom-200*time.Millisecond))
	last := time.Time{}
	for _, id := range append(c.bad, crashingBody) {
		crashes := f.met
		if c.countCrashes {
			crashes = f.crashes
		}
		known, late := f.lateArrivals(id, crashes, start.Add(c.unstable))
		t.Logf("%s: %d crashes, %d arrivals later than %v after the first that count", id, len(f.crashes[id]), late, partSync)
		if late > partSends {
			t.Errorf("%s: requests reached runners %d times later than %v after they were to be known, want at most %d", id, late, partSync, partSends)
		}
		if known.After(last) {
			last = known
		}
	}
	after, served := f.soundBetween(last.Add(2*partSync), start.Add(badUntil))
	f.logReports(t)
	t.Logf("other requests served at the first attempt: %d of %d before, %d of %d after", servedBefore, before, served, after)
	if min(before, after) >= minAttempts && float64(served)*float64(before) < partSoundShare*float64(servedBefore)*float64(after) {
		t.Errorf("%d of %d other requests were served at the first attempt, before %d of %d", served, after, servedBefore, before)
	}
	blamed, late := f.blamedAttempts(last.Add(partSync))
	t.Logf("%d other requests were refused because of a part, %d of them later than %v after it was to be known", blamed, late, partSync)
	if late > 0 {
		t.Errorf("%d other requests were refused because of a part later than %v after it was to be known", late, partSync)
	}
	c.mend(t, f)
}

// lateArrivals returns the time at which a part, or a request, was to be known, and the number of
// arrivals later than partSync after that.
func (f *partFleet) lateArrivals(id string, crashedAt map[string][]time.Time, stable time.Time) (known time.Time, late int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashes := partCrashes
	if id == crashingBody {
		crashes = 3
	}
	if len(crashedAt[id]) < crashes {
		return time.Time{}, 0
	}
	known = crashedAt[id][crashes-1]
	if known.Before(stable) {
		known = stable
	}
	for _, at := range f.arrivals[id] {
		if at.After(known.Add(partSync)) {
			late++
		}
	}
	return known, late
}

// logReports logs how much the entries reported.
func (f *partFleet) logReports(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("%d reports of %d bytes in all", f.reports, f.reportBytes)
}

// setBad sets whether requests with these parts crash runners.
func (f *partFleet) setBad(bad bool, parts ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, part := range parts {
		f.bad[part] = bad
	}
}

// mend checks that, once the parts crash nothing any more, requests with them are served again within
// the time to the next trial, and that no part is left quarantined.
func (c partCase) mend(t *testing.T, f *partFleet) {
	f.setBad(false, c.bad...)
	served := make(map[string]int)
	teams, ids := append([]string{""}, c.teams...), append([]string{"f1f1", "0ddd", "a1"}, c.bad...)
	f.every(500*time.Millisecond, 150*time.Second, func(n int) {
		c.call(f, n)
		for _, team := range teams {
			for _, id := range ids {
				if f.callAs(team, "", id) {
					f.mu.Lock()
					served[id+" of team "+team]++
					f.mu.Unlock()
				}
			}
		}
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, team := range teams {
		for _, id := range ids {
			if served[id+" of team "+team] == 0 {
				t.Errorf("requests with %s of team %q are not served again", id, team)
			}
		}
	}
	if left := f.tracker.QuarantinedParts(); len(left) > 0 {
		t.Errorf("%d parts are still quarantined", len(left))
	}
}

// Guards against parts that are quarantined because runners crash by themselves: alone, often, and
// several at once.
func TestRunnersThatCrashByThemselvesBlameNoPart(t *testing.T) {
	t.Parallel()
	for seed := range *partSeeds {
		synctest.Test(t, func(t *testing.T) {
			f := newPartFleet(t, 7, 9, uint64(seed+1))
			defer f.stop()
			time.Sleep(time.Second)
			f.tasks.Go(func() {
				f.every(soundInterval, 20*time.Second, func(n int) { f.callSound("f1f1", fmt.Sprint("a", n%60), fmt.Sprint("b", n%7)) })
			})
			f.tasks.Go(func() {
				for i := range 30 {
					time.Sleep(600 * time.Millisecond)
					f.crash(runnerAddress(i % 9))
				}
			})
			for i := range 6 {
				time.Sleep(3 * time.Second)
				f.crash(runnerAddress(i), runnerAddress((i+2)%9), runnerAddress((i+4)%9), runnerAddress((i+6)%9))
				f.mu.Lock()
				if parts := f.tracker.QuarantinedParts(); len(parts) > 0 {
					t.Errorf("seed %d: %d parts are quarantined", seed+1, len(parts))
				}
				f.mu.Unlock()
			}
		})
	}
}
