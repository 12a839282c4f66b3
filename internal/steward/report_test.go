package steward

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/quarantine"
)

// toldWithin is when all entries must know of a request that has ended its third
// upstream: by then they are held to it.
const toldWithin = 3 * time.Second

// reportingEntry follows a control group and reports to it.
type reportingEntry struct {
	follower *Follower

	mu       sync.Mutex
	document bool
	revision uint64
	held     []quarantine.Fingerprint
	// blind tells that a configuration came without the verdicts known then.
	blind bool
}

func (f *fleet) startReporting(ctx context.Context, name string) *reportingEntry {
	f.t.Helper()
	follower, err := NewEntryFollower(EntryOptions{
		Cluster: "test", Key: []byte("a key of the test processes"), Host: ident.Host(name), DataCentre: "north",
		Seeds: []ident.Host{hostName(1), hostName(2), hostName(3)}, PeerPort: f.port, Log: log.New(io.Discard),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	e := &reportingEntry{follower: follower}
	go follower.Run(ctx, func() *WatchRequest {
		e.mu.Lock()
		defer e.mu.Unlock()
		request := &WatchRequest{Entry: &EntryView{Host: name, Ready: true}, Term: follower.term, Quarantine: e.revision}
		if e.document {
			request.Document = 1
		}
		return request
	}, func(answer *WatchAnswer, _ time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if answer.Quarantine != nil {
			e.revision, e.held = answer.Quarantine.Revision, answer.Quarantine.Quarantined
		}
		if answer.Document != nil && !e.document {
			e.document, e.blind = true, answer.Quarantine == nil
		}
	})
	return e
}

func (e *reportingEntry) holds(p quarantine.Fingerprint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.held, p)
}

// report reports until it is taken, as an entry does.
func (e *reportingEntry) report(ctx context.Context, r *Report) {
	for e.follower.Report(ctx, r) != nil && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
}

// More entries than the leader answers by itself report through the other control
// hosts what ended, each a part. All must know who is held within the time that they
// are given, also after the leader is lost and at an entry that starts then; nothing is
// forgotten with a host.
func TestAllEntriesHearOfRequestsThatEndUpstreams(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.put(1, "one")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var entries []*reportingEntry
	for i := range entriesAlone + 4 {
		entries = append(entries, f.startReporting(ctx, fmt.Sprint("entry-", i)))
	}
	f.await("an entry is answered by another host than the leader", func() bool {
		return slices.ContainsFunc(entries, func(e *reportingEntry) bool {
			through, leader := e.follower.through.Load(), f.leader()
			return through != nil && leader != nil && *through != leader.options.Self
		})
	})
	allHear := func(what string, p quarantine.Fingerprint, held bool) {
		t.Helper()
		began := time.Now()
		f.await(what, func() bool {
			return !slices.ContainsFunc(entries, func(e *reportingEntry) bool { return e.holds(p) != held })
		})
		if took := time.Since(began); took > toldWithin {
			t.Errorf("%s after %v, want %v", what, took, toldWithin)
		}
	}
	bad, other := quarantine.Fingerprint{1}, quarantine.Fingerprint{2}
	var reports sync.WaitGroup
	for i := range quarantine.CrashThreshold {
		reports.Go(func() {
			life := quarantine.Incarnation{Upstream: fmt.Sprint("runner-", i)}
			entries[i].report(ctx, &Report{Crashes: []quarantine.Crash{{Life: life, Prints: []quarantine.Fingerprint{bad}}}})
			entries[i+4].report(ctx, &Report{Crashes: []quarantine.Crash{{Life: life, Prints: []quarantine.Fingerprint{{byte(10 + i)}}}}})
		})
	}
	reports.Wait()
	allHear("all entries hold the request", bad, true)

	lost := f.leader().options.Self
	f.kill(lost)
	f.await("another host leads", func() bool { return f.leader() != nil })
	for i := range quarantine.CrashThreshold {
		entries[0].report(ctx, &Report{Crashes: []quarantine.Crash{{Life: quarantine.Incarnation{Upstream: fmt.Sprint("later-", i)}, Prints: []quarantine.Fingerprint{other}}}})
	}
	allHear("all entries hold the second request", other, true)
	late := f.startReporting(ctx, "entry-late")
	f.await("an entry that has just started has a configuration", func() bool {
		late.mu.Lock()
		defer late.mu.Unlock()
		return late.document
	})
	if late.blind || !late.holds(bad) || !late.holds(other) {
		t.Error("an entry that has just started does not hold what all others hold")
	}
	entries = append(entries, late)
	entries[1].report(ctx, &Report{Served: []quarantine.Fingerprint{other}})
	allHear("all entries send the request on that was served", other, false)
	if !late.holds(bad) {
		t.Error("one request was cleared with another")
	}
}

// Ends no longer count after a while, by the clock of the host that leads: who is held
// for ever is never served again once its upstreams are mended.
func TestOldEndsAreForgotten(t *testing.T) {
	m, now := NewMachine(), time.Now()
	m.applyReport(&Report{Crashes: []quarantine.Crash{{Life: quarantine.Incarnation{Upstream: "a"}, Prints: []quarantine.Fingerprint{{1}}}}})
	later := now.Add(quarantine.CrashRetention + time.Second)
	if old := m.oldEnds(later); len(old) != 1 {
		t.Fatalf("%d ends are old after %v", len(old), quarantine.CrashRetention)
	}
	if old := m.oldEnds(now); len(old) != 0 {
		t.Fatalf("%d ends are old at once", len(old))
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if restored.held() != m.held() || len(restored.oldEnds(later)) != 1 {
		t.Fatal("a restored host does not know of the end")
	}
	restored.applyForget(restored.oldEnds(later))
	if len(restored.quarantine.Incarnations())+restored.seen.Len() != 0 {
		t.Fatal("a forgotten end is kept")
	}
}

// The leader commits that old ends no longer count, and all entries send the request on
// that was held for them.
func TestTheLeaderForgetsOldEnds(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.put(1, "one")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entry, bad := f.startReporting(ctx, "entry-1"), quarantine.Fingerprint{1}
	var r Report
	for i := range quarantine.CrashThreshold {
		r.Crashes = append(r.Crashes, quarantine.Crash{Life: quarantine.Incarnation{Upstream: fmt.Sprint("runner-", i)}, Prints: []quarantine.Fingerprint{bad}})
	}
	entry.report(ctx, &r)
	f.await("the entry holds the request", func() bool { return entry.holds(bad) })
	f.leader().leading.Load().forgetEnds(ctx, time.Now().Add(quarantine.CrashRetention+time.Second))
	f.await("the entry sends the request on", func() bool { return !entry.holds(bad) })
}

// A report that is too long for one command must be told again, not cut.
func TestReportsBeyondABatchAreToldAgain(t *testing.T) {
	l := &leadership{reports: &reportBatch{done: make(chan struct{}), size: reportMost - 1}}
	r := &Report{Served: []quarantine.Fingerprint{{1}, {2}}}
	if l.join(r) != nil || len(l.reports.report.Served) != 0 {
		t.Fatal("a report beyond the bound was taken in")
	}
	if l.join(&Report{Served: r.Served[:1]}) == nil {
		t.Fatal("a report within the bound was refused")
	}
}

// A third of a fleet ends while one entry reaches no control host, each runner with as many
// requests as are noted. The longest report that an entry makes must fit into a command,
// or it is refused for ever, and no other of that entry is told after it.
func TestTheLongestReportIsTaken(t *testing.T) {
	var longest Report
	for range MaxReported {
		longest.Crashes = append(longest.Crashes, quarantine.Crash{Prints: make([]quarantine.Fingerprint, quarantine.MaxFingerprints)})
		longest.Served = append(longest.Served, quarantine.Fingerprint{})
	}
	l := &leadership{reports: &reportBatch{done: make(chan struct{})}}
	if l.join(&longest) == nil {
		t.Fatal("the longest report is refused")
	}
}
