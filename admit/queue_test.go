package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// any fits.
func fitsAny(ident.Request) bool { return true }

// offerAll offers requests with the ids 1, 2, ... and default targets and deadlines.
func offerAll(t *testing.T, q *Queue, requests ...Request) {
	t.Helper()
	for i, r := range requests {
		r.ID = requestID(i + 1)
		if r.Target.IsZero() {
			r.Target = start.Add(time.Second)
		}
		if r.Deadline.IsZero() {
			r.Deadline = start.Add(time.Hour)
		}
		if refusal := q.Offer(start, r); refusal != nil {
			t.Fatalf("request %d is refused: %v", i+1, refusal)
		}
	}
}

// order serves all requests and returns their numbers in the order of service.
func order(q *Queue, now time.Time, fits func(ident.Request) bool) (numbers []int) {
	for {
		id, ok := q.Next(now, 64, fits)
		if !ok {
			return numbers
		}
		numbers = append(numbers, number(id))
	}
}

func number(id ident.Request) int { return int(id[7]) | int(id[6])<<8 | int(id[5])<<16 }

func TestOrderOfService(t *testing.T) {
	sized := func(rank int, large bool, cost float64) Request {
		return Request{Team: "a", Rank: rank, Large: large, Cost: cost}
	}
	tests := []struct {
		name     string
		requests []Request
		now      time.Time
		want     []int
	}{
		{"a small request of a low rank goes before a large one of a high rank",
			[]Request{sized(0, true, 100), sized(9, false, 5)}, start, []int{2, 1}},
		{"not if small requests have taken half of the work",
			[]Request{sized(0, true, 100), sized(9, false, 60), sized(9, false, 60), sized(9, false, 60)}, start, []int{2, 3, 1, 4}},
		{"a higher rank goes first within a size",
			[]Request{sized(1, true, 100), sized(0, true, 100), sized(0, true, 100)}, start, []int{2, 3, 1}},
		{"a lower rank gets a share",
			append(slices.Repeat([]Request{sized(0, true, 100)}, 10), sized(1, true, 100)), start, []int{1, 2, 3, 4, 5, 6, 7, 8, 11, 9, 10}},
		{"a late request goes behind a lower rank that can be in time",
			[]Request{{Team: "a", Cost: 100, Service: time.Second, Target: start.Add(time.Millisecond)}, sized(9, true, 100)}, start, []int{2, 1}},
		{"late requests get a share",
			append(slices.Repeat([]Request{{Team: "a", Cost: 100, Target: start.Add(time.Hour / 2)}}, 9), Request{Team: "a", Cost: 100, Target: start.Add(time.Millisecond)}),
			start.Add(time.Hour/2 - time.Second), []int{1, 2, 3, 4, 5, 6, 7, 8, 10, 9}},
		{"the first target goes first within a team",
			[]Request{{Team: "a", Target: start.Add(2 * time.Second)}, {Team: "a", Target: start.Add(time.Second)}}, start, []int{2, 1}},
		{"teams take turns by work",
			[]Request{{Team: "a", Cost: 10}, {Team: "a", Cost: 10}, {Team: "a", Cost: 10}, {Team: "b", Cost: 20}, {Team: "b", Cost: 20}}, start, []int{1, 4, 2, 3, 5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := NewQueue(QueueOptions{Relaxed: time.Hour})
			offerAll(t, q, tt.requests...)
			if got := order(q, tt.now, fitsAny); !slices.Equal(got, tt.want) {
				t.Errorf("served in the order %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a large request without room that blocks those behind it, and loses its
// place to them.
func TestRequestThatDoesNotFitBlocksNoOther(t *testing.T) {
	q := NewQueue(QueueOptions{})
	offerAll(t, q, Request{Team: "a", Large: true, Cost: 300}, Request{Team: "a", Large: true, Cost: 50}, Request{Team: "b", Large: true, Cost: 50})
	var considered []int
	fits := func(id ident.Request) bool {
		considered = append(considered, number(id))
		return number(id) != 1
	}
	if got := order(q, start, fits); !slices.Equal(got, []int{3, 2}) {
		t.Fatalf("served %v past the first, want 3 and 2", got)
	}
	if !slices.Equal(considered, []int{1, 3, 1, 2, 1}) {
		t.Errorf("considered %v: the request without room isn't tried first each time", considered)
	}
	if _, ok := q.Next(start, 0, fitsAny); ok {
		t.Error("a request was served beyond the depth")
	}
	if got := order(q, start, fitsAny); !slices.Equal(got, []int{1}) {
		t.Errorf("served %v at last, want 1", got)
	}
}

func TestWeightsShareTheWork(t *testing.T) {
	q := NewQueue(QueueOptions{})
	q.SetWeights(map[ident.Team]float64{"a": 3})
	var requests []Request
	for range 40 {
		requests = append(requests, Request{Team: "a", Cost: 10}, Request{Team: "b", Cost: 10})
	}
	offerAll(t, q, requests...)
	served := order(q, start, fitsAny)[:40]
	odd := 0
	for _, n := range served {
		odd += n % 2
	}
	if odd < 29 || odd > 31 {
		t.Errorf("%d of the first 40 are of the team with three quarters of the weight", odd)
	}
}

// A request is refused at once if the work that precedes it can't be done before its
// latest start, but not for the excess of another team, and the time to come back lies
// after the backlog within a third of its time.
func TestCertainLosersAreRefused(t *testing.T) {
	q := NewQueue(QueueOptions{})
	q.SetRate(1)
	large := Request{Team: "a", Large: true, Cost: 300, Service: 300 * time.Millisecond, Deadline: start.Add(3 * time.Second)}
	for i := range 10 {
		large.ID = requestID(i + 1)
		if refusal := q.Offer(start, large); refusal != nil {
			t.Fatalf("request %d is refused: %v", i+1, refusal)
		}
	}
	large.ID = requestID(11)
	refusal := q.Offer(start, large)
	if refusal == nil || refusal.Reason != outcome.ReasonDeadline {
		t.Fatalf("refusal %v with 3 s of work ahead of a request that must start in 2.7 s", refusal)
	}
	if refusal.RetryAfter != time.Second {
		t.Errorf("the caller is to come back in %v, want the third of its 3 s", refusal.RetryAfter)
	}
	other := large
	other.Team = "b"
	if refusal := q.Offer(start, other); refusal != nil {
		t.Errorf("another team's request is refused: %v", refusal)
	}
	other.ID, other.Team, other.Deadline = requestID(12), "c", start.Add(200*time.Millisecond)
	if refusal := q.Offer(start, other); refusal == nil {
		t.Error("a request that can't end before its deadline is queued")
	}
	other.ID, other.Team, other.Deadline, other.WaitUntil = requestID(13), "a", start.Add(time.Hour), start.Add(time.Second)
	if refusal := q.Offer(start, other); refusal == nil {
		t.Error("a request is queued that would be served after the time that it may wait")
	}
}

// Half of the upstreams are lost while requests wait. New requests are refused by the
// rate that is left, and those that can't start in time any more are expired, not served.
func TestLostCapacity(t *testing.T) {
	q := NewQueue(QueueOptions{})
	q.SetRate(2)
	request := Request{Team: "a", Cost: 100, Deadline: start.Add(time.Second)}
	offer := func(n int) *outcome.NotRun {
		request.ID = requestID(n)
		return q.Offer(start, request)
	}
	for n := range 15 {
		if refusal := offer(n + 1); refusal != nil {
			t.Fatal(refusal)
		}
	}
	q.SetRate(1)
	if offer(16) == nil {
		t.Error("a request is queued behind 1.5 s of work with 1 s left")
	}
	for range 9 {
		q.Next(start.Add(900*time.Millisecond), 1, fitsAny)
	}
	if expired := q.Expire(start.Add(time.Second)); len(expired) != 6 || q.Len() != 0 {
		t.Errorf("%d requests expire and %d are left, want 6 and 0", len(expired), q.Len())
	}
	if _, ok := q.Next(start.Add(time.Second), 1, fitsAny); ok {
		t.Error("an expired request is served")
	}
}

// replay serves requests on one pool that does 1 ms of work in a millisecond.
type replay struct {
	q        *Queue
	requests []Request // by arrival
	arrivals []time.Duration
	served   map[int]time.Duration // time of the answer, by number
}

// run replays the load to its end; the pool stops from stall to resume.
func (p *replay) run(stall, resume time.Duration) {
	p.served = make(map[int]time.Duration)
	next, busyUntil := 0, time.Duration(0)
	for now := time.Duration(0); next < len(p.requests) || p.q.Len() > 0; now += time.Millisecond {
		if now >= stall && now < resume {
			continue
		}
		for ; next < len(p.requests) && p.arrivals[next] <= now; next++ {
			r := p.requests[next]
			r.ID = requestID(next + 1)
			at := start.Add(p.arrivals[next])
			r.Target, r.Deadline = at.Add(r.Target.Sub(start)), at.Add(r.Deadline.Sub(start))
			p.q.Offer(start.Add(now), r)
		}
		p.q.Expire(start.Add(now))
		if busyUntil > now {
			continue
		}
		if id, ok := p.q.Next(start.Add(now), 1, fitsAny); ok {
			cost := p.requests[number(id)-1].Cost
			busyUntil = now + time.Duration(cost*float64(time.Millisecond))
			p.served[number(id)] = busyUntil
		}
	}
}

// inTime returns the fractions of the matching requests that are answered, and answered in
// time.
func (p *replay) inTime(match func(i int) bool) (answered, inTime float64) {
	all := 0.0
	for i, r := range p.requests {
		if !match(i) {
			continue
		}
		all++
		if at, ok := p.served[i+1]; ok {
			answered++
			if at-p.arrivals[i] <= r.Target.Sub(start) {
				inTime++
			}
		}
	}
	return answered / all, inTime / all
}

// load offers requests of 24 teams at random for ten seconds, with the given part of the
// pool's rate; the first team offers further ones from 2 s to 8 s.
func load(usual, flood float64, seed uint64) *replay {
	random := rand.New(rand.NewPCG(seed, 1))
	p := &replay{q: NewQueue(QueueOptions{})}
	p.q.SetRate(1)
	for ms := range 10_000 {
		add := func(team int) {
			r := Request{
				Team: ident.Team(fmt.Sprintf("team-%d", team)), Cost: 4, Service: 4 * time.Millisecond,
				Target: start.Add(500 * time.Millisecond), Deadline: start.Add(5 * time.Second),
			}
			if random.IntN(5) == 0 {
				r.Large, r.Cost, r.Service = true, 40, 40*time.Millisecond
				r.Target, r.Deadline = start.Add(1500*time.Millisecond), start.Add(10*time.Second)
			}
			p.requests, p.arrivals = append(p.requests, r), append(p.arrivals, time.Duration(ms)*time.Millisecond)
		}
		const meanCost = 4*0.8 + 40*0.2
		if random.Float64() < usual/meanCost {
			add(random.IntN(24))
		}
		if ms >= 2000 && ms < 8000 && random.Float64() < flood/meanCost {
			add(0)
		}
	}
	return p
}

// Guards against a team that takes the capacity of all: one of 24 teams offers four times
// what the pool does, beside an ordinary load of 0.7. The others lose less than 0.05 of
// their answers in time.
func TestFloodingTeamCostsOthersLittle(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		others := func(p *replay) func(int) bool { return func(i int) bool { return p.requests[i].Team != "team-0" } }
		quiet, flooded := load(0.7, 0, seed), load(0.7, 4, seed)
		quiet.run(0, 0)
		flooded.run(0, 0)
		_, before := quiet.inTime(others(quiet))
		_, during := flooded.inTime(others(flooded))
		t.Logf("seed %d: in time %.3f without the flood, %.3f with it", seed, before, during)
		if during < before-0.05 {
			t.Errorf("seed %d: the others have %.3f of their answers in time, %.3f without the flood", seed, during, before)
		}
	}
}

// Guards against a process that after a stall works off what is late already, so that all
// later requests become late too: after a stall of three seconds nearly all new requests
// are in time, and the old ones are still answered before their deadlines.
func TestStallDelaysNoLaterRequest(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		p := load(0.5, 0, seed)
		p.run(3*time.Second, 6*time.Second)
		old := func(i int) bool { return p.arrivals[i] >= 3*time.Second && p.arrivals[i] < 5*time.Second }
		later := func(i int) bool { return p.arrivals[i] >= 6*time.Second }
		answered, _ := p.inTime(old)
		_, inTime := p.inTime(later)
		t.Logf("seed %d: %.3f of the old ones answered, %.3f of the new ones in time", seed, answered, inTime)
		if inTime < 0.95 {
			t.Errorf("seed %d: %.3f of the requests after the stall are in time", seed, inTime)
		}
		if answered < 0.75 {
			t.Errorf("seed %d: %.3f of the requests that waited are answered", seed, answered)
		}
	}
}

// Random offers, grants, refusals to fit, removals and clock steps: each request leaves the
// queue once, and the counts add up.
func TestQueueCountsAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	q := NewQueue(QueueOptions{MaxQueued: 60, MaxQueuedPerTeam: 15, MaxTeams: 9})
	now, queued := start, map[ident.Request]bool{}
	leave := func(id ident.Request) {
		t.Helper()
		if !queued[id] {
			t.Fatalf("request %d left the queue twice", number(id))
		}
		delete(queued, id)
	}
	for n := range 20_000 {
		switch random.IntN(5) {
		case 0, 1, 2:
			id := requestID(n)
			if q.Offer(now, Request{
				ID: id, Team: ident.Team([]byte{byte('a' + random.IntN(12))}), Rank: random.IntN(12) - 1, Large: random.IntN(2) == 0,
				Cost: random.Float64() * 100, Target: now.Add(time.Duration(random.IntN(12)) * time.Second),
				Deadline: now.Add(time.Duration(random.IntN(20)) * time.Second), Service: time.Second,
			}) == nil {
				queued[id] = true
			}
		case 3:
			if id, ok := q.Next(now, 8, func(ident.Request) bool { return random.IntN(3) == 0 }); ok {
				leave(id)
			}
			if id := requestID(random.IntN(n + 1)); q.Remove(id) {
				leave(id)
			}
		case 4:
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			for _, id := range q.Expire(now) {
				leave(id)
			}
		}
		s := q.Status(now)
		if q.Len() != len(queued) || s.InTime+s.Late+s.Relaxed != len(queued) || len(queued) > 60 || s.Teams > 9 {
			t.Fatalf("step %d: %d queued, status %+v", n, len(queued), s)
		}
	}
	for _, id := range q.Expire(now.Add(time.Hour)) {
		leave(id)
	}
	if q.Len() != 0 || q.work != 0 || q.occupied != 0 || len(q.teams) != 0 || q.urgentTeams != 0 {
		t.Errorf("state remains: %d requests, work %v, lanes %b, %d teams", q.Len(), q.work, q.occupied, len(q.teams))
	}
}
