package standin

import (
	"context"
	"net"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagereach/lovagereach/internal/adapter/announce"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/upstream"
)

// entryRecorder is an entry's announcement listener that records what it
// receives.
type entryRecorder struct {
	address   string
	entries   []string
	intervals upstream.ReportIntervals

	mu            sync.Mutex
	announcements []port.Announcement
	loads         []port.LoadReport
	sequences     []uint64
	changed       chan struct{}
}

func newEntryRecorder(t *testing.T) *entryRecorder {
	t.Helper()
	h := &entryRecorder{changed: make(chan struct{}, 1)}
	server := httptest.NewServer(announce.NewHandler(h, metrics.NewSet()))
	t.Cleanup(server.Close)
	h.address = server.Listener.Addr().String()
	return h
}

func (h *entryRecorder) wake() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// Announce implements announce.Sink.
func (h *entryRecorder) Announce(a port.Announcement) (announce.Assignment, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announcements = append(h.announcements, a)
	h.wake()
	return announce.Assignment{Entries: h.entries, ReportIntervals: h.intervals}, nil
}

// Load implements announce.Sink.
func (h *entryRecorder) Load(l port.LoadReport) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loads = append(h.loads, l)
	h.wake()
	return nil
}

// Events implements announce.Sink.
func (h *entryRecorder) Events(e port.CacheEvents) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, event := range e.Events {
		h.sequences = append(h.sequences, event.Sequence)
	}
	h.wake()
	return false, nil
}

// await waits until ok returns true.
func (h *entryRecorder) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	limit := time.After(20 * time.Second) // far beyond any scheduling delay
	for {
		h.mu.Lock()
		done := ok()
		h.mu.Unlock()
		if done {
			return
		}
		select {
		case <-h.changed:
		case <-limit:
			t.Fatalf("not received within 20 s: %s", what)
		}
	}
}

// fastOptions returns options with short intervals.
func fastOptions(entries ...string) AnnounceOptions {
	return AnnounceOptions{Entries: entries, Lease: 300 * time.Millisecond, LoadEvery: 10 * time.Millisecond, EventsEvery: 10 * time.Millisecond}
}

// run serves u on loopback until the test ends.
func run(t *testing.T, u Upstream) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, listener, u) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
}

// An upstream is configured with one entry. It must also announce itself to the
// entries listed in the answer, renew the announcement within the lease, and
// announce that it leaves.
func TestAnnouncerLearnsEntries(t *testing.T) {
	first, second := newEntryRecorder(t), newEntryRecorder(t)
	first.entries = []string{first.address, second.address}
	e := NewEngine(EngineOptions{
		Upstream: "engine-1", DataCentre: "hall-north", Announce: fastOptions(first.address),
		Models: []port.LoadedVersion{{Model: "m", Version: "v"}}, ChecksFence: true,
	})
	run(t, e)
	second.await(t, "two announcements and a load report", func() bool {
		return len(second.announcements) >= 2 && len(second.loads) > 0
	})
	got := second.announcements[0]
	if got.Kind != port.KindEngine || !got.ChecksFence || got.LeaseMillis != 300 || len(got.Models) != 1 || got.Leaving {
		t.Errorf("announcement %+v", got)
	}
	e.Leave()
	second.await(t, "leaving", func() bool {
		return second.announcements[len(second.announcements)-1].Leaving
	})
}

// A batch of cache events is dropped or sent twice by a fault. The sequence
// numbers must show it: a gap after a drop, the same numbers again after a
// repeat.
func TestAnnouncerDropsAndRepeatsEvents(t *testing.T) {
	cases := map[FaultKind][]uint64{
		FaultDropEvents:   {3, 4},
		FaultRepeatEvents: {1, 2, 1, 2, 3, 4},
	}
	for kind, want := range cases {
		t.Run(string(kind), func(t *testing.T) {
			entry := newEntryRecorder(t)
			e := NewEngine(EngineOptions{Upstream: "engine-1", Announce: fastOptions(entry.address)})
			if err := e.Faults().Add(Fault{Kind: kind, Count: 1}); err != nil {
				t.Fatal(err)
			}
			record := func(block port.BlockID) { e.announcer.record(port.CacheStored, block, nil) }
			record("a")
			record("b")
			e.announcer.sendEvents(t.Context())
			record("c")
			record("d")
			e.announcer.sendEvents(t.Context())
			if !slices.Equal(entry.sequences, want) {
				t.Errorf("sequences %v, want %v", entry.sequences, want)
			}
		})
	}
}

// A load report is sent when it is at least LoadLag old, with the time at which
// it was measured.
func TestAnnouncerDelaysLoadReports(t *testing.T) {
	e := NewEngine(EngineOptions{Announce: AnnounceOptions{LoadLag: 2 * time.Second}})
	at := func(second int64) port.LoadReport { return port.LoadReport{MeasuredAt: second * 1000} }
	var sent []int64
	for second := range int64(6) {
		if report, ok := e.announcer.nextDueReport(at(second)); ok {
			sent = append(sent, report.MeasuredAt/1000)
		}
	}
	if want := []int64{0, 1, 2, 3}; !slices.Equal(sent, want) {
		t.Errorf("reports of %v, want %v", sent, want)
	}
}

// An entry from an answer that stays unreachable is removed, so that the list
// doesn't grow with each replaced entry. A configured entry is never removed.
func TestAnnouncerRemovesUnreachableEntries(t *testing.T) {
	e := NewEngine(EngineOptions{Announce: AnnounceOptions{Entries: []string{"127.0.0.1:1"}}})
	e.announcer.addEntries([]string{"127.0.0.1:2"})
	for range entryFailures {
		for _, entry := range e.announcer.knownEntries() {
			e.announcer.recordResult(entry, context.DeadlineExceeded)
		}
	}
	if got := e.announcer.knownEntries(); !slices.Equal(got, []string{"127.0.0.1:1"}) {
		t.Errorf("known entries %v", got)
	}
}

// Two entries request different intervals, and a third none. The upstream uses
// one interval for all, so it must be the longest and never shorter than its own;
// otherwise the busier entry's budget of control traffic is exceeded.
func TestAnnouncerUsesLongestRequestedInterval(t *testing.T) {
	a := newAnnouncer(AnnounceOptions{Entries: []string{"a", "b", "c"}, LoadEvery: time.Second, EventsEvery: time.Second}, nil, nil)
	if a.loadEvery() != time.Second || a.eventsEvery() != time.Second {
		t.Errorf("no intervals requested: %v, %v", a.loadEvery(), a.eventsEvery())
	}
	a.applyIntervals("a", announce.Reply{ReportEveryMillis: 5_000, EventsEveryMillis: 2_000})
	a.applyIntervals("b", announce.Reply{ReportEveryMillis: 100, EventsEveryMillis: 3_000})
	if a.loadEvery() != 5*time.Second || a.eventsEvery() != 3*time.Second {
		t.Errorf("intervals requested: %v, %v", a.loadEvery(), a.eventsEvery())
	}
	a.applyIntervals("a", announce.Reply{ReportEveryMillis: 1 << 40})
	if a.loadEvery() != maxInterval {
		t.Errorf("interval beyond maxInterval is used: %v", a.loadEvery())
	}
	a.applyIntervals("a", announce.Reply{})
	if a.loadEvery() != time.Second {
		t.Errorf("interval that is no longer requested is used: %v", a.loadEvery())
	}
}

// The answer to an announcement contains the report intervals, and the upstream
// must apply them. Announcements keep their own interval: the second one is sent
// soon, although the entry requests an hour between reports.
func TestAnnouncerAppliesIntervalsFromAnswer(t *testing.T) {
	h := newEntryRecorder(t)
	h.intervals = upstream.ReportIntervals{ReportEvery: time.Hour, EventsEvery: time.Hour}
	e := NewEngine(EngineOptions{Upstream: "engine-1", DataCentre: "hall-north", Announce: fastOptions(h.address)})
	run(t, e)
	h.await(t, "the second announcement", func() bool { return len(h.announcements) >= 2 })
	if every := e.announcer.loadEvery(); every != maxInterval {
		t.Errorf("interval between load reports is %v", every)
	}
}
