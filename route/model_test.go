package route

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// An upstream prefills at a rate other than the prior, with noise. After 100 requests
// the predictions must be near the true times over the whole range of prompt lengths,
// not only near the mean.
func TestLearnsPrefillRate(t *testing.T) {
	p := newPlanner(t, Options{})
	r := random()
	for range 100 {
		tokens := 500 + r.IntN(30_000)
		took := (0.02 + float64(tokens)/8000) * (0.9 + 0.2*r.Float64())
		p.Observe(Observation{Upstream: "slow", Target: time.Second, RecomputedTokens: tokens, Prefill: seconds(took)})
	}
	m := p.model("slow", time.Second)
	for _, tokens := range []int{1000, 10_000, 30_000} {
		got, want := p.prefill(m, tokens).Seconds(), 0.02+float64(tokens)/8000
		if math.Abs(got-want) > 0.15*want+0.02 {
			t.Errorf("%d tokens: predicted %.2f s, want %.2f s", tokens, got, want)
		}
	}
}

// Reports are wrong: a clock that jumped yields an hour of queue wait, a lost counter
// yields none. One such report may shift the prediction slightly, but must neither
// exclude the upstream nor make it look free, and true reports afterwards must
// restore the prediction.
func TestBadReportsAreBounded(t *testing.T) {
	bad := map[string]time.Duration{"an hour": time.Hour, "zero": 0, "negative": -time.Minute}
	for name, wait := range bad {
		t.Run(name, func(t *testing.T) {
			p := newPlanner(t, Options{})
			observeTrue := func() {
				p.Observe(Observation{Upstream: "u", Target: time.Second, QueuedTokens: 10_000, Wait: 500 * time.Millisecond})
			}
			predicted := func() float64 {
				return p.wait(p.model("u", time.Second), Candidate{QueuedTokens: 10_000}).Seconds()
			}
			for range 50 {
				observeTrue()
			}
			p.Observe(Observation{Upstream: "u", Target: time.Second, QueuedTokens: 10_000, Wait: wait})
			if got := predicted(); got < 0.4 || got > 1 {
				t.Errorf("one bad report moved the prediction from 0.5 s to %.2f s", got)
			}
			for range 1000 {
				p.Observe(Observation{Upstream: "u", Target: time.Second, QueuedTokens: 10_000, Wait: wait})
			}
			if got := predicted(); got < 0 || got > 0.5*maxCoefFactor {
				t.Errorf("many bad reports made the prediction %.2f s", got)
			}
			for range 300 {
				observeTrue()
			}
			if got := predicted(); got < 0.35 || got > 0.75 {
				t.Errorf("after true reports the prediction is %.2f s, want 0.5 s", got)
			}
		})
	}
}

// Random, including absurd, observations over a long time. No prediction may become
// negative, infinite or not a number, because a comparison with such a cost would
// choose the plan always or never.
func TestPredictionsStayFinite(t *testing.T) {
	p := newPlanner(t, Options{})
	r := random()
	for range 50_000 {
		p.Observe(Observation{
			Upstream: "u", Target: time.Duration(r.Int64N(int64(time.Minute))),
			QueuedTokens: r.Int64N(1 << 40), Excess: r.IntN(1000), Wait: time.Duration(r.Uint64()),
			RecomputedTokens: r.IntN(1 << 30), Prefill: time.Duration(r.Uint64()),
			Predicted: time.Duration(r.Uint64()), FirstToken: time.Duration(r.Uint64()),
		})
		p.ObserveTransfer(Transfer{Store: "s", PendingBytes: r.Int64N(1 << 50), Bytes: r.Int64N(1 << 40), Took: time.Duration(r.Uint64())})
		d, err := p.Plan(start, Request{
			PromptTokens: 1 + r.IntN(100_000), Arrived: start, Target: time.Second,
			Candidates: []Candidate{{Upstream: "u", QueuedTokens: r.Int64N(1 << 40), Slots: 8, Running: r.IntN(100)}},
			Copies:     []Copy{{Store: "s", To: 1 + r.IntN(100_000), Bytes: r.Int64N(1 << 40)}},
		}, r)
		if err != nil {
			t.Fatal(err)
		}
		if math.IsNaN(d.Cost) || math.IsInf(d.Cost, 0) || d.Cost < 0 || d.FirstToken < 0 {
			t.Fatalf("invalid prediction in decision %+v", d.Prediction)
		}
	}
}

// Nine entries have the same report, in which one of eight equal upstreams looks
// slightly better. If all of them chose it, it would be overloaded until the next
// report.
func TestEqualUpstreamsShareRequests(t *testing.T) {
	chosen := map[ident.Upstream]int{}
	for entry := range 9 {
		p := newPlanner(t, Options{})
		r := rand.New(rand.NewPCG(uint64(entry), 1))
		for range 100 {
			req := Request{PromptTokens: 5000, Arrived: start, Target: time.Second}
			for u := range 8 {
				name := ident.Upstream(rune('a' + u))
				req.Candidates = append(req.Candidates, Candidate{Upstream: name, Slots: 8, QueuedTokens: int64(u)})
			}
			d, err := p.Plan(start, req, r)
			if err != nil {
				t.Fatal(err)
			}
			chosen[d.Upstream]++
		}
	}
	for name, n := range chosen {
		if n > 300 {
			t.Errorf("%s was chosen %d times of 900", name, n)
		}
	}
}

// A request with many candidates and copies must not cost more than the bounds allow,
// and the planner must not keep more models than configured.
func TestBounds(t *testing.T) {
	p := newPlanner(t, Options{MaxUpstreams: 10})
	req := Request{PromptTokens: 40_000, Arrived: start, Target: time.Second}
	for u := range 100 {
		name := ident.Upstream(rune(1000 + u))
		p.Observe(Observation{Upstream: name, RecomputedTokens: 100, Prefill: time.Millisecond})
		p.ObserveTransfer(Transfer{Store: name, Bytes: 1, Took: time.Millisecond})
		req.Candidates = append(req.Candidates, Candidate{Upstream: name})
		req.Copies = append(req.Copies, Copy{Store: name, From: u * 400, To: (u + 1) * 400, Bytes: 1 << 20})
	}
	d, err := p.Plan(start, req, random())
	if err != nil {
		t.Fatal(err)
	}
	if len(d.Considered) > MaxCandidates*plansPerCandidate {
		t.Errorf("%d plans were considered", len(d.Considered))
	}
	upstreams, links := p.Learned()
	if len(upstreams) > 10*bandCount || len(links) > 10 {
		t.Errorf("%d models of upstreams and %d of links are kept", len(upstreams), len(links))
	}
	p.Forget(ident.Upstream(rune(1000)))
	if after, _ := p.Learned(); len(after) != len(upstreams)-bandCount {
		t.Error("the models of a forgotten upstream are still there")
	}
	if _, err := p.Plan(start, Request{}, random()); err == nil {
		t.Error("a request without candidates got a plan")
	}
}

// The cache events of an upstream are lost, so that it no longer holds the blocks
// recorded for it, and its cache accuracy drops. The plan must then count on fewer
// cached tokens, and verify those that it uses.
func TestInaccurateHolderIsVerified(t *testing.T) {
	p := newPlanner(t, Options{})
	inaccurate := Candidate{Upstream: "inaccurate", Slots: 8, CachedTokens: 20_000, CacheAccuracy: 0.3}
	accurate := Candidate{Upstream: "accurate", Slots: 8, CachedTokens: 20_000, CacheAccuracy: 1}
	req := Request{PromptTokens: 20_100, Arrived: start, Target: time.Second, Candidates: []Candidate{inaccurate, accurate}}
	d, err := p.Plan(start, req, random())
	if err != nil || d.Upstream != "accurate" || d.Verify {
		t.Errorf("chose %s, verify %v, %v; want the accurate holder unverified", d.Upstream, d.Verify, err)
	}
	req.Candidates = req.Candidates[:1]
	if d, err = p.Plan(start, req, random()); err != nil || !d.Verify {
		t.Errorf("verify %v, %v; want the inaccurate holder verified", d.Verify, err)
	}
}
