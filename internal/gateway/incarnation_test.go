package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/roster"
)

// applyRunner applies a roster with one prompt runner, whose incarnation has been known since
// revision.
func applyRunner(g *Gateway, revision, startedMs uint64, others ...roster.Upstream) {
	answer := testAnswer()
	answer.Inventories, answer.StoreStates = nil, nil
	answer.Roster = &steward.RosterView{Revision: revision, Upstreams: append(others, roster.Upstream{
		ID: "l1", Service: "llm", Address: "l1:1", State: roster.Serving, Slots: 4, StartedMs: startedMs, Loaded: []roster.Loaded{{Model: "m", Version: 1}},
	})}
	g.ApplyAnswer(answer, time.Now())
}

func promptRequest(path string) *Request {
	r := request(path)
	r.Prompt = prompt(placement.Part{ID: "shared", Tokens: 9000}, placement.Part{ID: "own", Tokens: 10})
	return r
}

// Guards against state of a previous incarnation that counts for the next. A runner crashes
// and restarts under its name while a request is under way. Failures, full, a replaced address
// and weights of the previous incarnation don't apply to the new one, and the end of that
// request must not change its load.
func TestNewIncarnationStartsWithoutState(t *testing.T) {
	var g *Gateway
	g, sender := testGateway(t, func(n int, s *Send) (*Answer, error) {
		if n == 1 {
			u := g.state.upstreams["l1"]
			u.learn("m", 5)
			u.health.replaced, u.fullUntil, u.silent = true, time.Now().Add(time.Hour), true
			u.others.Requests = 3
			applyRunner(g, 3, 2000)
		}
		return nil, connectionLost()
	})
	applyRunner(g, 2, 1000)
	serve(g, promptRequest("/stream/x"))
	u := g.state.upstreams["l1"]
	if u.own != (steward.Load{}) || u.others != (steward.Load{}) || u.health != (health{}) || !u.fullUntil.IsZero() || u.silent {
		t.Errorf("state of the new incarnation: %+v", u)
	}
	if got := u.versionOf("m"); got != 1 {
		t.Errorf("the new incarnation has version %d", got)
	}
	serve(g, promptRequest("/stream/x"))
	if sender.count() != 2 || sender.sends[1].StartedMs != 2000 || sender.sends[0].StartedMs != 1000 {
		t.Errorf("%d sends", sender.count())
	}
}

// The only runner breaks a stream off because it crashes, and has restarted when the entry
// looks for another one. The new incarnation has not failed the request and may resume it.
func TestNewIncarnationMayResumeStream(t *testing.T) {
	var g *Gateway
	g, _ = testGateway(t, func(n int, s *Send) (*Answer, error) {
		if n == 1 {
			applyRunner(g, 3, 2000)
			return nil, connectionLost()
		}
		return status(200), nil
	})
	applyRunner(g, 2, 1000)
	if rec := serve(g, promptRequest("/resume/x")); rec.end != "done" {
		t.Fatalf("ends %q: %v", rec.end, rec.cause)
	}
}

// Guards against a part that is assumed in the cache of a new incarnation because the previous
// one had it, by its events or by this entry's sends. Until the control hosts send its new
// inventory, the part doesn't count as cached and can't be fetched from it; and a fetch that
// began before must not be subtracted from the new incarnation's queue.
func TestCacheOfPreviousIncarnationIsIgnored(t *testing.T) {
	g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	applyRunner(g, 2, 1000)
	s, key := g.state, cacheindex.Key{Salt: "m.1", Part: "p"}
	batch := cacheindex.Batch{Address: "l1:1", Cleared: true, Incarnation: 9, Salt: key.Salt, Parts: []string{key.Part}, Tokens: []int{9000}, Next: 4}
	applyInventories := func(next uint64) {
		g.ApplyAnswer(&steward.WatchAnswer{Term: 1, EntryCount: 1, Clock: 1000, StoreStates: testAnswer().StoreStates,
			Inventories: &cacheindex.Update{At: cacheindex.Position{Term: 1, Next: next}, Batches: []cacheindex.Batch{batch}}}, time.Now())
	}
	applyInventories(3)
	s.recent.record(key, s.upstreams["l1"].incarnation(), time.Now())
	cacheState := func() (cached, offered bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		now, engine := time.Now(), s.index.Service("llm").Engine
		stores, addresses := s.storeList(s.serving["llm"], engine, now)
		d := s.describePrompt(prompt(placement.Part{ID: key.Part, Tokens: 9000}), key.Salt, engine, s.serving["llm"], addresses, now)
		return d.prompt.Cached(0, 0), len(stores) > 1
	}
	if cached, offered := cacheState(); !cached || !offered {
		t.Fatalf("before: cached %t, offered %t", cached, offered)
	}
	p := &plan{upstream: s.upstreams["l1"], keys: []cacheindex.Key{key}, send: &Send{Request: promptRequest("/stream/x"),
		Prompt: &PromptSend{Fetch: []FetchSource{{Address: "l1:1", Tokens: 70}}}}}
	s.commit(p, time.Now())
	applyRunner(g, 3, 2000)
	if cached, offered := cacheState(); cached || offered {
		t.Errorf("in the new incarnation: cached %t, offered %t", cached, offered)
	}
	batch.Incarnation = 10
	applyInventories(5)
	if cached, offered := cacheState(); !cached || !offered {
		t.Errorf("after its own inventory: cached %t, offered %t", cached, offered)
	}
	s.release(p)
	if own := s.stores["l1:1"].own; own != 0 {
		t.Errorf("%d tokens are queued at the new incarnation", own)
	}
}

// A runner that announces a service without a route, the name of a store, or no model gets no
// requests of other services.
func TestRunnersOfUnknownServicesGetNoRequests(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	strange := func(id, service string) roster.Upstream {
		return roster.Upstream{ID: id, Service: service, Address: id + ":1", State: roster.Serving, Slots: 1000}
	}
	applyRunner(g, 2, 1000, strange("x1", "nobody"), strange("x2", "store"), strange("x3", ""), strange("a4", "llm"))
	for i := range 30 {
		r := request("/stream/x")
		r.Prompt = prompt(placement.Part{ID: fmt.Sprint("p", i), Tokens: 100})
		serve(g, r)
	}
	for _, send := range sender.sends {
		if send.Upstream != "l1" {
			t.Fatalf("sent to %s", send.Upstream)
		}
	}
	rec := &recorder{}
	g.Serve(context.Background(), request("/safe/x"), rec)
	if outcome.KindOf(rec.cause) != outcome.KindNotRun {
		t.Fatalf("a service without a runner: %v", rec.cause)
	}
}

// Guards against prompts sent to a runner that has ended, or upstreams lost, when the changes
// of a known roster are applied. Changes since a revision that the entry doesn't have must be
// ignored: the end of a runner in between would be missed.
func TestRosterChangesAreApplied(t *testing.T) {
	g, _ := testGateway(t, nil)
	serving := func() string {
		names := ""
		for _, u := range g.state.serving["llm"] {
			names += u.record.ID + " "
		}
		return names
	}
	apply := func(since, revision uint64, changed ...roster.Upstream) {
		g.ApplyAnswer(&steward.WatchAnswer{Term: 1, Roster: &steward.RosterView{Revision: revision, Since: since, Upstreams: changed}}, time.Now())
	}
	kept := g.state.upstreams["l2"]
	apply(1, 3, roster.Upstream{ID: "l1", Service: "llm", State: roster.Gone}, roster.Upstream{ID: "l3", Service: "llm", Address: "l3:1", State: roster.Serving})
	if got := serving(); got != "l2 l3 " || g.state.upstreams["l2"] != kept {
		t.Fatalf("served by %s", got)
	}
	apply(5, 6, roster.Upstream{ID: "l4", Service: "llm", Address: "l4:1", State: roster.Serving})
	if got := serving(); got != "l2 l3 " || g.state.rosterRevision != 3 {
		t.Fatalf("served by %s, at revision %d, after changes since a revision that was never received", got, g.state.rosterRevision)
	}
}
