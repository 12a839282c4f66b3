package gateway

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/roster"
)

// Guards against requests to an upstream that states in its answers that it leaves, while the
// control hosts, which this entry may be cut off from, still list it as serving.
func TestUpstreamThatStatesThatItLeavesGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := testGateway(t, func(_ int, s *Send) (*Answer, error) {
			a := stream(io.EOF, "1")
			if s.Upstream == "l1" {
				a.Leaving = true
			}
			return a, nil
		})
		served := make(map[string]int)
		for range 40 {
			serve(g, request("/resume/x"))
			served[sender.sends[sender.count()-1].Upstream]++
			time.Sleep(10 * time.Millisecond)
		}
		if served["l1"] > 1 || served["l2"] < 39 {
			t.Errorf("served by %v", served)
		}
		g.state.mu.Lock()
		record := g.state.upstreams["l1"].record
		record.Sequence++
		g.state.applyUpstream(record)
		last := g.state.upstreams["l2"].record
		last.State = roster.Gone
		g.state.applyUpstream(last)
		g.state.upstreams["l1"].leaving = true
		g.state.mu.Unlock()
		var refused *outcome.NotRun
		before := sender.count()
		if rec := serve(g, request("/resume/x")); !errors.As(rec.cause, &refused) || sender.count() != before {
			t.Errorf("the only upstream leaves: %v after %d sends", rec.cause, sender.count()-before)
		}
		record.StartedMs = 5000
		g.state.mu.Lock()
		g.state.applyUpstream(record)
		g.state.mu.Unlock()
		if serve(g, request("/resume/x")); sender.count() != before+1 {
			t.Error("the next incarnation gets no request")
		}
	})
}
