package gateway

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/placement"
)

// gatedBody is an answer's body that ends when its gate opens.
type gatedBody struct {
	open  chan struct{}
	begun bool
}

func (b *gatedBody) Next() (Piece, error) {
	if !b.begun {
		<-b.open
		b.begun = true
		return Piece{Data: []byte("id: 1\n\n"), ID: "1"}, nil
	}
	return Piece{}, io.EOF
}

func (b *gatedBody) Close() {}

// Guards against runners that get more prompts than their memory holds, fetch parts and evict
// them before the prefill: ten prompts of 20,000 tokens for two runners with memory for
// 50,000. The excess prompts wait at the entry until it is their turn.
func TestPromptsBeyondRunnerMemoryWait(t *testing.T) {
	for _, shares := range []bool{false, true} {
		t.Run(fmt.Sprintf("shares=%v", shares), func(t *testing.T) { fillRunnerMemory(t, shares) })
	}
}

func fillRunnerMemory(t *testing.T, shares bool) {
	open := make(chan struct{})
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return &Answer{Status: 200, Body: &gatedBody{open: open}}, nil })
	g.state.waitLimits = waitLimits{longest: time.Minute, first: 10}
	if shares {
		g.state.shares = newShareQueues(nil)
	}
	var all sync.WaitGroup
	for i := range 10 {
		all.Go(func() {
			r := request("/stream/x")
			r.Wait, r.Arrived = time.Hour, time.Now()
			r.Prompt = prompt(placement.Part{ID: string(rune('a' + i)), Tokens: 16000}, placement.Part{ID: "own", Tokens: 4000})
			rec := &recorder{}
			g.Serve(context.Background(), r, rec)
			if rec.end != "done" {
				t.Errorf("prompt %d ends %q: %v", i, rec.end, rec.cause)
			}
		})
	}
	waiting := func() int {
		g.state.mu.Lock()
		defer g.state.mu.Unlock()
		return g.state.waitingCount()
	}
	for deadline := time.Now().Add(20 * time.Second); sender.count() < 4 || waiting() < 6; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d sends and %d waiting, want 4 and 6", sender.count(), waiting())
		}
	}
	g.state.mu.Lock()
	for id, u := range g.state.upstreams {
		if u.own.Tokens > 42500 {
			t.Errorf("%s has %d tokens under way", id, u.own.Tokens)
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

// Guards against a short prompt of a team with a low rank that is refused because long prompts
// wait, although it takes almost no capacity.
func TestQueueOrdersBySizeAndRank(t *testing.T) {
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

// After a restart of all processes, callers that were cut off retry beside first attempts. The
// retries are late whenever they are served, and lost if they are refused again, while first
// attempts can be in time: these go first. Retries wait as long, and are not refused because
// first attempts wait.
func TestRetriesWaitBehindFirstAttempts(t *testing.T) {
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
		t.Error("want the limit reached for first attempts, but not for retries")
	}
	fresh := waiting("fresh", 5*time.Second)
	if a, b := fresh.longestWait(s.waitLimits, now), returned.longestWait(s.waitLimits, now); a != 300*time.Millisecond || b != a {
		t.Errorf("wait %v and %v, want 0.3 of the target of 1 s", a, b)
	}
}

// The retry budget holds for all entries together: eight entries that use all of their shares,
// twice because they restarted once, have to stay within the deployment's allowance.
func TestRetryBudgetsOfAllEntriesAddUp(t *testing.T) {
	limits := BudgetLimits{Ratio: 0.2, Extra: 58}
	const entries, perEntry = 8, 400
	retries := 0
	for range entries * 2 {
		b := newBudgets()
		b.limits = limits
		now := b.start
		for range perEntry / 2 {
			now = now.Add(20 * time.Millisecond)
			b.countRequest("app", now)
			for b.allowRetry("app", entries, now) {
				retries++
			}
		}
	}
	allowed := limits.Ratio*entries*perEntry + float64(limits.Extra)
	if float64(retries) > allowed || retries == 0 {
		t.Fatalf("%d retries, %v are allowed", retries, allowed)
	}
}

func TestRetryBudgetWindowSlides(t *testing.T) {
	b := newBudgets()
	b.limits = BudgetLimits{Extra: 32}
	take := func(at time.Duration) (n int) {
		for b.allowRetry("app", 8, b.start.Add(at)) {
			n++
		}
		return n
	}
	if first, again := take(0), take(9*time.Second); first != 2 || again != 0 {
		t.Fatalf("%d retries, then %d more within the window", first, again)
	}
	if later := take(11 * time.Second); later != 2 {
		t.Fatalf("%d retries after the window", later)
	}
}

func TestUpstreamIsReinstated(t *testing.T) {
	var u health
	now := time.Unix(100, 0)
	u.failed(now)
	if u.penalty(now, false) < ejectedCost {
		t.Fatal("a failed upstream is not ejected")
	}
	if u.penalty(now.Add(maxEjection), false) >= ejectedCost {
		t.Fatal("an upstream is never reinstated")
	}
	for range 50 {
		u.answered(true, now)
	}
	if cost := u.penalty(now, false); cost != 0 {
		t.Fatalf("a healthy upstream has a penalty of %v", cost)
	}
}

func TestSlowdownExpires(t *testing.T) {
	var p slowdown
	now := time.Unix(100, 0)
	for range 5 {
		p.observe(8, now)
	}
	if p.current(now) < 4 {
		t.Fatalf("the slowdown after five transfers 8 times as long is %v", p.current(now))
	}
	if p.current(now.Add(slowdownTTL+1)) != 1 {
		t.Fatal("the slowdown of a store doesn't expire")
	}
}

// The load that an upstream reports with an answer is newer than that reported by the other
// entries: a replica that reports itself full gets no further request while another has
// capacity.
func TestReportedLoadDecidesBetweenReplicas(t *testing.T) {
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
		t.Fatalf("%d of 30 requests were sent to replicas that reported themselves full", others)
	}
}

// Guards against a request refused for lack of capacity although its service has some: sixteen
// short prompts wait for full runners, and a request of another service behind them. When an
// upstream of that service has capacity, dispatch has to look past the first of the queue.
func TestDispatchPassesQueueOfAnotherService(t *testing.T) {
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
		t.Errorf("the request still waits, with %d others", len(s.waiting)-1)
	}
}
