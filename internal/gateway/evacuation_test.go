package gateway

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/evacuation"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
)

// spreadOverDataCentres places the upstreams alternately in two data centres.
func spreadOverDataCentres(g *Gateway) {
	answer := testAnswer()
	answer.Inventories, answer.StoreStates = nil, nil
	for i := range answer.Roster.Upstreams {
		answer.Roster.Upstreams[i].DataCentre = []string{"north", "south"}[i%2]
	}
	answer.Roster.Revision = 2
	g.ApplyAnswer(answer, time.Now())
}

func evacuate(g *Gateway, revision uint64, dataCentres ...string) {
	g.ApplyAnswer(&steward.WatchAnswer{Partial: true, Evacuation: &evacuation.View{Revision: revision, DataCentres: dataCentres}}, time.Now())
}

// Guards against requests sent to a data centre after its evacuation is in force, by first
// sends, retries, resumed streams and prompts whose parts are cached there.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	g, sender := testGateway(t, func(n int, s *Send) (*Answer, error) {
		if n%2 == 1 {
			return nil, connectionLost()
		}
		return stream(io.EOF, "1"), nil
	})
	spreadOverDataCentres(g)
	evacuate(g, 1, "south")
	for range 20 {
		serve(g, request("/safe/x"))
		r := request("/resume/x")
		r.Prompt = prompt(placement.Part{ID: "kept", Tokens: 9000}, placement.Part{ID: "own", Tokens: 10})
		serve(g, r)
	}
	if sender.count() < 40 {
		t.Errorf("%d sends", sender.count())
	}
	for _, send := range sender.sends {
		if send.Upstream == "a2" || send.Upstream == "l1" {
			t.Fatalf("sent to %s", send.Upstream)
		}
	}
	evacuate(g, 2)
	sent := sender.count()
	for range 40 {
		serve(g, request("/unsafe/x"))
	}
	back := false
	for _, send := range sender.sends[sent:] {
		back = back || send.Upstream == "a2"
	}
	if !back {
		t.Error("no request is sent there after the evacuation is withdrawn")
	}
}

// Guards against a stale answer that undoes an evacuation.
func TestStaleAnswerDoesNotUndoEvacuation(t *testing.T) {
	g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	evacuate(g, 2, "south")
	evacuate(g, 1)
	if ask := g.NextRequest(); ask.Evacuation != 2 || !g.state.evacuation.Evacuated("south") {
		t.Errorf("revision %d", ask.Evacuation)
	}
}

// Guards against callers that wait for nothing: if all data centres of a service are
// evacuated, a request is refused immediately as not run, with a time to retry.
func TestAllDataCentresEvacuatedRefusesImmediately(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	spreadOverDataCentres(g)
	evacuate(g, 1, "north", "south")
	began := time.Now()
	got := serve(g, request("/safe/x"))
	var unsent *outcome.NotRun
	if sender.count() != 0 || !errors.As(got.cause, &unsent) || unsent.RetryAfter == 0 || time.Since(began) > time.Second {
		t.Errorf("%d sends, after %v: %v", sender.count(), time.Since(began), got.cause)
	}
}

// Guards against recomputing what an evacuated runner has cached: other runners fetch it.
func TestEvacuatedRunnerIsFetchSource(t *testing.T) {
	g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
	spreadOverDataCentres(g)
	evacuate(g, 1, "south")
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	candidates := []*upstreamState{g.state.upstreams["l2"]}
	if with := g.state.withEvacuated(candidates); len(with) != 2 || with[1].record.ID != "l1" || len(candidates) != 1 {
		t.Errorf("%d sources", len(with))
	}
}
