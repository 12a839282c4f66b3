package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/quarantine"
)

// withParts returns a request with parts of these IDs.
func withParts(ids ...string) *Request {
	r := request("/resume/x")
	r.Prompt = prompt()
	for _, id := range ids {
		r.Prompt.Parts = append(r.Prompt.Parts, placement.Part{ID: id, Tokens: 10})
	}
	return r
}

// partOf returns the fingerprint of a part of growers' prompts.
func partOf(id string) quarantine.Fingerprint {
	p := quarantine.Part{Service: "llm", Team: "growers", Model: "m", ID: id}
	return p.Fingerprint()
}

// applyParts applies quarantined parts, by the time until their next trial, and suspected ones.
func applyParts(g *Gateway, revision uint64, due map[string]time.Duration, suspects ...string) {
	view := &steward.QuarantineView{Revision: revision}
	for id, wait := range due {
		view.Parts = append(view.Parts, steward.PartView{Part: partOf(id), FirstCrashMs: 1000, DueMs: uint32(wait.Milliseconds())})
	}
	for _, id := range suspects {
		view.PartSuspects = append(view.PartSuspects, steward.PartView{Part: partOf(id), FirstCrashMs: 1000})
	}
	g.ApplyAnswer(&steward.WatchAnswer{Partial: true, Quarantine: view}, time.Now())
}

// A request with a quarantined part is refused at once as not run, with the time of the next trial.
// The last part belongs to the request; other teams and models have parts of their own.
func TestRequestsWithQuarantinedPartAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
		time.Sleep(time.Second)
		applyParts(g, 1, map[string]time.Duration{"bad0": 9 * time.Second})
		for name, r := range map[string]*Request{"first": withParts("bad0", "1"), "middle": withParts("a", "BAD0", "b", "2"), "twice": withParts("bad0", "bad0", "3")} {
			rec := serve(g, r)
			var refused *outcome.NotRun
			if rec.end != "refused" || !errors.As(rec.cause, &refused) || refused.Reason != outcome.ReasonQuarantinedPart || refused.RetryAfter != 9*time.Second {
				t.Errorf("%s: ends %q with %v", name, rec.end, rec.cause)
			}
		}
		if sender.count() != 0 {
			t.Fatalf("%d sends with a quarantined part", sender.count())
		}
		otherTeam, otherModel := withParts("bad0", "4"), withParts("bad0", "5")
		otherTeam.Key, otherModel.Prompt.Model = "kb", "n"
		for name, r := range map[string]*Request{"last": withParts("a", "bad0"), "another team's": otherTeam, "another model's": otherModel, "another": withParts("a", "6")} {
			if rec := serve(g, r); rec.end != "done" {
				t.Errorf("%s: ends %q with %v", name, rec.end, rec.cause)
			}
		}
	})
}

// Guards against quarantining a part for good, and against a burst of crashes when it is tried: one
// request is sent, once, after the control hosts have allowed it.
func TestQuarantinedPartIsTried(t *testing.T) {
	for _, sound := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g, sender := testGateway(t, func(int, *Send) (*Answer, error) {
				time.Sleep(50 * time.Millisecond)
				if sound {
					return stream(io.EOF, "1"), nil
				}
				return stream(connectionLost(), "1"), nil
			})
			sender.crashed = map[string]bool{"l1": true, "l2": true}
			var asked atomic.Int32
			g.options.RequestTrial = func(_ context.Context, parts []quarantine.Fingerprint) bool {
				time.Sleep(20 * time.Millisecond)
				return asked.Add(1) == 1 && slices.Equal(parts, []quarantine.Fingerprint{partOf("bad0")})
			}
			time.Sleep(time.Second)
			applyParts(g, 1, map[string]time.Duration{"bad0": time.Second})
			serve(g, withParts("bad0", "1"))
			if asked.Load() != 0 || sender.count() != 0 {
				t.Fatal("a trial before its time")
			}
			time.Sleep(time.Second)
			for range 5 {
				go serve(g, withParts("a", "bad0", "2"))
			}
			time.Sleep(200 * time.Millisecond)
			synctest.Wait()
			if asked.Load() != 1 || sender.count() != 1 {
				t.Fatalf("%d requests for a trial, %d sends, want one each", asked.Load(), sender.count())
			}
			report := g.reports.take()
			if got := slices.Contains(report.Served, partOf("bad0")); got != sound {
				t.Errorf("sound %t, reported as served %t", sound, got)
			}
			if got := len(report.Crashes) == 1 && slices.Contains(report.Crashes[0].Parts, partOf("bad0")); got == sound {
				t.Errorf("sound %t, reported crashes %+v", sound, report.Crashes)
			}
			want := "refused"
			if sound {
				want = "done"
			}
			if rec := serve(g, withParts("bad0", "3")); rec.end != want {
				t.Errorf("sound %t: the next request ends %q", sound, rec.end)
			}
		})
	}
}

// Guards against one trial after the other where upstreams refuse most requests: one that was refused
// counts and goes to no other upstream. One that reached no upstream is given back.
func TestRefusedTrialCounts(t *testing.T) {
	for _, refused := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g, sender := testGateway(t, func(int, *Send) (*Answer, error) {
				if refused {
					return refusal(Full), nil
				}
				return nil, dialRefused()
			})
			g.options.RequestTrial = func(context.Context, []quarantine.Fingerprint) bool { return true }
			time.Sleep(time.Second)
			applyParts(g, 1, map[string]time.Duration{"bad0": 0})
			var notRun *outcome.NotRun
			if rec := serve(g, withParts("bad0", "1")); !errors.As(rec.cause, &notRun) {
				t.Errorf("refused %t: ends %q with %v", refused, rec.end, rec.cause)
			}
			if refused && sender.count() != 1 {
				t.Errorf("a trial that was refused reached %d upstreams, want 1", sender.count())
			}
			if returned := len(g.reports.take().Unused) > 0; returned == refused {
				t.Errorf("refused %t: given back %t", refused, returned)
			}
		})
	}
}

// Guards against holding the first part of all prompts because it stands beside the part that crashes
// upstreams: an entry that has seen it served since the first crash keeps sending it, and says so.
func TestPartServedSinceCrashIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
		serve(g, withParts("old", "1"))
		time.Sleep(1500 * time.Millisecond)
		serve(g, withParts("first", "2"))
		time.Sleep(500 * time.Millisecond)
		applyParts(g, 1, map[string]time.Duration{"first": time.Second, "old": time.Second}, "warm")
		if cleared := g.reports.take().Served; !slices.Equal(cleared, []quarantine.Fingerprint{partOf("first")}) {
			t.Errorf("cleared %v", cleared)
		}
		if rec := serve(g, withParts("first", "3")); rec.end != "done" {
			t.Errorf("a part that was served since ends %q with %v", rec.end, rec.cause)
		}
		if rec := serve(g, withParts("old", "4")); rec.end != "refused" {
			t.Errorf("a part that was last served before the first crash ends %q", rec.end)
		}
		serve(g, withParts("warm", "5"))
		if cleared := g.reports.take().Served; !slices.Equal(cleared, []quarantine.Fingerprint{partOf("warm")}) {
			t.Errorf("a suspect that was served: cleared %v", cleared)
		}
	})
}

// Guards against a request with a part that is quarantined while it waits for capacity being sent
// once there is some.
func TestWaitingRequestWithQuarantinedPart(t *testing.T) {
	for _, shares := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { waitWithQuarantinedPart(t, shares) })
	}
}

func waitWithQuarantinedPart(t *testing.T, shares bool) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) {
		time.Sleep(300 * time.Millisecond)
		return stream(io.EOF, "1"), nil
	})
	if shares {
		g.state.shares = newShareQueues(nil)
	}
	for range 40 {
		go serve(g, withParts("a", "1"))
	}
	synctest.Wait()
	waits := make(chan *recorder)
	go func() { waits <- serve(g, withParts("bad0", "2")) }()
	synctest.Wait()
	if g.state.waitingCount() == 0 {
		t.Fatal("nothing waits")
	}
	applyParts(g, 1, map[string]time.Duration{"bad0": time.Second})
	var refused *outcome.NotRun
	if rec := <-waits; !errors.As(rec.cause, &refused) || refused.Reason != outcome.ReasonQuarantinedPart {
		t.Errorf("ends %q with %v", rec.end, rec.cause)
	}
	time.Sleep(5 * time.Second)
	synctest.Wait()
	for _, s := range sender.sends {
		if s.Request.Prompt.Parts[0].ID == "bad0" {
			t.Error("a request with a quarantined part was sent")
		}
	}
}

// Guards against the entry itself repeating a request that has crashed an upstream and one of whose
// parts is suspected.
func TestRequestsWithSuspectedPartAreNotRetried(t *testing.T) {
	for suspect, want := range map[string]int{"bad0": 1, "other": 2} {
		g, sender := testGateway(t, func(n int, _ *Send) (*Answer, error) {
			if n == 1 {
				return stream(connectionLost(), "1"), nil
			}
			return stream(io.EOF, "2"), nil
		})
		applyParts(g, 1, nil, suspect)
		if serve(g, withParts("bad0", "1")); sender.count() != want {
			t.Errorf("%s is suspected: %d sends, want %d", suspect, sender.count(), want)
		}
	}
}

// Guards against crashes of several seconds being taken for one, as upstreams that crash together
// are, when they are reported late.
func TestReportsStateTheAgeOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := testGateway(t, nil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		reached := time.Now().Add(2050 * time.Millisecond)
		var reported []quarantine.Crash
		go g.Report(ctx, func(_ context.Context, r *steward.Report) error {
			if time.Now().Before(reached) {
				return steward.ErrUnavailable
			}
			reported = append(reported, r.Crashes...)
			return nil
		})
		for i := range 3 {
			g.reports.add(steward.Report{Crashes: []quarantine.Crash{{Incarnation: quarantine.Incarnation{StartedMs: uint64(i)}}}})
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for i, c := range reported {
			if want := time.Duration(2050-500*i) * time.Millisecond; c.Age < want || c.Age > want+reportRetryDelay {
				t.Errorf("crash %d: age %v, want %v", i, c.Age, want)
			}
		}
		if len(reported) != 3 || g.reports.noticed.Len() != 0 {
			t.Errorf("%d crashes reported, %d times kept", len(reported), g.reports.noticed.Len())
		}
	})
}
