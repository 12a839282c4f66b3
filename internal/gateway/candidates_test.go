package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/roster"
)

// manyRunners is a gateway that knows n runners of one service.
func manyRunners(t *testing.T, n int) *Gateway {
	t.Helper()
	g, _ := testGateway(t, nil)
	answer := testAnswer()
	view := &steward.RosterView{Revision: 2}
	for i := range n {
		id := fmt.Sprintf("l%05d", i)
		view.Upstreams = append(view.Upstreams, roster.Upstream{ID: id, Service: "llm", Address: id + ":1", State: roster.Serving,
			Slots: 4, Loaded: []roster.Loaded{{Model: "m", Version: 1}}})
	}
	answer.Roster = view
	g.ApplyAnswer(answer, time.Now())
	return g
}

// Guards against choices that take an entry's processor longer the more upstreams there
// are, and against a request that finds no upstream because those that come first for it
// can't be used.
func TestAChoiceIsMadeAmongAFewOfManyUpstreams(t *testing.T) {
	for _, n := range []int{60, 3000, 12000} {
		g := manyRunners(t, n)
		r, err := g.admit(context.Background(), promptRequest("/stream/x"))
		if err != nil {
			t.Fatal(err)
		}
		g.state.mu.Lock()
		first, _ := r.candidates(g.state, time.Now())
		for _, u := range first {
			r.tried[u] = true
		}
		second, _ := r.candidates(g.state, time.Now())
		g.state.mu.Unlock()
		if want := min(n, maxCandidates); len(first) < want || len(first) > maxCandidates+randomCandidates {
			t.Errorf("of %d: %d candidates", n, len(first))
		}
		if n > 2*maxCandidates && len(second) < maxCandidates {
			t.Errorf("of %d: %d more candidates", n, len(second))
		}
	}
}

// Guards against a roster's page that leaves a service's list out of order, with an
// upstream twice, or with one that is gone: a request would be sent there.
func TestServicesListThoseThatServe(t *testing.T) {
	g, _ := testGateway(t, nil)
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	up := func(id string, state roster.State, born uint64) roster.Upstream {
		return roster.Upstream{ID: id, Service: "llm", Address: id + ":1", State: state, StartedMs: born}
	}
	at := s.rosterRevision
	tell := func(since uint64, more bool, list ...roster.Upstream) {
		at++
		view := &steward.RosterView{Revision: at, Since: since, More: more, Upstreams: list}
		if !s.canApplyRoster(view, false) {
			t.Fatalf("a page from %d on is not taken in", since)
		}
		s.applyRoster(view)
	}
	listed := func(want ...string) {
		t.Helper()
		var got []string
		for _, u := range s.serving["llm"] {
			got = append(got, u.record.ID)
			if s.upstreams[u.record.ID] != u {
				t.Errorf("%s is listed in a former life", u.record.ID)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("listed %v, want %v", got, want)
		}
	}
	tell(0, true, up("b", roster.Serving, 1), up("a", roster.Serving, 1))
	tell(at, false, up("c", roster.Serving, 1))
	listed("a", "b", "c")
	tell(at, false, up("b", roster.Leaving, 1), up("a", roster.Serving, 2))
	listed("a", "c")
	tell(at, false, up("b", roster.Serving, 3), up("c", roster.Gone, 1))
	listed("a", "b")
	// A roster that begins anew: what is held is used until its last page has come.
	tell(0, true, up("d", roster.Serving, 1))
	listed("a", "b", "d")
	tell(at, false, up("b", roster.Serving, 3))
	listed("b", "d")
	if len(s.upstreams) != 2 {
		t.Errorf("%d are known", len(s.upstreams))
	}
	if s.canApplyRoster(&steward.RosterView{Revision: 1}, true) {
		t.Error("a late answer begins the roster anew")
	}
}

// Guards against a request that is sent after its time was up, or its caller gone: the
// process stood still while it waited for room.
func TestNothingIsSentThatNobodyWaitsFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := testGateway(t, nil)
		r, err := g.admit(context.Background(), promptRequest("/stream/x"))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		if err := r.stillWanted(ctx); err != nil {
			t.Errorf("in time: %v", err)
		}
		cancel()
		if err := r.stillWanted(ctx); !errors.Is(err, errCallerGone) {
			t.Errorf("the caller has gone: %v", err)
		}
		time.Sleep(time.Until(r.deadline))
		var late *outcome.NotRun
		if err := r.stillWanted(context.Background()); !errors.As(err, &late) || late.Reason != outcome.ReasonDeadline {
			t.Errorf("the time is up: %v", err)
		}
	})
}

// Guards against requests served by a configuration that may have been replaced: they are
// refused as not run, and the directory is told that the entry takes none.
func TestAnEntryThatMayServeByAnOldConfigurationRefuses(t *testing.T) {
	g, _ := testGateway(t, nil)
	lapsed := false
	g.options.ConfigExpired = func(time.Time) bool { return lapsed }
	if _, err := g.admit(context.Background(), promptRequest("/stream/x")); err != nil || !g.Ready() {
		t.Fatalf("ready %v: %v", g.Ready(), err)
	}
	lapsed = true
	var refused *outcome.NotRun
	if _, err := g.admit(context.Background(), promptRequest("/stream/x")); !errors.As(err, &refused) || refused.RetryAfter == 0 || g.Ready() {
		t.Errorf("ready %v: %v", g.Ready(), err)
	}
}
