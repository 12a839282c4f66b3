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

// spreadOver places the test's upstreams in two data centres, by turns.
func spreadOver(g *Gateway) {
	answer := testAnswer()
	answer.Inventories, answer.StoreStates = nil, nil
	for i := range answer.Roster.Upstreams {
		answer.Roster.Upstreams[i].DataCentre = []string{"north", "south"}[i%2]
	}
	answer.Roster.Revision = 2
	g.ApplyAnswer(answer, time.Now())
}

func evacuated(g *Gateway, revision uint64, dataCentres ...string) {
	g.ApplyAnswer(&steward.WatchAnswer{Partial: true, Evacuation: &evacuation.View{Revision: revision, DataCentres: dataCentres}}, time.Now())
}

// Guards against work that is sent to a data centre after its evacuation is in force, by
// first sends, repeats, resumed streams and prompts whose parts lie there.
func TestNothingIsSentToAnEvacuatedDataCentre(t *testing.T) {
	g, sender := testGateway(t, func(n int, s *Send) (*Answer, error) {
		if n%2 == 1 {
			return nil, lost()
		}
		return stream(io.EOF, "1"), nil
	})
	spreadOver(g)
	evacuated(g, 1, "south")
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
	evacuated(g, 2)
	sent := sender.count()
	for range 40 {
		serve(g, request("/unsafe/x"))
	}
	back := false
	for _, send := range sender.sends[sent:] {
		back = back || send.Upstream == "a2"
	}
	if !back {
		t.Error("nothing is sent there after the withdrawal")
	}
}

// Guards against an older word, which comes late, that undoes an evacuation.
func TestALateWordDoesNotUndoAnEvacuation(t *testing.T) {
	g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	evacuated(g, 2, "south")
	evacuated(g, 1)
	if ask := g.NextRequest(); ask.Evacuation != 2 || !g.state.evacuation.Evacuated("south") {
		t.Errorf("revision %d", ask.Evacuation)
	}
}

// Guards against callers that wait for nothing: where all data centres of a service are
// evacuated, they are told at once that it has not run, and when to come back.
func TestAllEvacuatedIsToldAtOnce(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	spreadOver(g)
	evacuated(g, 1, "north", "south")
	began := time.Now()
	got := serve(g, request("/safe/x"))
	var unsent *outcome.NotRun
	if sender.count() != 0 || !errors.As(got.cause, &unsent) || unsent.RetryAfter == 0 || time.Since(began) > time.Second {
		t.Errorf("%d sends, after %v: %v", sender.count(), time.Since(began), got.cause)
	}
}

// Guards against reading again what an evacuated runner holds: others fetch it there.
func TestAnEvacuatedRunnerIsASource(t *testing.T) {
	g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
	spreadOver(g)
	evacuated(g, 1, "south")
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	candidates := []*upstreamState{g.state.upstreams["l2"]}
	if with := g.state.withEvacuated(candidates); len(with) != 2 || with[1].record.ID != "l1" || len(candidates) != 1 {
		t.Errorf("%d sources", len(with))
	}
}
