package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/roster"
)

// manyRunners returns a gateway that knows n runners of one service.
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

// Guards against choices that take more processor time the more upstreams there are, and
// against a request that finds no upstream because the first ones by hash can't be used.
func TestCandidatesAreBounded(t *testing.T) {
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
			t.Errorf("%d upstreams: %d candidates", n, len(first))
		}
		if n > 2*maxCandidates && len(second) < maxCandidates {
			t.Errorf("%d upstreams: %d more candidates", n, len(second))
		}
	}
}

// Guards against a page of the roster that leaves a service's list out of order, with an
// upstream twice, or with one that is gone, to which a request would be sent.
func TestServiceListsServingUpstreams(t *testing.T) {
	g, _ := testGateway(t, nil)
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	up := func(id string, state roster.State, startedMs uint64) roster.Upstream {
		return roster.Upstream{ID: id, Service: "llm", Address: id + ":1", State: state, StartedMs: startedMs}
	}
	at := s.rosterRevision
	apply := func(since uint64, more bool, list ...roster.Upstream) {
		at++
		view := &steward.RosterView{Revision: at, Since: since, More: more, Upstreams: list}
		if !s.canApplyRoster(view, false) {
			t.Fatalf("the page since revision %d can't be applied", since)
		}
		s.applyRoster(view)
	}
	listed := func(want ...string) {
		t.Helper()
		var got []string
		for _, u := range s.serving["llm"] {
			got = append(got, u.record.ID)
			if s.upstreams[u.record.ID] != u {
				t.Errorf("the listed %s is of a previous incarnation", u.record.ID)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("listed %v, want %v", got, want)
		}
	}
	apply(0, true, up("b", roster.Serving, 1), up("a", roster.Serving, 1))
	apply(at, false, up("c", roster.Serving, 1))
	listed("a", "b", "c")
	apply(at, false, up("b", roster.Leaving, 1), up("a", roster.Serving, 2))
	listed("a", "c")
	apply(at, false, up("b", roster.Serving, 3), up("c", roster.Gone, 1))
	listed("a", "b")
	// A complete roster starts: known upstreams stay in use until its last page.
	apply(0, true, up("d", roster.Serving, 1))
	listed("a", "b", "d")
	apply(at, false, up("b", roster.Serving, 3))
	listed("b", "d")
	if len(s.upstreams) != 2 {
		t.Errorf("%d upstreams are known, want 2", len(s.upstreams))
	}
	if s.canApplyRoster(&steward.RosterView{Revision: 1}, true) {
		t.Error("a late answer starts a complete roster")
	}
}

// Guards against a request that is sent after its deadline or after its caller left, because
// the process was suspended while the request waited for capacity.
func TestStillWantedAfterDeadlineOrCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := testGateway(t, nil)
		r, err := g.admit(context.Background(), promptRequest("/stream/x"))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		if err := r.stillWanted(ctx); err != nil {
			t.Errorf("before the deadline: %v", err)
		}
		cancel()
		if err := r.stillWanted(ctx); !errors.Is(err, errCallerGone) {
			t.Errorf("after the caller left: %v", err)
		}
		time.Sleep(time.Until(r.deadline))
		var late *outcome.NotRun
		if err := r.stillWanted(context.Background()); !errors.As(err, &late) || late.Reason != outcome.ReasonDeadline {
			t.Errorf("after the deadline: %v", err)
		}
	})
}

// Guards against a request that is admitted under a configuration that the latest answer has
// replaced, because the check of its age comes after that answer.
func TestRequestIsAdmittedUnderRenewedConfiguration(t *testing.T) {
	g, _ := testGateway(t, nil)
	replaced := *g.Index().Document()
	replaced.Version++
	g.options.ConfigExpired = func(time.Time) bool {
		g.state.mu.Lock()
		defer g.state.mu.Unlock()
		g.state.adopt(catalog.NewIndex(&replaced))
		return false
	}
	r, err := g.admit(context.Background(), promptRequest("/stream/x"))
	if err != nil {
		t.Fatal(err)
	}
	if r.index.Version() != replaced.Version {
		t.Errorf("admitted under version %d, in force is %d", r.index.Version(), replaced.Version)
	}
}

// Guards against requests served by a configuration that may have been replaced: they are
// refused as not run, and the entry is announced as not ready.
func TestExpiredConfigurationRefusesRequests(t *testing.T) {
	g, _ := testGateway(t, nil)
	expired := false
	g.options.ConfigExpired = func(time.Time) bool { return expired }
	if _, err := g.admit(context.Background(), promptRequest("/stream/x")); err != nil || !g.Ready() {
		t.Fatalf("ready %v: %v", g.Ready(), err)
	}
	expired = true
	var refused *outcome.NotRun
	if _, err := g.admit(context.Background(), promptRequest("/stream/x")); !errors.As(err, &refused) || refused.RetryAfter == 0 || g.Ready() {
		t.Errorf("ready %v: %v", g.Ready(), err)
	}
}
