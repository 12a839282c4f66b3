package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/placement"
)

// waitFor makes prompts wait for the runners of the service, all of which are full.
func waitFor(g *Gateway, index *catalog.Index, count, tokens int) []*waiter {
	s := g.state
	for _, u := range s.serving["llm"] {
		u.own.Requests, u.own.Tokens, u.own.Unread = 100, 1<<30, 1<<30
	}
	var list []*waiter
	for i := range count {
		r := &run{
			gateway: g, request: request("/stream/x"), index: index, route: index.Route("h", "/stream/x"), service: "llm",
			tried: make(map[*upstreamState]bool), deadline: time.Now().Add(time.Minute),
		}
		r.request.Prompt = prompt(placement.Part{ID: fmt.Sprint("p", i), Tokens: tokens}, placement.Part{ID: "own", Tokens: tokens / 4})
		w := &waiter{run: r, granted: make(chan *plan, 1), need: r.leastNeed(s)}
		s.enqueue(w)
		list = append(list, w)
	}
	return list
}

// Guards against an entry that uses up its processor in a crowd: at each answer it chose an upstream
// for sixteen waiting requests again, although all were full, and read closed connections late.
func TestDispatchChoosesOnlyWhereThereIsCapacity(t *testing.T) {
	for name, tokens := range map[string]int{"short": 100, "long": 12000} {
		t.Run(name, func(t *testing.T) {
			g, _ := testGateway(t, nil)
			s, index := g.state, g.Index()
			s.mu.Lock()
			defer s.mu.Unlock()
			waiting := waitFor(g, index, 40, tokens)
			now, before := time.Now(), g.meter.choices.Get()
			u := s.serving["llm"][0]
			for range 100 {
				s.dispatchTo(u, now)
				s.dispatch(now)
			}
			if made := g.meter.choices.Get() - before; made != 0 {
				t.Errorf("%d choices while all upstreams are full", made)
			}
			u.own.Requests, u.own.Tokens, u.own.Unread = 0, 0, 0
			s.dispatchTo(u, now)
			select {
			case <-waiting[0].granted:
			default:
				t.Error("the first request still waits")
			}
			granted := 40 - len(s.waiting)
			if made := int(g.meter.choices.Get() - before); made > granted+dispatchDepth {
				t.Errorf("%d choices for %d requests granted", made, granted)
			}
		})
	}
}
