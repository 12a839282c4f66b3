package gateway

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/partition"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/roster"
)

// dividedGateway returns a gateway with 20 runners of which a quarter serve short prompts.
func dividedGateway(t *testing.T) (*Gateway, *scriptedSender) {
	t.Helper()
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
	g.options.Load.UnevenUpstreams = true
	view := &steward.RosterView{Revision: 2}
	for i := range 20 {
		id := fmt.Sprint("l", i)
		view.Upstreams = append(view.Upstreams, roster.Upstream{ID: id, Service: "llm", Address: id + ":1", State: roster.Serving, Slots: 4,
			Loaded: []roster.Loaded{{Model: "m", Version: 1}}})
	}
	g.ApplyAnswer(&steward.WatchAnswer{Term: 1, Roster: view}, time.Now())
	l := g.state.learnedOf("llm")
	for range 100 {
		l.divided.work.Observe(true, 1)
		l.divided.work.Observe(false, 3)
	}
	return g, sender
}

// sized is a request with a short or a long prompt.
func sized(i int, small bool) *Request {
	tokens := 20000
	if small {
		tokens = 300
	}
	r := request("/stream/x")
	r.Prompt = prompt(placement.Part{ID: fmt.Sprint("p", i), Tokens: tokens})
	return r
}

// Guards against short prompts that stand behind long ones: while there is capacity, no runner gets
// prompts of both sizes. A part whose runners are lost, or have none, is served by the other one.
func TestPromptsOfBothSizesHaveRunnersOfTheirOwn(t *testing.T) {
	g, sender := dividedGateway(t)
	sizes := make(map[string][2]int)
	for i := range 200 {
		small := i%2 == 0
		if rec := serve(g, sized(i, small)); rec.end != "done" {
			t.Fatalf("a prompt ends %q: %v", rec.end, rec.cause)
		}
		got := sizes[sender.sends[i].Upstream]
		got[i%2]++
		sizes[sender.sends[i].Upstream] = got
	}
	short := 0
	for id, n := range sizes {
		if n[0] > 0 && n[1] > 0 {
			t.Errorf("%s gets %d short prompts and %d long ones", id, n[0], n[1])
		}
		if n[0] > 0 {
			short++
		}
	}
	if short == 0 || short > 6 {
		t.Errorf("%d of 20 runners get short prompts, want up to 6", short)
	}
	s := g.state
	division := s.divisionOf("llm", time.Now())
	for name, lose := range map[string]func(u *upstreamState){
		"full":    func(u *upstreamState) { u.others.Requests = 100 },
		"ejected": func(u *upstreamState) { u.others.Requests = 0; u.health.ejectedUntil = time.Now().Add(time.Minute) },
	} {
		s.mu.Lock()
		for _, u := range s.serving["llm"] {
			if division.Serves(partition.Rank(u.record.ID), true) {
				lose(u)
			}
		}
		s.mu.Unlock()
		before := sender.count()
		for i := range 20 {
			serve(g, sized(1000+i, true))
		}
		for _, send := range sender.sends[before:] {
			if division.Serves(partition.Rank(send.Upstream), true) {
				t.Errorf("%s: a short prompt is sent to %s", name, send.Upstream)
			}
		}
		if n := sender.count() - before; n != 20 {
			t.Errorf("%s: %d of 20 short prompts are sent", name, n)
		}
	}
}

// Guards against a division without the option.
func TestRunnersServeAllSizesWithoutOption(t *testing.T) {
	g, sender := dividedGateway(t)
	g.options.Load.UnevenUpstreams = false
	both := make(map[string]int)
	for i := range 400 {
		serve(g, sized(i, i%2 == 0))
		both[sender.sends[i].Upstream] |= 1 << (i % 2)
	}
	shared := 0
	for _, b := range both {
		if b == 3 {
			shared++
		}
	}
	if shared < 15 {
		t.Errorf("%d of 20 runners get prompts of both sizes", shared)
	}
}
