package admit

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

var start = time.Unix(1_700_000_000, 0)

func id(n int) ident.Request {
	var r ident.Request
	binary.BigEndian.PutUint64(r[:], uint64(n))
	return r
}

func fixed(limit int) Options {
	return Options{Limit: LimitOptions{Initial: limit, Min: limit, Max: limit}}
}

// pool drives a Controller and remembers what runs, oldest first.
type pool struct {
	*Controller
	t       *testing.T
	n       int
	running []ident.Request
	owner   map[ident.Request]ident.Team
	started map[ident.Team]int
}

func newPool(t *testing.T, o Options) *pool {
	return &pool{
		Controller: New(o), t: t,
		owner:   map[ident.Request]ident.Team{},
		started: map[ident.Team]int{},
	}
}

// offer fills in the identity and, where missing, target and deadline.
func (p *pool) offer(now time.Time, req Request) (Verdict, *outcome.NotRun) {
	p.n++
	req.ID = id(p.n)
	if req.Target.IsZero() {
		req.Target = now
	}
	if req.Deadline.IsZero() {
		req.Deadline = now.Add(time.Hour)
	}
	p.owner[req.ID] = req.Team
	verdict, grant, refusal := p.Offer(now, req)
	if verdict == Granted {
		p.start(grant)
	}
	return verdict, refusal
}

func (p *pool) start(g Grant) {
	p.running = append(p.running, g.ID)
	p.started[p.owner[g.ID]]++
}

// finish ends the oldest running request and starts what may start.
func (p *pool) finish(now time.Time) []Refusal {
	p.t.Helper()
	if len(p.running) == 0 {
		p.t.Fatal("nothing runs")
	}
	p.Done(now, p.running[0])
	p.running = p.running[1:]
	grants, refusals := p.Next(now)
	for _, g := range grants {
		p.start(g)
	}
	return refusals
}

// Two large teams offer twenty requests for each one of a small team. The small
// team's requests must start as if the large ones were no larger: with arrival
// order they would wait behind the whole backlog, again and again.
func TestLargeTeamsDoNotStarveASmallOne(t *testing.T) {
	p := newPool(t, fixed(4))
	for range 200 {
		p.offer(start, Request{Team: "large-1", Cost: 1000})
		p.offer(start, Request{Team: "large-2", Cost: 1000})
	}
	for range 10 {
		p.offer(start, Request{Team: "small", Cost: 1000})
	}
	for range 32 {
		p.finish(start)
	}
	if p.started["small"] != 10 {
		t.Errorf("after 36 starts the small team had %d of its 10: %v", p.started["small"], p.started)
	}
}

// Teams ask for work of unequal size. What they get must be equal in work, not
// in requests: else a team with long schemas would take the pool from a team
// with short questions by sending as many of them.
func TestWorkIsSharedNotRequests(t *testing.T) {
	p := newPool(t, fixed(2))
	for range 400 {
		p.offer(start, Request{Team: "long", Cost: 9000})
		p.offer(start, Request{Team: "short", Cost: 1000})
	}
	for range 200 {
		p.finish(start)
	}
	ratio := float64(p.started["short"]) / float64(p.started["long"])
	if ratio < 8 || ratio > 10 {
		t.Errorf("starts %v: %.1f short for each long one, want about 9", p.started, ratio)
	}
}

// A team had one long request running for a night while another worked. In the
// morning it may not hold the pool for as long as it was away.
func TestIdleTeamGetsNoCredit(t *testing.T) {
	p := newPool(t, fixed(3))
	p.offer(start, Request{Team: "morning", Cost: 1})
	// It stays: finish ends only what is listed as running.
	p.running = nil
	for range 300 {
		p.offer(start, Request{Team: "night", Cost: 1000})
	}
	for range 200 {
		p.finish(start)
	}
	before := p.started["night"]
	for range 100 {
		p.offer(start, Request{Team: "morning", Cost: 1000})
	}
	for range 40 {
		p.finish(start)
	}
	if got := p.started["night"] - before; got < 18 {
		t.Errorf("of 40 starts the team that had worked got %d", got)
	}
}

func TestFloorsAndCeilings(t *testing.T) {
	tests := []struct {
		name   string
		shares map[ident.Team]Share
		offers map[ident.Team]int
		// atLeast and atMost bound how many of ten places a team holds.
		atLeast, atMost map[ident.Team]int
	}{
		{"ceiling holds while others wait",
			map[ident.Team]Share{"a": {Maximum: 0.3}}, map[ident.Team]int{"a": 200, "b": 200},
			map[ident.Team]int{"b": 7}, map[ident.Team]int{"a": 3}},
		{"ceiling holds alone too",
			map[ident.Team]Share{"a": {Maximum: 0.5}}, map[ident.Team]int{"a": 200},
			nil, map[ident.Team]int{"a": 5}},
		{"floor is kept among many",
			map[ident.Team]Share{"a": {Guaranteed: 0.5}}, map[ident.Team]int{"a": 200, "b": 200, "c": 200, "d": 200, "e": 200},
			map[ident.Team]int{"a": 5, "b": 1, "c": 1, "d": 1, "e": 1}, nil},
		{"unused floor is lent",
			map[ident.Team]Share{"a": {Guaranteed: 0.5}}, map[ident.Team]int{"b": 200},
			map[ident.Team]int{"b": 10}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPool(t, fixed(10))
			if err := p.SetShares(tt.shares); err != nil {
				t.Fatal(err)
			}
			for _, team := range slices.Sorted(maps.Keys(tt.offers)) {
				for range tt.offers[team] {
					p.offer(start, Request{Team: team, Cost: 1000})
				}
			}
			for range 100 {
				p.finish(start)
			}
			holds := map[ident.Team]int{}
			for _, r := range p.running {
				holds[p.owner[r]]++
			}
			for team, want := range tt.atLeast {
				if holds[team] < want {
					t.Errorf("team %s holds %d places, want at least %d: %v", team, holds[team], want, holds)
				}
			}
			for team, want := range tt.atMost {
				if holds[team] > want {
					t.Errorf("team %s holds %d places, want at most %d: %v", team, holds[team], want, holds)
				}
			}
		})
	}
	if err := New(fixed(1)).SetShares(map[ident.Team]Share{"a": {Guaranteed: 0.7}, "b": {Guaranteed: 0.7}}); err == nil {
		t.Error("floors above the whole pool were taken")
	}
}

// An overnight review with hours of slack waits while buyers call, and a place
// stays free for the next buyer. When its own slack runs out, it is served as
// urgent although buyers still call.
func TestSlackGivesWayAndStillMeetsItsTarget(t *testing.T) {
	p := newPool(t, fixed(4))
	review := Request{Team: "night", Target: start.Add(time.Minute), Service: 10 * time.Second}
	for range 10 {
		p.offer(start, review)
	}
	if len(p.running) != 3 {
		t.Fatalf("%d requests with slack run, want 3 of 4 places", len(p.running))
	}
	if verdict, _ := p.offer(start, Request{Team: "buyers"}); verdict != Granted {
		t.Fatalf("a buyer got verdict %d beside waiting reviews", verdict)
	}
	for range 20 {
		p.offer(start, Request{Team: "buyers"})
	}
	for range 8 {
		p.finish(start)
	}
	if got := p.started["night"]; got != 3 {
		t.Errorf("%d reviews started while buyers waited", got)
	}
	turned := start.Add(50*time.Second - DefaultRelaxed)
	for range 12 {
		p.finish(turned)
	}
	if got := p.started["night"]; got < 7 {
		t.Errorf("%d reviews started although their slack has run out", got)
	}
}

// Each refusal must come at once when it is known, say that nothing ran, and
// give a time to come back. None may be given to a request that has started.
func TestRefusals(t *testing.T) {
	small := fixed(1)
	small.MaxQueued, small.MaxQueuedPerTeam, small.MaxTeams = 4, 2, 3
	tests := []struct {
		name   string
		before []Request
		req    Request
		reason outcome.Reason
	}{
		{"team queue full", []Request{{Team: "a"}, {Team: "a"}, {Team: "a"}}, Request{Team: "a"}, outcome.ReasonTeamLimit},
		{"pool queue full", []Request{{Team: "a"}, {Team: "a"}, {Team: "a"}, {Team: "b"}, {Team: "b"}}, Request{Team: "c"}, ReasonQueueFull},
		{"too many teams", []Request{{Team: "a"}, {Team: "b"}, {Team: "c"}}, Request{Team: "d"}, ReasonQueueFull},
		{"deadline before the first token", nil,
			Request{Team: "a", Deadline: start.Add(time.Second), Service: 2 * time.Second}, outcome.ReasonDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPool(t, small)
			for _, r := range tt.before {
				p.offer(start, r)
			}
			queued := p.Status().Queued
			verdict, refusal := p.offer(start, tt.req)
			if verdict != Refused || refusal.Reason != tt.reason {
				t.Fatalf("verdict %d, %v; want a refusal for %s", verdict, refusal, tt.reason)
			}
			if outcome.KindOf(refusal) != outcome.KindNotRun || refusal.RetryAfter <= 0 {
				t.Errorf("refusal %+v is no not-run with a time to retry", refusal)
			}
			if p.Status().Queued != queued {
				t.Error("a refused request stays in the queue")
			}
		})
	}
}

// A request waits for a place that never comes. Wake names the latest start
// that meets its deadline, and there Next refuses it: not earlier, when a place
// could still come, and not later, when the caller waits in vain.
func TestGivenUpAtTheLatestStart(t *testing.T) {
	p := newPool(t, fixed(1))
	p.offer(start, Request{Team: "a"})
	p.offer(start, Request{Team: "b", Deadline: start.Add(3 * time.Second), Service: time.Second})
	latest := start.Add(2 * time.Second)
	if wake, ok := p.Wake(); !ok || !wake.Equal(latest) {
		t.Fatalf("wake at %v, %v; want %v", wake, ok, latest)
	}
	if _, refusals := p.Next(latest.Add(-time.Millisecond)); len(refusals) != 0 {
		t.Fatal("given up before the latest start")
	}
	_, refusals := p.Next(latest)
	if len(refusals) != 1 || refusals[0].NotRun.Reason != outcome.ReasonDeadline {
		t.Fatalf("refusals %+v, want one for the deadline", refusals)
	}
	if _, ok := p.Wake(); ok {
		t.Error("a wake-up is due although nothing waits")
	}
}

// A caller hangs up while its request waits, and again while it runs. The
// waiting one must never start; the running one keeps its place until Done,
// because its work is under way, and a repeated Done frees no second place.
func TestCancelAndDone(t *testing.T) {
	p := newPool(t, fixed(1))
	p.offer(start, Request{Team: "a"})
	p.offer(start, Request{Team: "a"})
	if !p.Cancel(id(2)) || p.Cancel(id(2)) {
		t.Error("a waiting request is cancelled once")
	}
	if p.Cancel(id(1)) {
		t.Error("a running request was cancelled as if it had not started")
	}
	if !p.Done(start, id(1)) || p.Done(start, id(1)) {
		t.Error("a place is freed once")
	}
	if s := p.Status(); s.Running != 0 || s.Queued != 0 || s.Teams != 0 {
		t.Errorf("state is left behind: %+v", s)
	}
}

// Random offers, ends, cancels and time. At every step the counts must add up,
// no request may be granted twice or after a refusal, and the bounds hold.
func TestBooksBalance(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	options := Options{MaxQueued: 40, MaxQueuedPerTeam: 10, MaxTeams: 8, Limit: LimitOptions{Initial: 6, Min: 2, Max: 20}}
	c := New(options)
	now := start
	const waits, runs, over = 1, 2, 3
	state := map[ident.Request]int{}
	var known []ident.Request
	move := func(r ident.Request, from, to int) {
		t.Helper()
		if state[r] != from {
			t.Fatalf("request %v moves to %d from %d, not %d", r, to, state[r], from)
		}
		state[r] = to
	}
	next := func() {
		grants, refusals := c.Next(now)
		for _, g := range grants {
			move(g.ID, waits, runs)
		}
		for _, r := range refusals {
			move(r.ID, waits, over)
		}
	}
	for n := range 20_000 {
		switch r := id(n + 1); random.IntN(4) {
		case 0, 1:
			verdict, _, _ := c.Offer(now, Request{
				ID: r, Team: ident.Team([]byte{byte('a' + random.IntN(12))}), Cost: random.Float64() * 100,
				Target:   now.Add(time.Duration(random.IntN(20)) * time.Second),
				Deadline: now.Add(time.Duration(1+random.IntN(30)) * time.Second), Service: time.Second,
			})
			known = append(known, r)
			move(r, 0, map[Verdict]int{Granted: runs, Queued: waits, Refused: over}[verdict])
		case 2:
			if len(known) > 0 {
				r := known[random.IntN(len(known))]
				if c.Done(now, r) {
					move(r, runs, over)
				}
				next()
			}
		case 3:
			if len(known) > 0 {
				r := known[random.IntN(len(known))]
				if c.Cancel(r) {
					move(r, waits, over)
				}
			}
			now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
			c.FirstToken(now, time.Second, time.Duration(random.IntN(4000))*time.Millisecond)
			next()
		}
		counts := map[int]int{}
		if n%500 == 0 {
			for _, s := range state {
				counts[s]++
			}
			s := c.Status()
			if s.Queued != counts[waits] || s.Running != counts[runs] {
				t.Fatalf("status %+v, but %d wait and %d run", s, counts[waits], counts[runs])
			}
			if s.Queued > options.MaxQueued || s.Teams > options.MaxTeams {
				t.Fatalf("bounds exceeded: %+v", s)
			}
		}
	}
}
