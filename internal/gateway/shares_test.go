package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/roster"
)

const loadTeams = 24

// sharesGateway returns a gateway of 24 teams, the key of each being its name.
func sharesGateway(t *testing.T, load LoadOptions, script func(n int, s *Send) (*Answer, error)) (*Gateway, *scriptedSender) {
	t.Helper()
	quiet := log.New(io.Discard)
	sender := &scriptedSender{script: script}
	g, err := New(Options{
		Host: "e1", Sender: sender, Budget: BudgetLimits{Ratio: 0.2, Extra: 200}, Rates: placement.DefaultRates(), Load: load,
		Log: quiet, Decisions: decision.New(quiet),
	})
	if err != nil {
		t.Fatal(err)
	}
	answer := testAnswer()
	answer.Document.Teams = nil
	for i := range loadTeams {
		name := fmt.Sprintf("team-%d", i)
		answer.Document.Teams = append(answer.Document.Teams, catalog.Team{Name: name, Keys: []string{name}})
	}
	g.ApplyAnswer(answer, time.Now())
	return g, sender
}

// callers sends prompts and counts what becomes of them.
type callers struct {
	gateway *Gateway
	// small makes the prompts small.
	small bool
	all   sync.WaitGroup
	mu    sync.Mutex
	// sent, served and inTime count by kind of caller.
	sent, served, inTime map[string]int
	retryAfter           []time.Duration
}

func newCallers(g *Gateway) *callers {
	return &callers{gateway: g, sent: make(map[string]int), served: make(map[string]int), inTime: make(map[string]int)}
}

// send sends a prompt of 20,000 tokens at a time from now. A caller that is refused comes back once.
func (c *callers) send(kind string, team, n int, at time.Duration) {
	c.all.Go(func() {
		time.Sleep(at)
		began := time.Now()
		rec := c.try(fmt.Sprintf("%s-%d", kind, n), team, 5*time.Second)
		var refused *outcome.NotRun
		if errors.As(rec.cause, &refused) {
			c.mu.Lock()
			c.retryAfter = append(c.retryAfter, refused.RetryAfter)
			c.mu.Unlock()
			time.Sleep(refused.RetryAfter)
			rec = c.try(fmt.Sprintf("%s-%d-again", kind, n), team, 5*time.Second-time.Since(began))
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sent[kind]++
		if rec.end == "done" {
			c.served[kind]++
			if rec.at.Sub(began) <= time.Second {
				c.inTime[kind]++
			}
		}
	})
}

func (c *callers) try(id string, team int, left time.Duration) *firstPiece {
	r := request("/stream/x")
	r.ID, r.Key, r.Wait = id, fmt.Sprintf("team-%d", team), left
	r.Prompt = prompt(placement.Part{ID: r.ID, Tokens: 12000}, placement.Part{ID: "own", Tokens: 8000})
	if c.small {
		r.Prompt = prompt(placement.Part{ID: r.ID, Tokens: 100}, placement.Part{ID: "own", Tokens: 100})
	}
	rec := &firstPiece{}
	c.gateway.Serve(context.Background(), r, rec)
	return rec
}

func (c *callers) share(kind string) float64 { return float64(c.inTime[kind]) / float64(c.sent[kind]) }

// firstPiece is a recorder that notes when the answer began.
type firstPiece struct {
	recorder
	at time.Time
}

func (f *firstPiece) Piece(data []byte) error {
	if f.at.IsZero() {
		f.at = time.Now()
	}
	return f.recorder.Piece(data)
}

func slowRunner(int, *Send) (*Answer, error) {
	return &Answer{Status: 200, Body: &delayedBody{first: 200 * time.Millisecond, rest: 100 * time.Millisecond}}, nil
}

// Guards against a team that takes the capacity of all: one of 24 teams sends three times what
// the runners serve, beside an ordinary load. The others lose less than 0.05 of their answers in
// time.
func TestFloodingTeamCostsOtherTeamsLittle(t *testing.T) {
	play := func(load LoadOptions, flood bool) (others, flooding float64) {
		synctest.Test(t, func(t *testing.T) {
			g, _ := sharesGateway(t, load, slowRunner)
			c := newCallers(g)
			for i := range 60 {
				c.send("others", 1+i*7%(loadTeams-1), i, time.Duration(i)*160*time.Millisecond+time.Duration(i*37%60)*time.Millisecond)
			}
			for i := range 240 {
				if flood {
					c.send("flooding", 0, i, 2*time.Second+time.Duration(i)*25*time.Millisecond)
				}
			}
			c.all.Wait()
			if len(g.state.waiting) > 0 || g.state.shares != nil && (len(g.state.shares.waiters) > 0 || g.state.queue("llm").Len() > 0) {
				t.Error("requests are left in the queue")
			}
			others = c.share("others")
			if flood {
				flooding = c.share("flooding")
			}
		})
		return others, flooding
	}
	quiet, _ := play(LoadOptions{TeamShares: true}, false)
	others, flooding := play(LoadOptions{TeamShares: true}, true)
	without, _ := play(LoadOptions{}, true)
	t.Logf("in time: others %.3f, with the flood %.3f (flooding team %.3f); without shares %.3f", quiet, others, flooding, without)
	if others < quiet-0.05 {
		t.Errorf("the others have %.3f of their answers in time, %.3f without the flood", others, quiet)
	}
}

// Guards against work that is late already before work that can be in time: for some seconds no
// runner takes anything, as after the loss of power of all. The callers of then come back, and are
// answered behind the new ones, which are in time.
func TestLateRequestsWaitBehindNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := sharesGateway(t, LoadOptions{TeamShares: true}, slowRunner)
		busy := func(requests int) {
			g.state.mu.Lock()
			defer g.state.mu.Unlock()
			for _, u := range g.state.serving["llm"] {
				u.others.Requests = requests
			}
			g.state.dispatch(time.Now())
		}
		busy(100)
		c := newCallers(g)
		for i := range 8 {
			c.send("old", i, i, time.Duration(i)*20*time.Millisecond)
		}
		for i := range 40 {
			c.send("new", i%loadTeams, i, 2600*time.Millisecond+time.Duration(i)*150*time.Millisecond)
		}
		time.Sleep(2550 * time.Millisecond)
		g.state.mu.Lock()
		status := g.state.shares.status(time.Now())
		g.state.mu.Unlock()
		if status.Late != 8 {
			t.Errorf("%+v wait, want 8 late", status)
		}
		busy(0)
		c.all.Wait()
		t.Logf("old: %d of %d served; new: %d of %d in time", c.served["old"], c.sent["old"], c.inTime["new"], c.sent["new"])
		if c.share("new") < 0.95 {
			t.Errorf("%.2f of the new requests are answered in time", c.share("new"))
		}
		if c.served["old"] < 6 {
			t.Errorf("%d of 8 old requests are answered", c.served["old"])
		}
		if n := g.meter.lateGrants.Get(); n < 6 {
			t.Errorf("%d late grants are counted", n)
		}
	})
}

// Guards against requests that wait for an upstream that is gone: one of two runners is lost with
// work on it while requests wait. Those that wait are served by the other one or refused with a
// time to come back, and none is left in the queue.
func TestRequestsWaitThroughTheLossOfARunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := false
		var mu sync.Mutex
		g, _ := sharesGateway(t, LoadOptions{TeamShares: true}, func(n int, s *Send) (*Answer, error) {
			mu.Lock()
			defer mu.Unlock()
			if lost && s.Upstream == "l1" {
				return nil, dialRefused()
			}
			return slowRunner(n, s)
		})
		c := newCallers(g)
		for i := range 40 {
			c.send("callers", i%loadTeams, i, time.Duration(i)*50*time.Millisecond)
		}
		time.Sleep(time.Second)
		mu.Lock()
		lost = true
		mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		answer := testAnswer()
		answer.Document = nil
		answer.Roster.Revision, answer.Roster.Upstreams[3].State = 2, roster.Leaving
		g.ApplyAnswer(answer, time.Now())
		c.all.Wait()
		t.Logf("%d of %d served, %d came back", c.served["callers"], c.sent["callers"], len(c.retryAfter))
		if c.served["callers"] < 25 {
			t.Errorf("%d of 40 callers are served", c.served["callers"])
		}
		for _, after := range c.retryAfter {
			if after < defaultRetryAfter || after > 5*time.Second/3 {
				t.Errorf("a caller is to come back in %v", after)
			}
		}
		if g.state.waitingCount() != 0 {
			t.Errorf("%d requests are left waiting", g.state.waitingCount())
		}
	})
}

// Guards against new requests that count as late because answers begin late at the moment: all
// would rank behind as if they could not be in time.
func TestNewRequestIsNotLate(t *testing.T) {
	g, _ := sharesGateway(t, LoadOptions{TeamShares: true}, nil)
	now, route := time.Now(), g.Index().Route("h", "/stream/x")
	for tokens, lateAfter := range map[int]float64{100: 0.3, 30_000: 0.7, 100_000: 0.3} {
		r := &run{gateway: g, service: "llm", request: &Request{Arrived: now, Prompt: prompt(placement.Part{ID: "p", Tokens: tokens})}, route: route, deadline: now.Add(5 * time.Second)}
		for range 100 {
			g.state.learnedOf("llm").first.observe(3 * time.Second)
		}
		at := func(share float64) time.Time { return now.Add(time.Duration(share * float64(route.Target))) }
		if r.lateAt(g.state, at(lateAfter-0.02)) || !r.lateAt(g.state, at(lateAfter+0.02)) {
			t.Errorf("want a prompt of %d tokens to be late after %.2f of its target, not before", tokens, lateAfter)
		}
	}
}

// Guards against late requests of one entry that take the capacity which others need for requests
// that can be in time: they leave a part of it, and have a lower rank at the upstream.
func TestLateRequestsLeaveCapacity(t *testing.T) {
	g, sender := sharesGateway(t, LoadOptions{TeamShares: true}, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
	send := func(underWay time.Duration) *Send {
		r := request("/stream/x")
		r.Key, r.UnderWay, r.Forwarded = "team-1", underWay, true
		r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
		if rec := serve(g, r); rec.end != "done" {
			t.Fatalf("ends %q with %v", rec.end, rec.cause)
		}
		return sender.sends[len(sender.sends)-1]
	}
	if rank := send(0).Rank; rank != 0 {
		t.Errorf("a first attempt has rank %d", rank)
	}
	if rank := send(2 * time.Second).Rank; rank != lateRanks {
		t.Errorf("a late request has rank %d", rank)
	}
	u := &upstreamState{record: roster.Upstream{Slots: 16}}
	for requests, late := range map[int]bool{11: true, 14: true, 15: false, 19: false} {
		u.own.Requests = requests
		if !u.hasCapacity(need{small: true}) || u.hasCapacity(need{small: true, late: true}) != late {
			t.Errorf("with %d requests there is capacity for a late one: %v", requests, !late)
		}
	}
	u.own.Requests, u.own.Tokens, u.own.Unread = 1, 30_000, 100
	large := need{tokens: 17_000, prefillTokens: 100, memory: 77_000, maxPendingPrefill: 6000}
	late := large
	late.late = true
	if !u.hasCapacity(large) || u.hasCapacity(late) {
		t.Error("a late large prompt goes where others have their prefill")
	}
}

// Guards against a request that another entry forwarded being taken for a retry because it has
// less time left, and against one that says that it is a retry being taken for a first attempt.
func TestRetriesAreKnownByWhatIsStated(t *testing.T) {
	g, _ := sharesGateway(t, LoadOptions{TeamShares: true}, nil)
	now, route := time.Now(), g.Index().Route("h", "/stream/x")
	for name, test := range map[string]struct {
		request Request
		left    time.Duration
		retry   bool
	}{
		"first attempt":       {Request{}, 5 * time.Second, false},
		"forwarded":           {Request{Forwarded: true, UnderWay: time.Second}, 4 * time.Second, false},
		"less time":           {Request{}, 4 * time.Second, true},
		"forwarded retry":     {Request{Forwarded: true, UnderWay: time.Second}, 3 * time.Second, true},
		"resumes a stream":    {Request{Resumes: "id-0"}, 5 * time.Second, true},
		"has received events": {Request{ResumeAfter: "7"}, 5 * time.Second, true},
	} {
		r := &test.request
		r.Arrived = now
		if got := (&run{gateway: g, request: r, route: route, usualWait: 5 * time.Second, deadline: now.Add(test.left)}).isRetry(); got != test.retry {
			t.Errorf("%s: counts as a retry: %v", name, got)
		}
	}
	r := &run{gateway: g, request: &Request{Arrived: now}, route: route, usualWait: 5 * time.Second, deadline: now.Add(4 * time.Second)}
	if target := r.target(); !target.Equal(now) {
		t.Errorf("the target of a retry after a second is at %v, want now", target.Sub(now))
	}
}
