package steward

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/quarantine"
)

// reportPartCrashes reports crashes under one part at this many seconds before now, each under
// another request.
func (e *reportingEntry) reportPartCrashes(ctx context.Context, part quarantine.Fingerprint, name string, crashes int) {
	var r Report
	for i := range crashes {
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Incarnation: quarantine.Incarnation{Upstream: fmt.Sprint(name, "-", i)}, Fingerprints: []quarantine.Fingerprint{{9, byte(i)}},
			Parts: []quarantine.Fingerprint{part}, Age: time.Duration(crashes-i) * time.Second,
		})
	}
	e.report(ctx, &r)
}

// Guards against a quarantined part that crashes an upstream for each entry, or for each leader, that
// tries it, and against upstreams that crash at the same time being blamed on a part.
func TestOneTrialAtATime(t *testing.T) {
	f := newTestGroup(t)
	f.startThree()
	f.put(1, "one")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var entries []*reportingEntry
	for i := range 4 {
		entries = append(entries, f.startReporting(ctx, fmt.Sprint("entry-", i)))
	}
	bad, warm, cold := quarantine.Fingerprint{1}, quarantine.Fingerprint{2}, quarantine.Fingerprint{3}
	f.await("an entry reports", func() bool { return entries[0].follower.reportHost.Load() != nil })
	// A part that is served all the time was in flight at all upstreams of the rack, another at five of eight.
	rack := Report{}
	for i := range 8 {
		c := quarantine.Crash{Incarnation: quarantine.Incarnation{Upstream: fmt.Sprint("rack-", i)}, Fingerprints: []quarantine.Fingerprint{{8, byte(i)}},
			Parts: []quarantine.Fingerprint{warm}, ServedBefore: []quarantine.Fingerprint{warm}, Age: time.Duration(i) * time.Millisecond}
		if i < 5 {
			c.Parts = append(c.Parts, cold)
		}
		rack.Crashes = append(rack.Crashes, c)
	}
	entries[0].report(ctx, &rack)
	entries[0].reportPartCrashes(ctx, bad, "runner", quarantine.PartThreshold)
	quarantined := time.Now()
	holds := func(e *reportingEntry) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return slices.ContainsFunc(e.parts, func(p PartView) bool { return p.Part == bad })
	}
	allHold := func() {
		t.Helper()
		f.await("all entries know the part", func() bool {
			return !slices.ContainsFunc(entries, func(e *reportingEntry) bool { return !holds(e) })
		})
	}
	allHold()
	for _, e := range entries {
		if e.mu.Lock(); slices.ContainsFunc(e.parts, func(p PartView) bool { return p.Part == warm || p.Part == cold }) {
			t.Error("a part is quarantined because upstreams crashed at the same time")
		}
		e.mu.Unlock()
	}
	ask := func() int32 {
		var granted atomic.Int32
		var asks sync.WaitGroup
		for _, e := range entries {
			asks.Go(func() {
				if e.follower.RequestTrial(ctx, []quarantine.Fingerprint{bad}) {
					granted.Add(1)
				}
			})
		}
		asks.Wait()
		return granted.Load()
	}
	delay := quarantine.TrialDelay(0)
	if n := ask(); n != 0 && time.Since(quarantined) < delay {
		t.Errorf("%d trials right after the part was quarantined", n)
	}
	time.Sleep(time.Until(quarantined.Add(delay + 200*time.Millisecond)))
	trials := int32(0)
	f.await("a trial is granted", func() bool { trials += ask(); return trials > 0 })
	f.kill(f.leader().options.Self)
	f.await("another host leads", func() bool { return f.leader() != nil })
	for end := time.Now().Add(delay + time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		trials += ask()
	}
	if trials != 1 {
		t.Errorf("%d trials, want one", trials)
	}
	allHold()
	f.await("the part is cleared", func() bool {
		entries[1].report(ctx, &Report{Served: []quarantine.Fingerprint{bad}})
		return !slices.ContainsFunc(entries, holds)
	})
}
