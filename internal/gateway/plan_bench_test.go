package gateway

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/roster"
)

// BenchmarkPlan measures one decision on a prompt among 72, 300 and 12,000 runners.
func BenchmarkPlan(b *testing.B) { benchmarkPlan(b, LoadOptions{}) }

// BenchmarkPlanExpectOthers is BenchmarkPlan with the work of 63 other entries expected.
func BenchmarkPlanExpectOthers(b *testing.B) { benchmarkPlan(b, LoadOptions{ExpectOthers: true}) }

// BenchmarkPlanRunnerLinks is BenchmarkPlan with stores that are faster than the runners' links, each of
// which is occupied.
func BenchmarkPlanRunnerLinks(b *testing.B) {
	benchmarkPlan(b, LoadOptions{ShareParts: true, RunnerLinks: true})
}

func benchmarkPlan(b *testing.B, load LoadOptions) {
	for _, runners := range []int{72, 300, 12000} {
		b.Run(fmt.Sprint(runners), func(b *testing.B) {
			quiet := log.New(io.Discard)
			g, err := New(Options{Host: "e1", Sender: &scriptedSender{}, Rates: placement.DefaultRates(), Load: load, Log: quiet, Decisions: decision.New(quiet)})
			if err != nil {
				b.Fatal(err)
			}
			answer := testAnswer()
			answer.EntryCount, answer.ActiveEntries = 64, 64
			view := &steward.RosterView{Revision: 2}
			for i := range runners {
				id := fmt.Sprintf("l%d", i)
				view.Upstreams = append(view.Upstreams, roster.Upstream{ID: id, Service: "llm", Address: id + ":1", State: roster.Serving, Slots: 4,
					Loaded: []roster.Loaded{{Model: "m", Version: 1}}})
			}
			answer.Roster = view
			g.ApplyAnswer(answer, time.Now())
			if load.RunnerLinks {
				occupyLinks(g)
			}
			request := promptRequest("/stream/x")
			r, err := g.admit(context.Background(), request)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				g.state.mu.Lock()
				p, err := r.tryPlan(time.Now())
				if p == nil {
					b.Fatal(err)
				}
				g.state.cancel(p)
				g.state.mu.Unlock()
			}
		})
	}
}

// occupyLinks makes the stores faster than the runners' links and occupies these.
func occupyLinks(g *Gateway) {
	for _, store := range g.state.index.Stores() {
		store.Store.LinkMbps = 300000
	}
	g.state.index.Service("llm").Engine.LinkMbps = 100000
	for _, u := range g.state.upstreams {
		g.state.store(u.record.Address).others = 1000
	}
}
