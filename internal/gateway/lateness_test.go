package gateway

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/roster"
)

// rankedRunner answers requests of a rank below the first ones after seconds, as a runner does that
// others keep busy.
func rankedRunner(n int, s *Send) (*Answer, error) {
	first := 200 * time.Millisecond
	if s.Rank > 0 {
		first = 3 * time.Second
	}
	return &Answer{Status: 200, Body: &delayedBody{first: first, rest: 100 * time.Millisecond}}, nil
}

// stall makes all runners busy with other entries' requests from now on, or ends that.
func stall(g *Gateway, stalled bool) {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	for _, u := range g.state.serving["llm"] {
		u.others.Requests = 0
		if stalled {
			u.others.Requests = 100
		}
	}
	g.state.dispatch(time.Now())
}

// Guards against late requests that make others late: runners answer them seconds late, since they
// rank behind others. If that counted as the time that answers take to begin, each request that has
// waited for a part of its target would be sent as late, and would be. Also while a runner is lost.
func TestLateAnswersMakeNoOthersLate(t *testing.T) {
	for name, lose := range map[string]bool{"all runners": false, "one is lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var lost atomic.Bool
				g, _ := sharesGateway(t, LoadOptions{TeamShares: true}, func(n int, s *Send) (*Answer, error) {
					if lost.Load() && s.Upstream == "l1" {
						return nil, dialRefused()
					}
					return rankedRunner(n, s)
				})
				c := newCallers(g)
				c.small = true
				stall(g, true)
				for i := range 16 {
					c.send("late", i, i, 0)
				}
				time.Sleep(1200 * time.Millisecond)
				stall(g, false)
				time.Sleep(12 * time.Second)
				if lose {
					lost.Store(true)
					answer := testAnswer()
					answer.Document = nil
					answer.Roster.Revision, answer.Roster.Upstreams[3].State = 2, roster.Leaving
					g.ApplyAnswer(answer, time.Now())
				}
				stall(g, true)
				for i := range 6 {
					c.send("waiting", i, i, 0)
				}
				time.Sleep(350 * time.Millisecond)
				stall(g, false)
				c.all.Wait()
				t.Logf("late: %d of %d served; waiting: %d of %d in time", c.served["late"], c.sent["late"], c.inTime["waiting"], c.sent["waiting"])
				if c.served["late"] == 0 {
					t.Error("no late request is answered")
				}
				if c.share("waiting") < 1 {
					t.Errorf("%d of %d requests that waited for less than half of their target are in time", c.inTime["waiting"], c.sent["waiting"])
				}
				if n := g.state.waitingCount(); n != 0 {
					t.Errorf("%d requests are left waiting", n)
				}
			})
		})
	}
}

// Guards against long prompts of first attempts that wait late at all entries for the memory that
// upstreams free: they are refused while another entry may serve them in time. Small ones, and callers that
// have come back, wait on.
func TestLargeFirstAttemptsWaitForAShareOfTheirTarget(t *testing.T) {
	g, _ := sharesGateway(t, LoadOptions{TeamShares: true}, nil)
	now, route := time.Now(), g.Index().Route("h", "/stream/x")
	for name, test := range map[string]struct {
		tokens int
		left   time.Duration
		wait   time.Duration
	}{
		"large": {9000, 5 * time.Second, 300 * time.Millisecond},
		"small": {100, 5 * time.Second, 1200 * time.Millisecond},
		"retry": {9000, 4 * time.Second, 1200 * time.Millisecond},
	} {
		r := &run{
			gateway: g, service: "llm", route: route, usualWait: 5 * time.Second, deadline: now.Add(test.left),
			request: &Request{Arrived: now, Prompt: prompt(placement.Part{ID: "p", Tokens: test.tokens})},
		}
		if wait := r.longestWait(waitLimits{}, now); wait != test.wait {
			t.Errorf("%s: waits for %v, want %v", name, wait, test.wait)
		}
	}
}
