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

func requestID(n int) ident.Request {
	var r ident.Request
	binary.BigEndian.PutUint64(r[:], uint64(n))
	return r
}

func fixedLimit(limit int) Options {
	return Options{Limit: LimitOptions{Initial: limit, Min: limit, Max: limit}}
}

// pool drives a Controller and tracks the running requests, oldest first.
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

// offer offers req under a new id, with a default target and deadline.
func (p *pool) offer(now time.Time, req Request) (Verdict, *outcome.NotRun) {
	p.n++
	req.ID = requestID(p.n)
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

// finish completes the oldest running request and starts those that Next grants.
func (p *pool) finish(now time.Time) []Refusal {
	p.t.Helper()
	if len(p.running) == 0 {
		p.t.Fatal("no request is running")
	}
	p.Done(now, p.running[0])
	p.running = p.running[1:]
	grants, refusals := p.Next(now)
	for _, g := range grants {
		p.start(g)
	}
	return refusals
}

// Two large teams offer twenty requests for each request of a small team. In order of
// arrival the small team's requests would wait behind the complete backlog; they must
// start as soon as if the other teams were small.
func TestSmallTeamIsNotStarved(t *testing.T) {
	p := newPool(t, fixedLimit(4))
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
		t.Errorf("the small team has %d of its 10 requests among the first 36 starts: %v", p.started["small"], p.started)
	}
}

// Capacity is shared by work, not by number of requests. Otherwise a team with long
// prompts could take the pool from a team with short ones by sending as many requests.
func TestSharesByWorkNotRequests(t *testing.T) {
	p := newPool(t, fixedLimit(2))
	for range 400 {
		p.offer(start, Request{Team: "long", Cost: 9000})
		p.offer(start, Request{Team: "short", Cost: 1000})
	}
	for range 200 {
		p.finish(start)
	}
	ratio := float64(p.started["short"]) / float64(p.started["long"])
	if ratio < 8 || ratio > 10 {
		t.Errorf("starts %v: %.1f short requests per long one, want about 9", p.started, ratio)
	}
}

// A team has one long request running while another team uses the pool. Its idle time
// must not accumulate as credit that lets it occupy the pool for as long afterwards.
func TestIdleTeamGetsNoCredit(t *testing.T) {
	p := newPool(t, fixedLimit(3))
	p.offer(start, Request{Team: "morning", Cost: 1})
	// The request keeps running: finish only ends the requests in p.running.
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
		t.Errorf("the busy team got %d of 40 starts, want at least 18", got)
	}
}

func TestGuaranteedAndMaximumShares(t *testing.T) {
	tests := []struct {
		name   string
		shares map[ident.Team]Share
		offers map[ident.Team]int
		// atLeast and atMost bound the slots, of ten, that a team holds.
		atLeast, atMost map[ident.Team]int
	}{
		{"maximum holds while another team waits",
			map[ident.Team]Share{"a": {Maximum: 0.3}}, map[ident.Team]int{"a": 200, "b": 200},
			map[ident.Team]int{"b": 7}, map[ident.Team]int{"a": 3}},
		{"maximum holds for the only team",
			map[ident.Team]Share{"a": {Maximum: 0.5}}, map[ident.Team]int{"a": 200},
			nil, map[ident.Team]int{"a": 5}},
		{"guaranteed share is kept among many teams",
			map[ident.Team]Share{"a": {Guaranteed: 0.5}}, map[ident.Team]int{"a": 200, "b": 200, "c": 200, "d": 200, "e": 200},
			map[ident.Team]int{"a": 5, "b": 1, "c": 1, "d": 1, "e": 1}, nil},
		{"unused guaranteed share is used by others",
			map[ident.Team]Share{"a": {Guaranteed: 0.5}}, map[ident.Team]int{"b": 200},
			map[ident.Team]int{"b": 10}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPool(t, fixedLimit(10))
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
			held := map[ident.Team]int{}
			for _, r := range p.running {
				held[p.owner[r]]++
			}
			for team, want := range tt.atLeast {
				if held[team] < want {
					t.Errorf("team %s holds %d slots, want at least %d: %v", team, held[team], want, held)
				}
			}
			for team, want := range tt.atMost {
				if held[team] > want {
					t.Errorf("team %s holds %d slots, want at most %d: %v", team, held[team], want, held)
				}
			}
		})
	}
	if err := New(fixedLimit(1)).SetShares(map[ident.Team]Share{"a": {Guaranteed: 0.7}, "b": {Guaranteed: 0.7}}); err == nil {
		t.Error("guaranteed shares that exceed the pool were accepted")
	}
}

// Requests with slack wait while urgent ones arrive, and leave one slot free
// for the next urgent request. Once their slack has run out they are served as urgent
// even though urgent requests still arrive.
func TestRelaxedRequestsYieldUntilSlackRunsOut(t *testing.T) {
	p := newPool(t, fixedLimit(4))
	relaxed := Request{Team: "night", Target: start.Add(time.Minute), Service: 10 * time.Second}
	for range 10 {
		p.offer(start, relaxed)
	}
	if len(p.running) != 3 {
		t.Fatalf("%d requests with slack are running, want 3 in 4 slots", len(p.running))
	}
	if verdict, _ := p.offer(start, Request{Team: "buyers"}); verdict != Granted {
		t.Fatalf("an urgent request got verdict %d while requests with slack were queued", verdict)
	}
	for range 20 {
		p.offer(start, Request{Team: "buyers"})
	}
	for range 8 {
		p.finish(start)
	}
	if got := p.started["night"]; got != 3 {
		t.Errorf("%d requests with slack started while urgent ones were queued, want 3", got)
	}
	slackGone := start.Add(50*time.Second - DefaultRelaxed)
	for range 12 {
		p.finish(slackGone)
	}
	if got := p.started["night"]; got < 7 {
		t.Errorf("%d requests with slack started by the time it had run out, want at least 7", got)
	}
}

// A refusal is returned as soon as its cause is known, states that nothing ran, and
// carries a retry time. A refused request does not enter the queue.
func TestRefusals(t *testing.T) {
	small := fixedLimit(1)
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
				t.Errorf("refusal %+v is not a not-run outcome with a retry time", refusal)
			}
			if p.Status().Queued != queued {
				t.Error("a refused request changed the queue length")
			}
		})
	}
}

// No slot becomes free for a queued request. Wake returns the latest start that meets
// its deadline, and Next refuses it exactly then: earlier a slot could still become
// free, and later the caller would wait in vain.
func TestRefusedAtLatestStart(t *testing.T) {
	p := newPool(t, fixedLimit(1))
	p.offer(start, Request{Team: "a"})
	p.offer(start, Request{Team: "b", Deadline: start.Add(3 * time.Second), Service: time.Second})
	latest := start.Add(2 * time.Second)
	if wake, ok := p.Wake(); !ok || !wake.Equal(latest) {
		t.Fatalf("wake at %v, %v; want %v", wake, ok, latest)
	}
	if _, refusals := p.Next(latest.Add(-time.Millisecond)); len(refusals) != 0 {
		t.Fatal("the request was refused before its latest start")
	}
	_, refusals := p.Next(latest)
	if len(refusals) != 1 || refusals[0].NotRun.Reason != outcome.ReasonDeadline {
		t.Fatalf("refusals %+v, want one with the deadline reason", refusals)
	}
	if _, ok := p.Wake(); ok {
		t.Error("Wake returned a time although no request is queued")
	}
}

// A caller disconnects while its request is queued, and again while it runs. The
// queued request must never start. The running one keeps its slot until Done because
// its work continues, and a repeated Done frees no second slot.
func TestCancelAndDone(t *testing.T) {
	p := newPool(t, fixedLimit(1))
	p.offer(start, Request{Team: "a"})
	p.offer(start, Request{Team: "a"})
	if !p.Cancel(requestID(2)) || p.Cancel(requestID(2)) {
		t.Error("a queued request must be cancelled exactly once")
	}
	if p.Cancel(requestID(1)) {
		t.Error("a running request was cancelled")
	}
	if !p.Done(start, requestID(1)) || p.Done(start, requestID(1)) {
		t.Error("a slot must be freed exactly once")
	}
	if s := p.Status(); s.Running != 0 || s.Queued != 0 || s.Teams != 0 {
		t.Errorf("state remains after the last request: %+v", s)
	}
}

// Random offers, completions, cancellations and clock steps. The counts must add up
// at every check, no request may be granted twice or after a refusal, none may be
// refused after its grant, and the bounds must hold.
func TestCountsAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	options := Options{MaxQueued: 40, MaxQueuedPerTeam: 10, MaxTeams: 8, Limit: LimitOptions{Initial: 6, Min: 2, Max: 20}}
	c := New(options)
	now := start
	const stateQueued, stateRunning, stateEnded = 1, 2, 3
	state := map[ident.Request]int{}
	var offered []ident.Request
	move := func(r ident.Request, from, to int) {
		t.Helper()
		if state[r] != from {
			t.Fatalf("request %v moves to state %d from %d, want from %d", r, to, state[r], from)
		}
		state[r] = to
	}
	next := func() {
		grants, refusals := c.Next(now)
		for _, g := range grants {
			move(g.ID, stateQueued, stateRunning)
		}
		for _, r := range refusals {
			move(r.ID, stateQueued, stateEnded)
		}
	}
	for n := range 20_000 {
		switch r := requestID(n + 1); random.IntN(4) {
		case 0, 1:
			verdict, _, _ := c.Offer(now, Request{
				ID: r, Team: ident.Team([]byte{byte('a' + random.IntN(12))}), Cost: random.Float64() * 100,
				Target:   now.Add(time.Duration(random.IntN(20)) * time.Second),
				Deadline: now.Add(time.Duration(1+random.IntN(30)) * time.Second), Service: time.Second,
			})
			offered = append(offered, r)
			move(r, 0, map[Verdict]int{Granted: stateRunning, Queued: stateQueued, Refused: stateEnded}[verdict])
		case 2:
			if len(offered) > 0 {
				r := offered[random.IntN(len(offered))]
				if c.Done(now, r) {
					move(r, stateRunning, stateEnded)
				}
				next()
			}
		case 3:
			if len(offered) > 0 {
				r := offered[random.IntN(len(offered))]
				if c.Cancel(r) {
					move(r, stateQueued, stateEnded)
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
			if s.Queued != counts[stateQueued] || s.Running != counts[stateRunning] {
				t.Fatalf("status %+v, but %d requests are queued and %d are running", s, counts[stateQueued], counts[stateRunning])
			}
			if s.Queued > options.MaxQueued || s.Teams > options.MaxTeams {
				t.Fatalf("status exceeds the bounds: %+v", s)
			}
		}
	}
}

// Guards against an overload that makes all requests late: one that has passed its target is
// granted behind those that can be in time, and still before its deadline.
func TestLateRequestsAreGrantedBehindOthers(t *testing.T) {
	p := newPool(t, fixedLimit(1))
	p.offer(start, Request{Team: "a"})
	p.offer(start, Request{Team: "a", Target: start.Add(time.Second)})
	now := start.Add(2 * time.Second)
	p.offer(now, Request{Team: "b", Target: now.Add(time.Second)})
	p.finish(now)
	if p.started["b"] != 1 {
		t.Fatalf("started %v, want the request that can be in time first", p.started)
	}
	p.finish(now)
	if p.started["a"] != 2 {
		t.Errorf("started %v, want the late request next", p.started)
	}
}
