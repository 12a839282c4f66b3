package route

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// An upstream prefills at a rate other than the prior, with noise. After a few
// dozen requests predictions must be near the truth over the whole range of
// prompt lengths, not only near the mean.
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

// Reports are wrong in turn: a clock that jumped gives an hour of queue wait, a
// lost counter gives none at all. One such report may bend the prediction a
// little; it may not take the upstream out of use or make it look free, and
// true reports afterwards must restore it.
func TestBadReportsAreBounded(t *testing.T) {
	bad := map[string]time.Duration{"an hour": time.Hour, "zero": 0, "negative": -time.Minute}
	for name, wait := range bad {
		t.Run(name, func(t *testing.T) {
			p := newPlanner(t, Options{})
			truth := func() {
				p.Observe(Observation{Upstream: "u", Target: time.Second, QueuedTokens: 10_000, Wait: 500 * time.Millisecond})
			}
			predicted := func() float64 {
				return p.wait(p.model("u", time.Second), Candidate{QueuedTokens: 10_000}).Seconds()
			}
			for range 50 {
				truth()
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
				truth()
			}
			if got := predicted(); got < 0.35 || got > 0.75 {
				t.Errorf("after true reports the prediction is %.2f s, want 0.5 s", got)
			}
		})
	}
}

// Random observations, also absurd ones, for a long time: no prediction may
// become negative, infinite or not a number, since a comparison with such a cost
// would choose for ever or never.
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
			t.Fatalf("decision %+v", d.Prediction)
		}
	}
}

// Nine entries see the same report, in which one of eight equal upstreams looks
// a little better. If all chose it, it would be overrun until the next report.
func TestEqualUpstreamsAreSharedOut(t *testing.T) {
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

// Requests behind many candidates, copies and upstreams must not cost more than
// the bounds allow, and the planner must not keep more than it was told to.
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
		t.Errorf("%d plans weighed", len(d.Considered))
	}
	upstreams, links := p.Learned()
	if len(upstreams) > 10*bandCount || len(links) > 10 {
		t.Errorf("%d models of upstreams and %d of links kept", len(upstreams), len(links))
	}
	p.Forget(ident.Upstream(rune(1000)))
	if after, _ := p.Learned(); len(after) != len(upstreams)-bandCount {
		t.Error("a forgotten upstream is still known")
	}
	if _, err := p.Plan(start, Request{}, random()); err == nil {
		t.Error("a request without candidates got a plan")
	}
}

// A holder's cache events are lost, so that it no longer has what it is thought
// to have. Its record lowers the trust: the plan must then count on less, and
// ask to verify what it builds on.
func TestDoubtedHolder(t *testing.T) {
	p := newPlanner(t, Options{})
	doubted := Candidate{Upstream: "doubted", Slots: 8, CachedTokens: 20_000, CacheAccuracy: 0.3}
	trusted := Candidate{Upstream: "trusted", Slots: 8, CachedTokens: 20_000, CacheAccuracy: 1}
	req := Request{PromptTokens: 20_100, Arrived: start, Target: time.Second, Candidates: []Candidate{doubted, trusted}}
	d, err := p.Plan(start, req, random())
	if err != nil || d.Upstream != "trusted" || d.Verify {
		t.Errorf("chose %s, verify %v, %v; want the trusted holder unverified", d.Upstream, d.Verify, err)
	}
	req.Candidates = req.Candidates[:1]
	if d, err = p.Plan(start, req, random()); err != nil || !d.Verify {
		t.Errorf("verify %v, %v; want the doubted holder verified", d.Verify, err)
	}
}
