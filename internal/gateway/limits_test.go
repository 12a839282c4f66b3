package gateway

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/ratelimit"
)

// limited returns a success of an upstream that names a limit.
func limited(perSecond float64) *Answer {
	a := status(200)
	a.Limit = &ratelimit.Limit{Limited: true, PerSecond: perSecond}
	return a
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

// Guards against retries that don't count against an upstream's limit: an upstream in need fails
// more requests, and each of them would reach another one that is in need too.
func TestRetriesCountAgainstLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) {
			a := limited(1)
			a.Status = 500
			return a, nil
		})
		for range 300 {
			go serve(g, request("/safe/x"))
			time.Sleep(20 * time.Millisecond)
		}
		// Each of the three upstreams is sent some requests before its limit is known.
		if n := sender.count(); n > 3*(limitSlack+int(limitFactor*6)) {
			t.Errorf("%d sends to three upstreams with a limit of 1 a second in 6 s", n)
		}
	})
}

// Guards against a limit that is still kept when the upstream has ended it, and against one that is
// dropped because of an answer to an earlier request that arrives late.
func TestLimitEndsWithALaterAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := testGateway(t, func(_ int, s *Send) (*Answer, error) {
			if s.Request.ID == "slow" {
				time.Sleep(500 * time.Millisecond)
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
			serve(g, request("/unsafe/x"))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		if n := g.state.limitedCount(); n != 3 {
			t.Fatalf("%d of 3 upstreams count as limited", n)
		}
		for range 20 {
			later := request("/unsafe/x")
			later.ID = "slow"
			serve(g, later)
		}
		if n := g.state.limitedCount(); n != 0 {
			t.Errorf("%d upstreams count as limited that named no limit", n)
		}
	})
}

// Guards against entries that send a brittle upstream further requests right after it refused one,
// and against one that is spared for good.
func TestBrittleUpstreamIsSparedAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		brittle := 1
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) {
			a := refusal(Full)
			a.Brittle = brittle
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
		brittle = 0
		for range 50 {
			serve(g, request("/safe/x"))
			time.Sleep(200 * time.Millisecond)
		}
		if n := sender.count(); n < 40 {
			t.Errorf("%d requests were sent after the upstreams had ceased to be brittle", n)
		}
	})
}
