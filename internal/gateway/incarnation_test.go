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

// tell has the gateway learn of a roster of one prompt runner, in a life of which
// the hosts have known since revision.
func tell(g *Gateway, revision, born uint64, others ...roster.Upstream) {
	answer := testAnswer()
	answer.Inventories, answer.StoreStates = nil, nil
	answer.Roster = &steward.RosterView{Revision: revision, Upstreams: append(others, roster.Upstream{
		ID: "l1", Service: "llm", Address: "l1:1", State: roster.Serving, Slots: 4, StartedMs: born, Loaded: []roster.Loaded{{Model: "m", Version: 1}},
	})}
	g.ApplyAnswer(answer, time.Now())
}

func promptRequest(path string) *Request {
	r := request(path)
	r.Prompt = prompt(placement.Part{ID: "shared", Tokens: 9000}, placement.Part{ID: "own", Tokens: 10})
	return r
}

// A caller's request is under way when its runner crashes and starts again under
// its name. What the entry held against the former life or for it (failures, full,
// another's address, weights it had) says nothing of the new one, and the end of
// that request must not count against the room of the new life.
func TestNothingOfAFormerLifeIsHeldOfTheNext(t *testing.T) {
	var g *Gateway
	g, sender := testGateway(t, func(n int, s *Send) (*Answer, error) {
		if n == 1 {
			u := g.state.upstreams["l1"]
			u.learn("m", 5)
			u.health.replaced, u.fullUntil, u.silent = true, time.Now().Add(time.Hour), true
			u.others.Requests = 3
			tell(g, 3, 2000)
		}
		return nil, lost()
	})
	tell(g, 2, 1000)
	serve(g, promptRequest("/stream/x"))
	u := g.state.upstreams["l1"]
	if u.own != (steward.Load{}) || u.others != (steward.Load{}) || u.health != (health{}) || !u.fullUntil.IsZero() || u.silent {
		t.Errorf("held of the new life: %+v", u)
	}
	if got := u.versionOf("m"); got != 1 {
		t.Errorf("the new life is believed to have version %d", got)
	}
	serve(g, promptRequest("/stream/x"))
	if sender.count() != 2 || sender.sends[1].StartedMs != 2000 || sender.sends[0].StartedMs != 1000 {
		t.Errorf("%d sends", sender.count())
	}
}

// The only runner breaks a stream off because it crashes. It has started again
// when the entry looks for another one: the new life has failed nobody.
func TestNewLifeMayTakeUpWhatTheFormerBrokeOff(t *testing.T) {
	var g *Gateway
	g, _ = testGateway(t, func(n int, s *Send) (*Answer, error) {
		if n == 1 {
			tell(g, 3, 2000)
			return nil, lost()
		}
		return status(200), nil
	})
	tell(g, 2, 1000)
	if rec := serve(g, promptRequest("/resume/x")); rec.ends != "done" {
		t.Fatalf("ends %q: %v", rec.ends, rec.cause)
	}
}

// The former life had a prompt's part in its cache, by its events and by what this
// entry sent it; the next begins with nothing. Until the hosts have told its own
// shelf anew, neither is believed, nor may others fetch from it; and a fetch that
// began before must not be taken off the new life's account.
func TestCacheOfAFormerLifeIsNotBelieved(t *testing.T) {
	g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	tell(g, 2, 1000)
	s, key := g.state, cacheindex.Key{Salt: "m.1", Part: "p"}
	sheet := cacheindex.Batch{Address: "l1:1", Cleared: true, Incarnation: 9, Salt: key.Salt, Parts: []string{key.Part}, Tokens: []int{9000}, Next: 4}
	shelves := func(next uint64) {
		g.ApplyAnswer(&steward.WatchAnswer{Term: 1, EntryCount: 1, Clock: 1000, StoreStates: testAnswer().StoreStates,
			Inventories: &cacheindex.Update{At: cacheindex.Position{Term: 1, Next: next}, Batches: []cacheindex.Batch{sheet}}}, time.Now())
	}
	shelves(3)
	s.recent.record(key, s.upstreams["l1"].incarnation(), time.Now())
	believed := func() (cached, offered bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		now, engine := time.Now(), s.index.Service("llm").Engine
		stores, addresses := s.storeList(s.serving["llm"], engine, now)
		d := s.describePrompt(prompt(placement.Part{ID: key.Part, Tokens: 9000}), key.Salt, engine, s.serving["llm"], addresses, now)
		return d.prompt.Cached(0, 0), len(stores) > 1
	}
	if cached, offered := believed(); !cached || !offered {
		t.Fatalf("before: cached %t, offered %t", cached, offered)
	}
	p := &plan{upstream: s.upstreams["l1"], keys: []cacheindex.Key{key}, send: &Send{Request: promptRequest("/stream/x"),
		Prompt: &PromptSend{Fetch: []FetchSource{{Address: "l1:1", Tokens: 70}}}}}
	s.commit(p, time.Now())
	tell(g, 3, 2000)
	if cached, offered := believed(); cached || offered {
		t.Errorf("of the next life: cached %t, offered %t", cached, offered)
	}
	sheet.Incarnation = 10
	shelves(5)
	if cached, offered := believed(); !cached || !offered {
		t.Errorf("after its own word: cached %t, offered %t", cached, offered)
	}
	s.release(p)
	if own := s.stores["l1:1"].own; own != 0 {
		t.Errorf("%d tokens are under way from the new life", own)
	}
}

// A runner that announces a service without a route, or a store's name, and one
// that has no model, get no request of others.
func TestRunnersOfUnknownServicesGetNothing(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	strange := func(id, service string) roster.Upstream {
		return roster.Upstream{ID: id, Service: service, Address: id + ":1", State: roster.Serving, Slots: 1000}
	}
	tell(g, 2, 1000, strange("x1", "nobody"), strange("x2", "store"), strange("x3", ""), strange("a4", "llm"))
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

// A runner ends and another starts, and an entry is told these two of a roster that it
// holds. Prompts sent to the one that ended would be lost, and the others must stay. What
// changed since a revision that the entry has not come to must change nothing: the end
// of a runner in between would never be heard of.
func TestChangesOfTheRosterAreTakenIn(t *testing.T) {
	g, _ := testGateway(t, nil)
	serving := func() string {
		names := ""
		for _, u := range g.state.serving["llm"] {
			names += u.record.ID + " "
		}
		return names
	}
	tell := func(since, revision uint64, changed ...roster.Upstream) {
		g.ApplyAnswer(&steward.WatchAnswer{Term: 1, Roster: &steward.RosterView{Revision: revision, Since: since, Upstreams: changed}}, time.Now())
	}
	kept := g.state.upstreams["l2"]
	tell(1, 3, roster.Upstream{ID: "l1", Service: "llm", State: roster.Gone}, roster.Upstream{ID: "l3", Service: "llm", Address: "l3:1", State: roster.Serving})
	if got := serving(); got != "l2 l3 " || g.state.upstreams["l2"] != kept {
		t.Fatalf("served by %s", got)
	}
	tell(5, 6, roster.Upstream{ID: "l4", Service: "llm", Address: "l4:1", State: roster.Serving})
	if got := serving(); got != "l2 l3 " || g.state.rosterRevision != 3 {
		t.Fatalf("served by %s, at revision %d, after changes since one that was never told", got, g.state.rosterRevision)
	}
}
