package gateway

import (
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/ratelimit"
)

// limited returns a success of an upstream that names a limit.
func limited(perSecond float64) *Answer {
	a := status(200)
	a.Limit = &ratelimit.Limit{Limited: true, PerSecond: perSecond}
	return a
}

// limitedUpstreams returns the number of upstreams that count as limited.
func limitedUpstreams(g *Gateway) int {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return g.state.limitedCount()
}

// Guards against requests that wait for upstreams whose limits leave this entry nothing, until
// their callers' time is nearly up.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return limited(2), nil })
		for range 100 {
			serve(g, request("/safe/x"))
		}
		began, sent := time.Now(), sender.count()
		rec := serve(g, request("/safe/x"))
		var refused *outcome.NotRun
		if sender.count() != sent || !errors.As(rec.cause, &refused) || refused.Reason != outcome.ReasonOverloaded || refused.RetryAfter <= 0 {
			t.Errorf("%d sends, answer %v", sender.count()-sent, rec.cause)
		}
		if took := time.Since(began); took > 50*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
	})
}

// confirmShares confirms a share of perSecond at each plain upstream, again and again until end.
func confirmShares(g *Gateway, perSecond float64, end time.Time) {
	for revision := uint64(1); time.Now().Before(end); revision++ {
		answer := testAnswer()
		answer.Document, answer.Roster, answer.GrantsRevision = nil, nil, revision
		for _, id := range []string{"a1", "a2", "a3"} {
			answer.Shares = append(answer.Shares, ratelimit.Share{Upstream: id, Host: "e1", PerSecond: perSecond})
		}
		g.ApplyAnswer(answer, time.Now())
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against retries that don't count against an upstream's limit: an upstream in need fails
// more requests, and each of them would reach another one that is in need too.
func TestRetriesCountAgainstLimits(t *testing.T) {
	// One request is sent to each upstream before its limit is known, and one share is saved up.
	if n := sendsWithinLimits(t); n > 3*(limitedSeconds*limitedPerSecond+2) {
		t.Errorf("%d sends to three upstreams with a share of %d a second in %d s", n, limitedPerSecond, limitedSeconds)
	}
}

// Guards against shares that are left unused while requests are refused for want of them.
func TestRetriesUseTheShares(t *testing.T) {
	if n := sendsWithinLimits(t); n < 3*limitedSeconds*limitedPerSecond*3/4 {
		t.Errorf("%d sends to three upstreams with a share of %d a second in %d s", n, limitedPerSecond, limitedSeconds)
	}
}

// limitedSeconds is how long requests are sent to upstreams that fail them, limitedPerSecond this
// entry's share of the limit of each.
const limitedSeconds, limitedPerSecond = 10, 4

// sendsWithinLimits returns the number of sends to three upstreams that name limits and fail all
// requests. The shares allow for the first attempts, not for the retries.
func sendsWithinLimits(t *testing.T) (sends int) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) {
			a := limited(limitedPerSecond)
			a.Status = 500
			return a, nil
		})
		g.state.budgets.limits.Extra = 10000
		go confirmShares(g, limitedPerSecond, time.Now().Add(limitedSeconds*time.Second))
		for range limitedSeconds * 10 {
			go serve(g, request("/safe/x"))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		sends = sender.count()
	})
	return sends
}

// Guards against a limit that is still kept when the upstream has ended it, and against one that is
// dropped because of an answer to an earlier request that arrives late.
func TestLimitEndsWithALaterAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := testGateway(t, func(_ int, s *Send) (*Answer, error) {
			if s.Request.ID == "slow" {
				time.Sleep(2 * time.Second)
				a := status(200)
				a.Limit = &ratelimit.Limit{}
				return a, nil
			}
			return limited(100), nil
		})
		old := request("/unsafe/x")
		old.ID = "slow"
		go serve(g, old)
		time.Sleep(100 * time.Millisecond)
		for range 200 {
			go serve(g, request("/unsafe/x"))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		if n := limitedUpstreams(g); n != 3 {
			t.Fatalf("%d of 3 upstreams count as limited", n)
		}
		for range 200 {
			later := request("/unsafe/x")
			later.ID = "slow"
			serve(g, later)
		}
		if n := limitedUpstreams(g); n != 0 {
			t.Errorf("%d upstreams count as limited that named no limit", n)
		}
	})
}

// Guards against entries that send a brittle upstream further requests right after it refused one,
// and against one that is spared for good.
func TestBrittleUpstreamIsSparedAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var brittle atomic.Int64
		brittle.Store(1)
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) {
			a := refusal(Full)
			a.Brittle = int(brittle.Load())
			return a, nil
		})
		g.state.activeEntries = 4
		for range 200 {
			go serve(g, request("/safe/x"))
			time.Sleep(5 * time.Millisecond)
		}
		// Each of the three upstreams refuses one request and, with four entries and one refusal a
		// second, none for two seconds.
		if n := sender.count(); n > 3 {
			t.Errorf("%d requests were refused in a second", n)
		}
		time.Sleep(10 * time.Second)
		brittle.Store(0)
		for range 50 {
			serve(g, request("/safe/x"))
			time.Sleep(200 * time.Millisecond)
		}
		if n := sender.count(); n < 40 {
			t.Errorf("%d requests were sent after the upstreams had ceased to be brittle", n)
		}
	})
}

// Guards against an upstream that starts again under its name and gets no requests for seconds,
// because a list that is older than its start names the limit of its previous incarnation.
func TestListedLimitEndsWithItsIncarnation(t *testing.T) {
	g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	list := []ratelimit.Observation{{Upstream: "a1", Limit: ratelimit.Limit{Limited: true, PerSecond: 3}}}
	answer := func(roster uint64) *steward.WatchAnswer {
		a := testAnswer()
		a.Document, a.Roster.Revision, a.LimitsRevision, a.Limits = nil, roster, roster, list
		return a
	}
	g.ApplyAnswer(answer(2), time.Now())
	if n := limitedUpstreams(g); n != 1 {
		t.Fatalf("%d upstreams count as limited", n)
	}
	restarted := answer(3)
	restarted.Roster.Upstreams[0].StartedMs = 5000
	g.ApplyAnswer(restarted, time.Now())
	if n := limitedUpstreams(g); n != 0 {
		t.Error("the limit of the previous incarnation applies to the next one")
	}
}
