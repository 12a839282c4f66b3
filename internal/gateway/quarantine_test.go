package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/quarantine"
)

func fingerprintOf(t *testing.T, g *Gateway, r *Request) quarantine.Fingerprint {
	t.Helper()
	run, err := g.admit(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return run.fingerprint
}

// applyVerdicts applies quarantined and suspected requests, as a late answer may.
func applyVerdicts(g *Gateway, revision uint64, quarantined, suspects []quarantine.Fingerprint) {
	g.ApplyAnswer(&steward.WatchAnswer{Partial: true, Quarantine: &steward.QuarantineView{Revision: revision, Quarantined: quarantined, Suspects: suspects}}, time.Now())
}

func withBody(path, body string) *Request {
	r := request(path)
	r.Body = []byte(body)
	return r
}

// A quarantined request is sent to no upstream. It is refused immediately with the reason that
// it crashes upstreams, not as not run. Another team's request with the same content, and all
// others, are served.
func TestQuarantinedRequestsAreNotSent(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
	applyVerdicts(g, 1, []quarantine.Fingerprint{fingerprintOf(t, g, withBody("/resume/x", "bad"))}, nil)
	resumed, otherTeam := withBody("/resume/x", "bad"), withBody("/resume/x", "bad")
	resumed.ResumeAfter, otherTeam.Key = "3", "kb"
	for name, r := range map[string]*Request{"the request": withBody("/resume/x", "bad"), "its resumed stream": resumed} {
		rec := serve(g, r)
		var unknown *outcome.Unknown
		if rec.end != "refused" || !errors.As(rec.cause, &unknown) || unknown.Reason != outcome.ReasonCrashesUpstreams {
			t.Errorf("%s ends %q with %v", name, rec.end, rec.cause)
		}
	}
	if sender.count() != 0 {
		t.Fatalf("%d sends of a quarantined request", sender.count())
	}
	for name, r := range map[string]*Request{"another team's": otherTeam, "another": withBody("/resume/x", "good")} {
		if rec := serve(g, r); rec.end != "done" {
			t.Errorf("%s ends %q with %v", name, rec.end, rec.cause)
		}
	}
	if quarantined := g.meter.quarantined.Get(); quarantined != 2 {
		t.Errorf("%d counted as quarantined, want 2", quarantined)
	}
}

// A request is quarantined while it waits for capacity. It must not be sent when there is
// capacity, which goes to other requests.
func TestWaitingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var busy sync.WaitGroup
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) {
			time.Sleep(100 * time.Millisecond)
			return status(200), nil
		})
		for range 60 {
			busy.Go(func() { serve(g, request("/safe/x")) })
		}
		synctest.Wait()
		before := sender.count()
		waits := make(chan *recorder)
		go func() { waits <- serve(g, withBody("/safe/x", "bad")) }()
		synctest.Wait()
		if len(g.state.waiting) == 0 {
			t.Fatal("nothing waits")
		}
		applyVerdicts(g, 1, []quarantine.Fingerprint{fingerprintOf(t, g, withBody("/safe/x", "bad"))}, nil)
		reported := time.Now()
		rec := <-waits
		if late := time.Since(reported); late > 0 {
			t.Errorf("its caller is refused %v after the verdict", late)
		}
		busy.Wait()
		for _, s := range sender.sends[before:] {
			if string(s.Request.Body) == "bad" {
				t.Error("a request that was quarantined while it waited was sent")
			}
		}
		if rec.end != "refused" {
			t.Errorf("ends %q", rec.end)
		}
		for _, u := range g.state.upstreams {
			if u.own.Requests != 0 {
				t.Errorf("%s counts %d requests under way", u.record.ID, u.own.Requests)
			}
		}
	})
}

// One more crash decides about a suspected request. A retry by the entry would crash one more
// upstream before the last crash is known; other requests are retried.
func TestSuspectedRequestsAreNotRetried(t *testing.T) {
	for _, suspected := range []bool{false, true} {
		g, sender := testGateway(t, func(n int, _ *Send) (*Answer, error) {
			if n == 1 {
				return stream(errors.New("reset"), "1"), nil
			}
			return stream(io.EOF, "2"), nil
		})
		want := 2
		if suspected {
			want = 1
			applyVerdicts(g, 1, nil, []quarantine.Fingerprint{fingerprintOf(t, g, request("/resume/x"))})
		}
		if serve(g, request("/resume/x")); sender.count() != want {
			t.Errorf("suspected %t: %d sends, want %d", suspected, sender.count(), want)
		}
	}
}

// Guards against a request that follows the one that crashes upstreams: retried at once, it is in
// flight at as many crashes as quarantine a request, before the control hosts know of the first.
func TestRequestIsNotRetriedAfterTwoCrashes(t *testing.T) {
	for name, test := range map[string]struct {
		crashed, served bool
		sends           int
	}{
		"upstreams crashed":                  {crashed: true, sends: 2},
		"connections broke":                  {sends: 3},
		"crashed, the request served before": {crashed: true, served: true, sends: 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			broken := false
			g, sender := testGateway(t, func(int, *Send) (*Answer, error) {
				if broken {
					return nil, connectionLost()
				}
				return status(200), nil
			})
			document := testDocument()
			document.Version++
			document.Routes[0].Attempts = 4
			g.ApplyAnswer(&steward.WatchAnswer{Partial: true, Term: 1, Document: document}, time.Now())
			if test.served {
				serve(g, request("/safe/x"))
			}
			broken = true
			sender.crashed = map[string]bool{"a1": test.crashed, "a2": test.crashed, "a3": test.crashed}
			began, before := time.Now(), sender.count()
			serve(g, request("/safe/x"))
			if n := sender.count() - before; n != test.sends {
				t.Errorf("%s: %d sends, want %d", name, n, test.sends)
			}
			if took := time.Since(began); took > 100*time.Millisecond {
				t.Errorf("%s: its caller is answered after %v", name, took)
			}
			time.Sleep(time.Second)
		})
	}
}

// Guards against requests quarantined because many callers send them, so that they were under
// way when three runners crashed: a request that the entry has served lately is not the cause.
// The entry reports the others, still sends it although it is quarantined, and has it cleared.
func TestServedRequestsAreNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends := false
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) {
			if ends {
				return nil, connectionLost()
			}
			return status(200), nil
		})
		serve(g, withBody("/safe/x", "poll"))
		ends = true
		sender.crashed = map[string]bool{"a1": true, "a2": true, "a3": true}
		serve(g, withBody("/safe/x", "poll"))
		serve(g, withBody("/unsafe/x", "new"))
		time.Sleep(time.Second)
		synctest.Wait()
		poll, fresh := fingerprintOf(t, g, withBody("/safe/x", "poll")), fingerprintOf(t, g, withBody("/unsafe/x", "new"))
		for _, e := range g.reports.take().Crashes {
			if !slices.Equal(e.Fingerprints, []quarantine.Fingerprint{fresh}) {
				t.Errorf("the crash of %s is reported with %v", e.Incarnation.Upstream, e.Fingerprints)
			}
		}
		ends = false
		applyVerdicts(g, 1, []quarantine.Fingerprint{poll, fresh}, nil)
		if cleared := g.reports.take().Served; !slices.Equal(cleared, []quarantine.Fingerprint{poll}) {
			t.Errorf("cleared %v, want %v", cleared, poll)
		}
		if rec := serve(g, withBody("/safe/x", "poll")); rec.end != "done" {
			t.Errorf("a request that was served lately ends %q", rec.end)
		}
		time.Sleep(30 * time.Second)
		applyVerdicts(g, 2, []quarantine.Fingerprint{poll}, nil)
		if rec := serve(g, withBody("/safe/x", "poll")); rec.end != "refused" {
			t.Errorf("a request that was served long ago ends %q", rec.end)
		}
	})
}

// A connection breaks but the runner keeps running: nothing is reported. The runner crashes:
// the requests under way are reported, each once, and of the same incarnation only.
func TestOnlyCrashesAreReported(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g, sender := testGateway(t, func(int, *Send) (*Answer, error) {
				time.Sleep(10 * time.Millisecond)
				return nil, connectionLost()
			})
			sender.crashed = map[string]bool{"a1": crashed, "a2": crashed, "a3": crashed}
			for range 3 {
				go serve(g, withBody("/unsafe/x", "one"))
				go serve(g, withBody("/unsafe/x", "two"))
			}
			time.Sleep(time.Second)
			synctest.Wait()
			r := g.reports.take()
			if crashed == r.Empty() {
				t.Fatalf("crashed %t, reported %+v", crashed, r)
			}
			seen := make(map[quarantine.Incarnation]bool)
			for _, e := range r.Crashes {
				if seen[e.Incarnation] || len(e.Fingerprints) > 2 {
					t.Errorf("reported %+v", r.Crashes)
				}
				seen[e.Incarnation] = true
			}
		})
	}
}

// While no control host is reachable, reports wait, up to a bound, and are sent afterwards.
func TestFailedReportsAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := testGateway(t, nil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var reached atomic.Bool
		var reported steward.Report
		go g.Report(ctx, func(_ context.Context, r *steward.Report) error {
			if !reached.Load() {
				return steward.ErrUnavailable
			}
			reported.Crashes = append(reported.Crashes, r.Crashes...)
			return nil
		})
		for i := range 3 * steward.MaxReported {
			g.reports.add(steward.Report{Crashes: []quarantine.Crash{{Incarnation: quarantine.Incarnation{StartedMs: uint64(i)}}}})
			time.Sleep(time.Millisecond)
		}
		reached.Store(true)
		time.Sleep(2 * reportRetryDelay)
		synctest.Wait()
		if len(reported.Crashes) != steward.MaxReported {
			t.Fatalf("%d crashes reported, want the latest %d", len(reported.Crashes), steward.MaxReported)
		}
		if !slices.ContainsFunc(reported.Crashes, func(e quarantine.Crash) bool { return e.Incarnation.StartedMs == 3*steward.MaxReported-1 }) {
			t.Fatal("the latest crash is not reported")
		}
	})
}

// Guards against the latest crashes being dropped from a report that is put back while a new
// crash is added. The bound drops the oldest: the latest crashes are those of a request that
// may be retried again.
func TestLatestCrashesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := testGateway(t, nil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		crashesOf := func(from, to uint64) (ends []quarantine.Crash) {
			for startedMs := from; startedMs < to; startedMs++ {
				ends = append(ends, quarantine.Crash{Incarnation: quarantine.Incarnation{StartedMs: startedMs}})
			}
			return ends
		}
		g.reports.add(steward.Report{Crashes: crashesOf(0, steward.MaxReported)})
		calls := 0
		var reported []quarantine.Crash
		go g.Report(ctx, func(_ context.Context, r *steward.Report) error {
			if calls++; calls == 1 {
				g.reports.add(steward.Report{Crashes: crashesOf(steward.MaxReported, steward.MaxReported+1)})
				return steward.ErrUnavailable
			}
			reported = r.Crashes
			return nil
		})
		time.Sleep(time.Second)
		synctest.Wait()
		if len(reported) != steward.MaxReported || reported[len(reported)-1].Incarnation.StartedMs != steward.MaxReported {
			t.Fatalf("reported %d crashes without the latest", len(reported))
		}
	})
}
