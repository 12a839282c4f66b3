package admit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// BenchmarkOffer measures one offer, completion and grant in a full pool in which
// many teams wait.
func BenchmarkOffer(b *testing.B) {
	for _, teams := range []int{10, 400, 4000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			o := fixedLimit(64)
			c := New(o)
			next := 0
			offer := func() {
				next++
				c.Offer(start, Request{
					ID: requestID(next), Team: ident.Team(fmt.Sprintf("team-%d", next%teams)), Cost: 1000,
					Target: start, Deadline: start.Add(time.Hour),
				})
			}
			for range 64 + teams {
				offer()
			}
			var running []ident.Request
			for i := range 64 {
				running = append(running, requestID(i+1))
			}
			b.ReportAllocs()
			for b.Loop() {
				offer()
				c.Done(start, running[0])
				running = running[1:]
				grants, _ := c.Next(start)
				for _, g := range grants {
					running = append(running, g.ID)
				}
			}
		})
	}
}

// BenchmarkState measures the memory held per team with one queued request.
func BenchmarkState(b *testing.B) {
	heapBytes := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for _, teams := range []int{10, 400, 4000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				c := New(fixedLimit(1))
				for i := range teams {
					c.Offer(start, Request{
						ID: requestID(i), Team: ident.Team(fmt.Sprintf("team-%d", i)), Cost: 1, Target: start, Deadline: start.Add(time.Hour),
					})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(teams), "B/team")
				runtime.KeepAlive(c)
			}
		})
	}
}
