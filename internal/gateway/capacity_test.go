package gateway

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/placement"
)

// gate lets answers through one by one.
type gate struct{ open chan struct{} }

func (b *gate) Next() (Piece, error) {
	<-b.open
	return Piece{}, io.EOF
}

func (b *gate) Close() {}

// Two runners with memory for 50,000 tokens are offered ten prompts of 20,000.
// Beyond their memory they would fetch parts and drop them unread; the prompts
// wait at the entry and get their turn.
func TestPromptsBeyondTheMemoryWait(t *testing.T) {
	open := make(chan struct{})
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return &Answer{Status: 200, Body: &gate{open}}, nil })
	g.state.waitLimits = waitLimits{longest: time.Minute, first: 10}
	var all sync.WaitGroup
	for i := range 10 {
		all.Go(func() {
			r := request("/stream/x")
			r.Wait, r.Arrived = time.Hour, time.Now()
			r.Prompt = prompt(placement.Part{ID: string(rune('a' + i)), Tokens: 16000}, placement.Part{ID: "own", Tokens: 4000})
			rec := &recorder{}
			g.Serve(context.Background(), r, rec)
			if rec.ends != "done" {
				t.Errorf("prompt %d ends %q: %v", i, rec.ends, rec.cause)
			}
		})
	}
	waiting := func() int {
		g.state.mu.Lock()
		defer g.state.mu.Unlock()
		return len(g.state.waiting)
	}
	for deadline := time.Now().Add(20 * time.Second); sender.count() < 4 || waiting() < 6; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d sends and %d waiting, want 4 and 6", sender.count(), waiting())
		}
	}
	g.state.mu.Lock()
	for id, u := range g.state.upstreams {
		if u.own.Tokens > 42500 {
			t.Errorf("%s was given %d tokens", id, u.own.Tokens)
		}
	}
	g.state.mu.Unlock()
	for range 10 {
		open <- struct{}{}
	}
	all.Wait()
	if sender.count() != 10 || waiting() != 0 {
		t.Fatalf("%d sends, %d still wait", sender.count(), waiting())
	}
}

// A short prompt of a team with a low rank must not be refused because long
// ones wait: it takes next to nothing.
func TestQueueIsInOrderOfSizeAndRank(t *testing.T) {
	g, _ := testGateway(t, nil)
	s := g.state
	index := g.Index()
	add := func(priority, tokens int, id string) {
		route := *index.Route("h", "/stream/x")
		route.Priority = priority
		r := &Request{ID: id, Arrived: time.Now(), Prompt: prompt(placement.Part{ID: "p", Tokens: tokens})}
		s.enqueue(&waiter{run: &run{gateway: g, request: r, route: &route, deadline: r.Arrived.Add(route.Timeout)}})
	}
	for _, w := range []struct {
		priority, tokens int
		id               string
	}{{1, 9000, "d1"}, {0, 300, "a1"}, {1, 9000, "d2"}, {0, 300, "a2"}, {2, 300, "b1"}, {0, 9000, "c1"}} {
		add(w.priority, w.tokens, w.id)
	}
	got := ""
	for _, w := range s.waiting {
		got += w.run.request.ID + " "
	}
	if n := s.largeWaiting(false); n != 3 {
		t.Errorf("%d of 3 long prompts are counted", n)
	}
	if got != "a1 a2 b1 c1 d1 d2 " {
		t.Fatalf("waiting in order %s", got)
	}
}

// After a restart of all processes those come back that were cut off, beside those
// that come for the first time. The first are late whenever they are served, and are
// lost if they are refused again; the others can still be in time. So the others go
// first, and the first wait as long, and are not refused because others wait.
func TestCallersThatReturnWaitBehindTheOthers(t *testing.T) {
	g, _ := testGateway(t, nil)
	s, route, now := g.state, g.Index().Route("h", "/stream/x"), time.Now()
	waiting := func(id string, wait time.Duration) *run {
		r := &Request{ID: id, Arrived: now, Prompt: prompt(placement.Part{ID: "p", Tokens: 9000})}
		return &run{gateway: g, request: r, route: route, usualWait: 5 * time.Second, deadline: now.Add(wait)}
	}
	returned := waiting("returned", 4*time.Second)
	for _, r := range []*run{returned, waiting("first", 5*time.Second), waiting("second", 5*time.Second), waiting("third", 5*time.Second)} {
		s.enqueue(&waiter{run: r})
	}
	got := ""
	for _, w := range s.waiting {
		got += w.run.request.ID + " "
	}
	if got != "first second third returned " {
		t.Fatalf("waiting in order %s", got)
	}
	if s.mayWait(waiting("fourth", 5*time.Second)) || !s.mayWait(waiting("again", 4*time.Second)) {
		t.Error("the places of those that come for the first time are taken, the others' are not")
	}
	fresh := waiting("fresh", 5*time.Second)
	if a, b := fresh.longestWait(s.waitLimits, now), returned.longestWait(s.waitLimits, now); a != 300*time.Millisecond || b != a {
		t.Errorf("wait %v and %v, want 0.3 of the target of 1 s", a, b)
	}
}

// The budget is a promise of all entries together: eight of them that each
// take all they may, twice over because they were restarted once, must stay
// within what the deployment allows in a window.
func TestBudgetsAddUp(t *testing.T) {
	limits := BudgetLimits{Ratio: 0.2, Extra: 58}
	const entries, perEntry = 8, 400
	taken := 0
	for range entries * 2 {
		b := newBudgets()
		b.limits = limits
		now := b.start
		for range perEntry / 2 {
			now = now.Add(20 * time.Millisecond)
			b.countRequest("app", now)
			for b.allowRetry("app", entries, now) {
				taken++
			}
		}
	}
	allowed := limits.Ratio*entries*perEntry + float64(limits.Extra)
	if float64(taken) > allowed || taken == 0 {
		t.Fatalf("%d further sends, %v are allowed", taken, allowed)
	}
}

func TestBudgetWindowSlides(t *testing.T) {
	b := newBudgets()
	b.limits = BudgetLimits{Extra: 32}
	take := func(at time.Duration) (n int) {
		for b.allowRetry("app", 8, b.start.Add(at)) {
			n++
		}
		return n
	}
	if first, again := take(0), take(9*time.Second); first != 2 || again != 0 {
		t.Fatalf("%d, then %d within the window", first, again)
	}
	if later := take(11 * time.Second); later != 2 {
		t.Fatalf("%d after the window", later)
	}
}

func TestTrustComesBack(t *testing.T) {
	var u health
	now := time.Unix(100, 0)
	u.failed(now)
	if u.penalty(now, false) < ejectedCost {
		t.Fatal("a failed upstream is not avoided")
	}
	if u.penalty(now.Add(maxEjection), false) >= ejectedCost {
		t.Fatal("an upstream is avoided for ever")
	}
	for range 50 {
		u.answered(true, now)
	}
	if cost := u.penalty(now, false); cost != 0 {
		t.Fatalf("a well upstream costs %v", cost)
	}
}

func TestPaceForgetsASlowTime(t *testing.T) {
	var p slowdown
	now := time.Unix(100, 0)
	for range 5 {
		p.observe(8, now)
	}
	if p.current(now) < 4 {
		t.Fatalf("five transfers 8 times as long count as %v", p.current(now))
	}
	if p.current(now.Add(slowdownTTL+1)) != 1 {
		t.Fatal("a slow store is never tried again")
	}
}

// What an upstream says of itself with an answer is newer than what the other
// entries told: a replica that is full by its own word gets no further request
// while another has room.
func TestToldLoadDecidesBetweenReplicas(t *testing.T) {
	g, sender := testGateway(t, func(_ int, s *Send) (*Answer, error) {
		a := status(200)
		a.Load = &Load{Running: 0, Slots: 4}
		if s.Upstream != "a2" {
			a.Load = &Load{Running: 4, Waiting: 6, Slots: 4}
		}
		return a, nil
	})
	for range 30 {
		serve(g, request("/safe/x"))
	}
	others := 0
	for _, s := range sender.sends {
		if s.Upstream != "a2" {
			others++
		}
	}
	if others > 2 {
		t.Fatalf("%d of 30 requests went to replicas that said they were full", others)
	}
}

// Sixteen short prompts wait at an entry because their runners are full. A call of
// another service waits behind them, and an upstream of that service has room again.
// The call has to be sent there; looked for among the first of the queue only, it
// would be refused for lack of room although there is some.
func TestRoomOfOneServiceIsGivenPastTheQueueOfAnother(t *testing.T) {
	g, _ := testGateway(t, nil)
	s, index := g.state, g.Index()
	for _, service := range []string{"app", "llm"} {
		for _, u := range s.serving[service] {
			u.own.Requests = 100
		}
	}
	add := func(path, service string, p *Prompt) *waiter {
		r := request(path)
		r.Prompt = p
		w := &waiter{granted: make(chan *plan, 1), run: &run{
			gateway: g, request: r, index: index, route: index.Route("h", path), service: service, tried: make(map[*upstreamState]bool),
			deadline: time.Now().Add(time.Second),
		}}
		s.enqueue(w)
		return w
	}
	for range dispatchDepth {
		add("/stream/x", "llm", prompt(placement.Part{ID: "p", Tokens: 100}))
	}
	call := add("/safe/x", "app", nil)
	s.mu.Lock()
	for _, u := range s.serving["app"] {
		u.own.Requests = 0
	}
	s.dispatch(time.Now())
	s.mu.Unlock()
	select {
	case <-call.granted:
	default:
		t.Errorf("the call still waits, with %d others", len(s.waiting)-1)
	}
}
