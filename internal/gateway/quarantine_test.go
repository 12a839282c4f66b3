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

func printOf(t *testing.T, g *Gateway, r *Request) quarantine.Fingerprint {
	t.Helper()
	run, err := g.admit(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return run.fingerprint
}

// tellHeld tells an entry of held and suspected requests, as a late answer may.
func tellHeld(g *Gateway, revision uint64, held, suspects []quarantine.Fingerprint) {
	g.ApplyAnswer(&steward.WatchAnswer{Partial: true, Quarantine: &steward.QuarantineView{Revision: revision, Quarantined: held, Suspects: suspects}}, time.Now())
}

func withBody(path, body string) *Request {
	r := request(path)
	r.Body = []byte(body)
	return r
}

// A request that is held is sent to nobody and told at once that it ends its upstreams:
// not that it has not run. Another team's request with the same words, and all others,
// are served.
func TestHeldRequestsAreSentToNobody(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
	tellHeld(g, 1, []quarantine.Fingerprint{printOf(t, g, withBody("/resume/x", "bad"))}, nil)
	resumed, otherTeam := withBody("/resume/x", "bad"), withBody("/resume/x", "bad")
	resumed.ResumeAfter, otherTeam.Key = "3", "kb"
	for name, r := range map[string]*Request{"the request": withBody("/resume/x", "bad"), "its resumed stream": resumed} {
		rec := serve(g, r)
		var unknown *outcome.Unknown
		if rec.ends != "refused" || !errors.As(rec.cause, &unknown) || unknown.Reason != outcome.ReasonCrashesUpstreams {
			t.Errorf("%s ends %q with %v", name, rec.ends, rec.cause)
		}
	}
	if sender.count() != 0 {
		t.Fatalf("%d sends of a held request", sender.count())
	}
	for name, r := range map[string]*Request{"another team's": otherTeam, "another": withBody("/resume/x", "good")} {
		if rec := serve(g, r); rec.ends != "done" {
			t.Errorf("%s ends %q with %v", name, rec.ends, rec.cause)
		}
	}
	if held := g.meter.quarantined.Get(); held != 2 {
		t.Errorf("%d counted as held, want 2", held)
	}
}

// A request waits for a runner with room and is judged meanwhile. It must not be sent
// when room comes, and its room goes to others.
func TestARequestIsHeldThatWaitsForRoom(t *testing.T) {
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
		tellHeld(g, 1, []quarantine.Fingerprint{printOf(t, g, withBody("/safe/x", "bad"))}, nil)
		told := time.Now()
		rec := <-waits
		if late := time.Since(told); late > 0 {
			t.Errorf("its caller is told %v after it was judged", late)
		}
		busy.Wait()
		for _, s := range sender.sends[before:] {
			if string(s.Request.Body) == "bad" {
				t.Error("a request that was judged while it waited was sent")
			}
		}
		if rec.ends != "refused" {
			t.Errorf("ends %q", rec.ends)
		}
		for _, u := range g.state.upstreams {
			if u.own.Requests != 0 {
				t.Errorf("%s counts %d requests under way", u.record.ID, u.own.Requests)
			}
		}
	})
}

// One more end decides about a suspected request. Sent again by ourselves it would end
// that one before anybody knows of the last; others are sent again.
func TestSuspectedRequestsAreNotRepeated(t *testing.T) {
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
			tellHeld(g, 1, nil, []quarantine.Fingerprint{printOf(t, g, request("/resume/x"))})
		}
		if serve(g, request("/resume/x")); sender.count() != want {
			t.Errorf("suspected %t: %d sends, want %d", suspected, sender.count(), want)
		}
	}
}

// Three runners end while many callers ask the same of them. What an entry has served
// is no cause: it reports the rest, sends the request on though others hold it, and has
// it cleared.
func TestServedRequestsAreNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends := false
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) {
			if ends {
				return nil, lost()
			}
			return status(200), nil
		})
		serve(g, withBody("/safe/x", "poll"))
		ends = true
		sender.ended = map[string]bool{"a1": true, "a2": true, "a3": true}
		serve(g, withBody("/safe/x", "poll"))
		serve(g, withBody("/unsafe/x", "new"))
		time.Sleep(time.Second)
		synctest.Wait()
		poll, fresh := printOf(t, g, withBody("/safe/x", "poll")), printOf(t, g, withBody("/unsafe/x", "new"))
		for _, e := range g.reports.take().Crashes {
			if !slices.Equal(e.Prints, []quarantine.Fingerprint{fresh}) {
				t.Errorf("%s is said to have ended with %v", e.Life.Upstream, e.Prints)
			}
		}
		ends = false
		tellHeld(g, 1, []quarantine.Fingerprint{poll, fresh}, nil)
		if cleared := g.reports.take().Served; !slices.Equal(cleared, []quarantine.Fingerprint{poll}) {
			t.Errorf("cleared %v, want %v", cleared, poll)
		}
		if rec := serve(g, withBody("/safe/x", "poll")); rec.ends != "done" {
			t.Errorf("what was served lately ends %q", rec.ends)
		}
		time.Sleep(30 * time.Second)
		tellHeld(g, 2, []quarantine.Fingerprint{poll}, nil)
		if rec := serve(g, withBody("/safe/x", "poll")); rec.ends != "refused" {
			t.Errorf("what was served long ago ends %q", rec.ends)
		}
	})
}

// A connection breaks, but the runner goes on: nobody is blamed. It ends: whoever was
// under way is, each once, and of the same life only.
func TestOnlyEndsAreReported(t *testing.T) {
	for _, ended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g, sender := testGateway(t, func(int, *Send) (*Answer, error) {
				time.Sleep(10 * time.Millisecond)
				return nil, lost()
			})
			sender.ended = map[string]bool{"a1": ended, "a2": ended, "a3": ended}
			for range 3 {
				go serve(g, withBody("/unsafe/x", "one"))
				go serve(g, withBody("/unsafe/x", "two"))
			}
			time.Sleep(time.Second)
			synctest.Wait()
			r := g.reports.take()
			if ended == r.Empty() {
				t.Fatalf("ended %t, reported %+v", ended, r)
			}
			seen := make(map[quarantine.Incarnation]bool)
			for _, e := range r.Crashes {
				if seen[e.Life] || len(e.Prints) > 2 {
					t.Errorf("reported %+v", r.Crashes)
				}
				seen[e.Life] = true
			}
		})
	}
}

// While no control host is reached, reports wait, bounded, and are told afterwards.
func TestReportsAreToldAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := testGateway(t, nil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var reached atomic.Bool
		var told steward.Report
		go g.Report(ctx, func(_ context.Context, r *steward.Report) error {
			if !reached.Load() {
				return steward.ErrUnavailable
			}
			told.Crashes = append(told.Crashes, r.Crashes...)
			return nil
		})
		for i := range 3 * steward.MaxReported {
			g.reports.add(steward.Report{Crashes: []quarantine.Crash{{Life: quarantine.Incarnation{StartedMs: uint64(i)}}}})
			time.Sleep(time.Millisecond)
		}
		reached.Store(true)
		time.Sleep(2 * reportRetryDelay)
		synctest.Wait()
		if len(told.Crashes) != steward.MaxReported {
			t.Fatalf("%d ends told, want the latest %d", len(told.Crashes), steward.MaxReported)
		}
		if !slices.ContainsFunc(told.Crashes, func(e quarantine.Crash) bool { return e.Life.StartedMs == 3*steward.MaxReported-1 }) {
			t.Fatal("the latest end is not told")
		}
	})
}

// A report can't be told just as the next end is seen. What waits is bounded, and the
// oldest must yield: the latest ends are those of a request that is on its way again.
func TestTheLatestEndsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := testGateway(t, nil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		endsOf := func(from, to uint64) (ends []quarantine.Crash) {
			for born := from; born < to; born++ {
				ends = append(ends, quarantine.Crash{Life: quarantine.Incarnation{StartedMs: born}})
			}
			return ends
		}
		g.reports.add(steward.Report{Crashes: endsOf(0, steward.MaxReported)})
		tells := 0
		var told []quarantine.Crash
		go g.Report(ctx, func(_ context.Context, r *steward.Report) error {
			if tells++; tells == 1 {
				g.reports.add(steward.Report{Crashes: endsOf(steward.MaxReported, steward.MaxReported+1)})
				return steward.ErrUnavailable
			}
			told = r.Crashes
			return nil
		})
		time.Sleep(time.Second)
		synctest.Wait()
		if len(told) != steward.MaxReported || told[len(told)-1].Life.StartedMs != steward.MaxReported {
			t.Fatalf("told %d ends without the latest", len(told))
		}
	})
}
