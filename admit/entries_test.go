package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// entries is a number of entries, each with its own queue, that share as many upstreams. An
// upstream that becomes free takes the next request of any entry that has one.
type entries struct {
	queues []*Queue
	random *rand.Rand
	// busyUntil is when each upstream becomes free, in milliseconds.
	busyUntil []float64
	work      map[ident.Request]float64
	arrived   map[ident.Request]int
	other     map[ident.Request]bool
	// sent and inTime count the requests of all teams but the first.
	sent, inTime int
}

const entriesTarget = 1500

func newEntries(n int, seed uint64) *entries {
	e := &entries{
		random: rand.New(rand.NewPCG(seed, 2)), busyUntil: make([]float64, n), work: make(map[ident.Request]float64),
		arrived: make(map[ident.Request]int), other: make(map[ident.Request]bool),
	}
	for range n {
		q := NewQueue(QueueOptions{})
		q.SetRate(1)
		e.queues = append(e.queues, q)
	}
	return e
}

func (e *entries) offer(now, team int) {
	id := requestID(len(e.work) + 1)
	work, large := 10.0, e.random.IntN(5) == 0
	if large {
		work = 100
	}
	e.work[id], e.arrived[id], e.other[id] = work, now, team != 0
	if team != 0 {
		e.sent++
	}
	at := start.Add(time.Duration(now) * time.Millisecond)
	e.queues[e.random.IntN(len(e.queues))].Offer(at, Request{
		ID: id, Team: ident.Team(fmt.Sprintf("team-%d", team)), Large: large, Cost: work, Service: time.Duration(work) * time.Millisecond,
		Target: at.Add(entriesTarget * time.Millisecond), Deadline: at.Add(6 * time.Second),
	})
}

// serve gives the free upstreams to entries with requests.
func (e *entries) serve(now int) {
	at := start.Add(time.Duration(now) * time.Millisecond)
	for u := range e.busyUntil {
		if e.busyUntil[u] > float64(now) {
			continue
		}
		id, ok := e.next(at)
		if !ok {
			return
		}
		e.busyUntil[u] = float64(now) + e.work[id]
		if e.other[id] && e.busyUntil[u]-float64(e.arrived[id]) <= entriesTarget {
			e.inTime++
		}
	}
}

// next returns the next request of an entry, beginning with any.
func (e *entries) next(at time.Time) (ident.Request, bool) {
	first := e.random.IntN(len(e.queues))
	for i := range e.queues {
		q := e.queues[(first+i)%len(e.queues)]
		if q.Len() == 0 {
			continue
		}
		q.Expire(at)
		if id, ok := q.Next(at, 1, fitsAny); ok {
			return id, true
		}
	}
	return ident.Request{}, false
}

// play offers 0.7 of what the upstreams do for four seconds, and four times that of one team from
// the first to the third, and returns the part of the other teams' requests that is in time.
func (e *entries) play(flood bool) float64 {
	const meanWork = 10*0.8 + 100*0.2
	perMs := float64(len(e.queues)) / meanWork
	usual, flooding := 0.0, 0.0
	for now := range 8000 {
		if now < 4000 {
			usual += 0.7 * perMs
		}
		if flood && now >= 1000 && now < 3000 {
			flooding += 4 * perMs
		}
		for ; usual >= 1; usual-- {
			e.offer(now, e.random.IntN(24))
		}
		for ; flooding >= 1; flooding-- {
			e.offer(now, 0)
		}
		e.serve(now)
	}
	return float64(e.inTime) / float64(e.sent)
}

// Guards against shares that hold at one entry only: one of 24 teams floods a deployment of 7, 74
// and 300 entries that don't know each other's queues.
func TestSharesHoldOverEntries(t *testing.T) {
	for _, n := range []int{7, 74, 300} {
		quiet, flooded := newEntries(n, 1).play(false), newEntries(n, 1).play(true)
		t.Logf("%d entries: in time %.3f without the flood, %.3f with it", n, quiet, flooded)
		if flooded < quiet-0.05 {
			t.Errorf("%d entries: the other teams have %.3f of their answers in time, %.3f without the flood", n, flooded, quiet)
		}
	}
}
