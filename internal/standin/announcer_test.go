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

// hearing is an entry's announcement listener that records what it hears.
type hearing struct {
	address string
	entries []string
	pace    upstream.ReportIntervals

	mu            sync.Mutex
	announcements []port.Announcement
	loads         []port.LoadReport
	sequences     []uint64
	changed       chan struct{}
}

func newHearing(t *testing.T) *hearing {
	t.Helper()
	h := &hearing{changed: make(chan struct{}, 1)}
	server := httptest.NewServer(announce.NewHandler(h, metrics.NewSet()))
	t.Cleanup(server.Close)
	h.address = server.Listener.Addr().String()
	return h
}

func (h *hearing) wake() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// Announce implements announce.Sink.
func (h *hearing) Announce(a port.Announcement) (announce.Assignment, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announcements = append(h.announcements, a)
	h.wake()
	return announce.Assignment{Entries: h.entries, Pace: h.pace}, nil
}

// Load implements announce.Sink.
func (h *hearing) Load(l port.LoadReport) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loads = append(h.loads, l)
	h.wake()
	return nil
}

// Events implements announce.Sink.
func (h *hearing) Events(e port.CacheEvents) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, event := range e.Events {
		h.sequences = append(h.sequences, event.Sequence)
	}
	h.wake()
	return false, nil
}

// await waits until ok holds.
func (h *hearing) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	limit := time.After(20 * time.Second) // far beyond any scheduling delay
	for {
		h.mu.Lock()
		held := ok()
		h.mu.Unlock()
		if held {
			return
		}
		select {
		case <-h.changed:
		case <-limit:
			t.Fatalf("never heard: %s", what)
		}
	}
}

// quick are options under which everything is reported soon.
func quick(entries ...string) AnnounceOptions {
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

// An upstream is told one entry by its settings. It must announce itself to the
// entries that the answer names as well, go on announcing before its lease
// ends, and say when it leaves.
func TestAnnouncerLearnsEntries(t *testing.T) {
	first, second := newHearing(t), newHearing(t)
	first.entries = []string{first.address, second.address}
	e := NewEngine(EngineOptions{
		Upstream: "engine-1", DataCentre: "hall-north", Announce: quick(first.address),
		Models: []port.LoadedVersion{{Model: "m", Version: "v"}}, ChecksFence: true,
	})
	run(t, e)
	second.await(t, "two announcements and a load report", func() bool {
		return len(second.announcements) >= 2 && len(second.loads) > 0
	})
	got := second.announcements[0]
	if got.Kind != port.KindEngine || !got.ChecksFence || got.LeaseMillis != 300 || len(got.Models) != 1 || got.Leaving {
		t.Errorf("announced %+v", got)
	}
	e.Leave()
	second.await(t, "leaving", func() bool {
		return second.announcements[len(second.announcements)-1].Leaving
	})
}

// A batch of cache events is lost, another comes twice. The numbers must show
// it: a gap for the lost one, the same numbers for the repeated one.
func TestAnnouncerLosesAndRepeatsEvents(t *testing.T) {
	cases := map[FaultKind][]uint64{
		FaultDropEvents:   {3, 4},
		FaultRepeatEvents: {1, 2, 1, 2, 3, 4},
	}
	for kind, want := range cases {
		t.Run(string(kind), func(t *testing.T) {
			entry := newHearing(t)
			e := NewEngine(EngineOptions{Upstream: "engine-1", Announce: quick(entry.address)})
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

// A load report is as old as LoadLag says, and tells so.
func TestAnnouncerLags(t *testing.T) {
	e := NewEngine(EngineOptions{Announce: AnnounceOptions{LoadLag: 2 * time.Second}})
	at := func(second int64) port.LoadReport { return port.LoadReport{MeasuredAt: second * 1000} }
	var sent []int64
	for second := range int64(6) {
		if report, ok := e.announcer.lagged(at(second)); ok {
			sent = append(sent, report.MeasuredAt/1000)
		}
	}
	if want := []int64{0, 1, 2, 3}; !slices.Equal(sent, want) {
		t.Errorf("reports of %v, want %v", sent, want)
	}
}

// A learned entry that stays dead is forgotten, so that the list does not grow
// with each entry that is replaced; an entry from the settings never is.
func TestAnnouncerForgetsDeadEntries(t *testing.T) {
	e := NewEngine(EngineOptions{Announce: AnnounceOptions{Entries: []string{"127.0.0.1:1"}}})
	e.announcer.learn([]string{"127.0.0.1:2"})
	for range entryFailures {
		for _, entry := range e.announcer.known() {
			e.announcer.note(entry, context.DeadlineExceeded)
		}
	}
	if got := e.announcer.known(); !slices.Equal(got, []string{"127.0.0.1:1"}) {
		t.Errorf("known %v", got)
	}
}

// Two entries ask for different intervals, and a third for none. The upstream
// reports to all in one rhythm, so it must take the longest, never one shorter
// than its own; else the busier entry's budget on control traffic is passed.
func TestAnnouncerFollowsTheLongestIntervalAskedFor(t *testing.T) {
	a := newAnnouncer(AnnounceOptions{Entries: []string{"a", "b", "c"}, LoadEvery: time.Second, EventsEvery: time.Second}, nil, nil)
	if a.loadEvery() != time.Second || a.eventsEvery() != time.Second {
		t.Errorf("unasked: %v, %v", a.loadEvery(), a.eventsEvery())
	}
	a.pace("a", announce.Reply{ReportEveryMillis: 5_000, EventsEveryMillis: 2_000})
	a.pace("b", announce.Reply{ReportEveryMillis: 100, EventsEveryMillis: 3_000})
	if a.loadEvery() != 5*time.Second || a.eventsEvery() != 3*time.Second {
		t.Errorf("asked: %v, %v", a.loadEvery(), a.eventsEvery())
	}
	a.pace("a", announce.Reply{ReportEveryMillis: 1 << 40})
	if a.loadEvery() != maxInterval {
		t.Errorf("an absurd interval is followed: %v", a.loadEvery())
	}
	a.pace("a", announce.Reply{})
	if a.loadEvery() != time.Second {
		t.Errorf("the interval stays when it is no longer asked for: %v", a.loadEvery())
	}
}

// The answer to an announcement carries the interval, and the upstream takes it
// from there. Announcements keep their own rhythm, so the second one comes soon
// although the entry asks for an hour between reports.
func TestAnnouncerTakesIntervalsFromTheAnswer(t *testing.T) {
	h := newHearing(t)
	h.pace = upstream.ReportIntervals{ReportEvery: time.Hour, EventsEvery: time.Hour}
	e := NewEngine(EngineOptions{Upstream: "engine-1", DataCentre: "hall-north", Announce: quick(h.address)})
	run(t, e)
	h.await(t, "the second announcement", func() bool { return len(h.announcements) >= 2 })
	if every := e.announcer.loadEvery(); every != maxInterval {
		t.Errorf("reports every %v", every)
	}
}
