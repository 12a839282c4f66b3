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

// crowded returns a queue in which some requests of 24 teams wait, half of them late.
func crowded(waiting int) (*Queue, time.Time) {
	q := NewQueue(QueueOptions{MaxQueued: 2 * waiting, MaxQueuedPerTeam: waiting})
	q.SetRate(1)
	for n := range waiting {
		q.Offer(start, crowdedRequest(n))
	}
	return q, start.Add(time.Second)
}

var crowdedTeams = func() (names [24]ident.Team) {
	for i := range names {
		names[i] = ident.Team(fmt.Sprintf("team-%d", i))
	}
	return names
}()

func crowdedRequest(n int) Request {
	return Request{
		ID: requestID(n), Team: crowdedTeams[n%24], Rank: n % 3, Large: n%5 == 0, Cost: 1,
		Target: start.Add(time.Duration(n%2)*2*time.Second + time.Duration(n%1000)*time.Microsecond), Deadline: start.Add(time.Hour),
	}
}

// BenchmarkOfferWaiting measures the admission of one request to a queue, and the choice
// of the next to be served.
func BenchmarkOfferWaiting(b *testing.B) {
	for _, waiting := range []int{200, 2000, 20000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q, now := crowded(waiting)
			n := waiting
			b.ReportAllocs()
			for b.Loop() {
				q.Offer(now, crowdedRequest(n))
				q.Next(now, 1, fitsAny)
				n++
			}
		})
	}
}
