package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/roster"
)

// crowdGateway is one of 64 entries before 30 runners, of which all but one are known to have
// pending tokens.
func crowdGateway(t *testing.T, expect bool, unread int) *Gateway {
	t.Helper()
	g, _ := testGateway(t, nil)
	g.options.Load.ExpectOthers = expect
	answer := testAnswer()
	answer.EntryCount, answer.ActiveEntries = 64, 64
	answer.Roster = &steward.RosterView{Revision: 2}
	for i := range 30 {
		id := fmt.Sprintf("r%d", i)
		answer.Roster.Upstreams = append(answer.Roster.Upstreams, roster.Upstream{ID: id, Service: "llm", Address: id + ":1", State: roster.Serving, Slots: 48,
			Loaded: []roster.Loaded{{Model: "m", Version: 1}}})
		if i > 0 {
			answer.Loads = append(answer.Loads, steward.Load{Upstream: id, Requests: 10, Tokens: 10000 + unread, Unread: unread})
		}
	}
	g.ApplyAnswer(answer, time.Now())
	return g
}

// sends returns how many of n prompts of one entry, each answered before the next, go to the
// runner without known work, and the most that go to one runner.
func sends(t *testing.T, g *Gateway, n int, now time.Time) (idle, most int) {
	t.Helper()
	counts := make(map[string]int)
	for i := range n {
		request := promptRequest("/stream/x")
		request.Prompt = prompt(placement.Part{ID: fmt.Sprint("own", i), Tokens: 300})
		r, err := g.admit(context.Background(), request)
		if err != nil {
			t.Fatal(err)
		}
		g.state.mu.Lock()
		g.state.loadsAt = now.Add(-70 * time.Millisecond)
		p, err := r.tryPlan(now)
		if p == nil {
			t.Fatal(err)
		}
		counts[p.upstream.record.ID]++
		most = max(most, counts[p.upstream.record.ID])
		g.state.cancel(p)
		g.state.mu.Unlock()
		now = now.Add(20 * time.Millisecond)
	}
	return counts["r0"], most
}

// Guards against a crowd of which all entries send to the one runner that looks free.
func TestOneFreeRunnerGetsAShareOfACrowd(t *testing.T) {
	now := time.Now()
	g := crowdGateway(t, true, 20000)
	sends(t, g, 100, now.Add(-2*time.Second)) // learns the rate
	if idle, _ := sends(t, g, 200, now); idle < 10 || idle > 100 {
		t.Errorf("%d of 200 prompts go to the free runner", idle)
	}
	if idle, _ := sends(t, crowdGateway(t, false, 20000), 200, now); idle != 200 {
		t.Errorf("%d of 200 prompts go to the free runner without the option, want all", idle)
	}
}

// Guards against a calm service that pays for a crowd: if the entry sends little or is alone, the
// free runner gets all.
func TestFreeRunnerGetsAllWithoutCrowd(t *testing.T) {
	now := time.Now()
	if idle, _ := sends(t, crowdGateway(t, true, 20000), 1, now); idle != 1 {
		t.Error("a first prompt does not go to the free runner")
	}
	g := crowdGateway(t, true, 20000)
	sends(t, g, 100, now.Add(-2*time.Second))
	g.state.activeEntries, g.state.entries = 0, 0
	if idle, _ := sends(t, g, 50, now); idle != 50 {
		t.Errorf("%d of 50 prompts go to the free runner although no other entry is known", idle)
	}
}

// Guards against absurd choices while no reports arrive: the runners get nearly even shares.
func TestRunnersGetEvenSharesWithoutReports(t *testing.T) {
	now := time.Now()
	g := crowdGateway(t, true, 20000)
	sends(t, g, 100, now.Add(-2*time.Second))
	counts := make(map[string]int)
	for i := range 600 {
		request := promptRequest("/stream/x")
		request.Prompt = prompt(placement.Part{ID: fmt.Sprint("own", i), Tokens: 300})
		r, err := g.admit(context.Background(), request)
		if err != nil {
			t.Fatal(err)
		}
		g.state.mu.Lock()
		g.state.loadsAt = now.Add(-time.Hour)
		p, err := r.tryPlan(now)
		if p == nil {
			t.Fatal(err)
		}
		if limit := int(1000 * g.state.prefillOf("llm").PerMs()); p.unreported > limit {
			t.Fatalf("%d unreported tokens are expected at a runner, more than it prefills in a second", p.unreported)
		}
		counts[p.upstream.record.ID]++
		g.state.cancel(p)
		g.state.mu.Unlock()
		now = now.Add(20 * time.Millisecond)
	}
	if len(counts) != 30 || counts["r0"] > 4*600/30 {
		t.Errorf("%d runners get prompts, the free one %d of 600", len(counts), counts["r0"])
	}
}

// Guards against a shared part that is prefilled again at one runner after the other: a long
// prompt goes to the runner that caches its shared part although others have less work.
func TestLongPromptGoesToItsSharedPart(t *testing.T) {
	now := time.Now()
	g := crowdGateway(t, true, 2000)
	sends(t, g, 100, now.Add(-2*time.Second))
	request := promptRequest("/stream/x")
	request.Prompt = prompt(placement.Part{ID: "long", Tokens: 12800}, placement.Part{ID: "own", Tokens: 4260})
	var first string
	for i := range 20 {
		r, err := g.admit(context.Background(), request)
		if err != nil {
			t.Fatal(err)
		}
		g.state.mu.Lock()
		g.state.loadsAt = now.Add(-70 * time.Millisecond)
		p, _ := r.tryPlan(now)
		if p == nil {
			t.Fatal("no runner for a long prompt")
		}
		if i == 0 {
			first = p.upstream.record.ID
		}
		if p.upstream.record.ID != first {
			t.Fatalf("prompt %d goes to %s, its shared part is at %s", i, p.upstream.record.ID, first)
		}
		g.state.cancel(p)
		g.state.mu.Unlock()
		now = now.Add(20 * time.Millisecond)
	}
}

// Guards against a plain service whose one free upstream gets the calls of all entries, and against
// more expected calls than the upstreams run.
func TestUnreportedCallsOfAPlainService(t *testing.T) {
	now := time.Now()
	g := crowdGateway(t, true, 0)
	answer := testAnswer()
	answer.ActiveEntries = 64
	answer.Loads = []steward.Load{{Upstream: "a2", Requests: 3}, {Upstream: "a3", Requests: 3}}
	answer.Roster.Revision = 3
	g.ApplyAnswer(answer, now)
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.loadsAt = now.Add(-100 * time.Millisecond)
	r := &run{gateway: g, service: "app"}
	total := func() (free, all float64) {
		requests := r.unreportedRequests(g.state, g.state.serving["app"], now)
		for i, u := range g.state.serving["app"] {
			all += requests[i]
			if u.record.ID == "a1" {
				free = requests[i]
			}
		}
		return free, all
	}
	if _, all := total(); all != 0 {
		t.Errorf("%v calls are expected of entries that send none", all)
	}
	g.state.learnedOf("app").sentWork.Add(0.3, now)
	if free, all := total(); free != all || free == 0 {
		t.Errorf("%v of %v calls are expected at the free upstream", free, all)
	}
	g.state.learnedOf("app").sentWork.Add(1000, now)
	if free, all := total(); all > 12.01 || free > all/2 {
		t.Errorf("%v calls are expected at 12 slots, %v of them at the free one", all, free)
	}
}
