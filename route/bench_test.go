package route

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// heapBytes returns the number of live bytes on the heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkState measures the memory held per upstream in a Planner and per prompt in
// an InFlight.
func BenchmarkState(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				p := newPlanner(b, Options{MaxUpstreams: n})
				for i := range n {
					p.Observe(Observation{Upstream: ident.Upstream(fmt.Sprintf("runner-%05d", i)), RecomputedTokens: 1, Prefill: time.Millisecond})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/upstream")
				runtime.KeepAlive(p)
			}
		})
		b.Run(fmt.Sprintf("prompts=%d", n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				f := NewInFlight()
				for i := range n {
					f.Begin(Prompt{byte(i), byte(i >> 8)}, ident.Request{}, PendingPrefix{Upstream: "runner-00001"})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/prompt")
				runtime.KeepAlive(f)
			}
		})
	}
}

// BenchmarkPlan measures one plan with a full list of candidates and four copies.
func BenchmarkPlan(b *testing.B) {
	p := newPlanner(b, Options{})
	r := random()
	req := Request{PromptTokens: 32_500, Arrived: start, Target: time.Second}
	for u := range MaxCandidates {
		req.Candidates = append(req.Candidates, Candidate{
			Upstream: ident.Upstream(rune('a' + u)), Slots: 8, QueuedTokens: int64(u) * 100, CachedTokens: u * 1000,
		})
	}
	for i := range 4 {
		req.Copies = append(req.Copies, Copy{
			Store: ident.Upstream(rune('A' + i%2)), From: i * 8000, To: (i + 1) * 8000, Bytes: 320 << 20, LinkBytesPerSecond: 3e9,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Plan(start, req, r); err != nil {
			b.Fatal(err)
		}
	}
}
