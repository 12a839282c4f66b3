package gateway

import (
	"fmt"
	"io"
	"math"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/roster"
)

// stating returns a script whose answers state a factor for one upstream and the usual time for the
// others.
func stating(slow string, factor float64) func(int, *Send) (*Answer, error) {
	return func(_ int, s *Send) (*Answer, error) {
		a := stream(io.EOF, "1")
		a.Load = &Load{Running: 1, Slots: 4, Slowdown: 1}
		if s.Upstream == slow {
			a.Load.Slowdown = factor
		}
		return a, nil
	}
}

// shareOf serves requests and returns the share that one upstream gets.
func shareOf(g *Gateway, sender *scriptedSender, upstream string, requests int, next func(i int) *Request) float64 {
	before, got := sender.count(), 0
	for i := range requests {
		serve(g, next(i))
	}
	for _, s := range sender.sends[before:] {
		if s.Upstream == upstream {
			got++
		}
	}
	return float64(got) / float64(requests)
}

func plainRequest(int) *Request { return request("/safe/x") }

func ownPrompt(i int) *Request {
	r := request("/stream/x")
	r.Prompt = prompt(placement.Part{ID: fmt.Sprint("p", i), Tokens: 30000})
	return r
}

// An upstream whose host is busy with other work states that it takes four times as long. It gets
// less than a third of its usual share while it says so, and its share again after a restart.
func TestStatedSlownessMovesRequests(t *testing.T) {
	for name, c := range map[string]struct {
		upstream string
		usual    float64
		next     func(int) *Request
	}{
		"plain": {"a2", 1.0 / 3, plainRequest}, "prompts": {"l2", 1.0 / 2, ownPrompt},
	} {
		t.Run(name, func(t *testing.T) {
			g, sender := testGateway(t, stating(c.upstream, 4))
			g.options.Load.UnevenUpstreams = true
			shareOf(g, sender, c.upstream, 100, c.next)
			if share := shareOf(g, sender, c.upstream, 300, c.next); share > c.usual/3 {
				t.Errorf("the slow upstream gets %.2f of the requests, usually %.2f", share, c.usual)
			}
			sender.script = stating("", 1)
			old := g.state.upstreams[c.upstream].record
			old.StartedMs++
			g.ApplyAnswer(&steward.WatchAnswer{Term: 1, Roster: &steward.RosterView{Revision: 2, Upstreams: []roster.Upstream{old}}}, time.Now())
			if share := shareOf(g, sender, c.upstream, 300, c.next); share < c.usual/2 {
				t.Errorf("after a restart it gets %.2f of the requests, usually %.2f", share, c.usual)
			}
		})
	}
}

// Guards against wild statements: an upstream can't keep all requests away from the others, and
// without the option nothing changes.
func TestWildStatementsMoveNothingElse(t *testing.T) {
	for _, factor := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		g, sender := testGateway(t, stating("a2", factor))
		g.options.Load.UnevenUpstreams = true
		if share := shareOf(g, sender, "a2", 300, plainRequest); share < 1.0/6 {
			t.Errorf("stating %v, an upstream gets %.2f of the requests, usually 0.33", factor, share)
		}
	}
	g, sender := testGateway(t, stating("a2", 4))
	if share := shareOf(g, sender, "a2", 300, plainRequest); share < 1.0/6 {
		t.Errorf("without the option, an upstream gets %.2f of the requests, usually 0.33", share)
	}
}
