package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Options configure a Planner. The zero value of each field takes the default.
type Options struct {
	// PrefillTokensPerSecond, BytesPerSecond and RequestSeconds are the priors
	// of the learned models: one upstream's prefill rate, one store link, and
	// the time until a busy slot frees, divided by the slots.
	PrefillTokensPerSecond float64
	BytesPerSecond         float64
	RequestSeconds         float64
	// RecomputeWeight and LinkWeight price a second of accelerator and of link
	// time against a second of waiting.
	RecomputeWeight, LinkWeight float64
	// WaitWeight prices a second until the first token within the target, and
	// LateWeight one beyond it.
	WaitWeight, LateWeight float64
	// BlockTokens is the length of a block: a fetch is split between blocks.
	BlockTokens int
	// MaxUpstreams bounds the upstreams and stores with learned models.
	MaxUpstreams int
}

// Defaults of Options.
const (
	DefaultPrefillRate     = 20_000
	DefaultLinkRate        = 1.25e9
	DefaultRequestSeconds  = 0.1
	DefaultRecomputeWeight = 1.0
	DefaultLinkWeight      = 0.1
	DefaultWaitWeight      = 0.05
	DefaultLateWeight      = 20
	DefaultMaxUpstreams    = 1024
	DefaultBlockTokens     = 1000
)

// ErrOptions reports an Options field out of range.
var ErrOptions = errors.New("route: bad options")

func (o Options) withDefaults() (Options, error) {
	for _, f := range []struct {
		name  string
		value *float64
		usual float64
	}{
		{"PrefillTokensPerSecond", &o.PrefillTokensPerSecond, DefaultPrefillRate},
		{"BytesPerSecond", &o.BytesPerSecond, DefaultLinkRate},
		{"RequestSeconds", &o.RequestSeconds, DefaultRequestSeconds},
		{"RecomputeWeight", &o.RecomputeWeight, DefaultRecomputeWeight},
		{"LinkWeight", &o.LinkWeight, DefaultLinkWeight},
		{"WaitWeight", &o.WaitWeight, DefaultWaitWeight},
		{"LateWeight", &o.LateWeight, DefaultLateWeight},
	} {
		if *f.value < 0 {
			return o, fmt.Errorf("%w: %s is negative", ErrOptions, f.name)
		}
		if *f.value == 0 {
			*f.value = f.usual
		}
	}
	if o.BlockTokens <= 0 {
		o.BlockTokens = DefaultBlockTokens
	}
	if o.MaxUpstreams <= 0 {
		o.MaxUpstreams = DefaultMaxUpstreams
	}
	return o, nil
}

// Planner places requests and learns from their outcomes. It is not safe for
// concurrent use.
type Planner struct {
	options   Options
	upstreams map[ident.Upstream]*upstreamModel
	links     map[linkKey]*linear
	fresh     upstreamModel
	freshLink linear
	scratch   []part
}

// linkKey names what is learned about reading from a store host. Its tiers are
// apart, because a disk is slower than the link behind which it sits.
type linkKey struct {
	store ident.Upstream
	slow  bool
}

// upstreamModel is what is learned about one upstream.
type upstreamModel struct {
	// bands are learned apart: engines run urgent requests first, so that the
	// same queue is short for one class and long for another.
	bands [bandCount]bandModel
}

type bandModel struct {
	wait    linear // over tokens ahead and requests beyond the free slots
	prefill linear // over one and the tokens to compute
	// miss is the mean absolute error of the predicted first token, seconds.
	miss float64
}

// bandCount is the number of bands of urgency.
const bandCount = 3

// bandOf groups targets: about a second, about ten, and more.
func bandOf(target time.Duration) int {
	switch {
	case target <= time.Second:
		return 0
	case target <= 10*time.Second:
		return 1
	}
	return 2
}

// New returns a Planner that starts from the priors.
func New(options Options) (*Planner, error) {
	o, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	token := 1 / o.PrefillTokensPerSecond
	p := &Planner{
		options:   o,
		upstreams: make(map[ident.Upstream]*upstreamModel),
		links:     make(map[linkKey]*linear),
		scratch:   make([]part, 0, MaxCopies),
	}
	for i := range p.fresh.bands {
		p.fresh.bands[i] = bandModel{
			wait:    newLinear([2]float64{token, o.RequestSeconds}, [2]float64{usualTokens, 1}),
			prefill: newLinear([2]float64{prefillOverhead, token}, [2]float64{1, usualTokens}),
		}
	}
	p.freshLink = newLinear([2]float64{linkOverhead, 1 / o.BytesPerSecond}, [2]float64{1, usualBytes})
	return p, nil
}

// Priors and usual sizes of features.
const (
	usualTokens     = 4096
	usualBytes      = 256 << 20
	prefillOverhead = 0.005
	linkOverhead    = 0.002
)

// Observe learns from a finished request.
func (p *Planner) Observe(o Observation) {
	m := p.upstreams[o.Upstream]
	if m == nil {
		if len(p.upstreams) >= p.options.MaxUpstreams {
			return
		}
		fresh := p.fresh
		m = &fresh
		p.upstreams[o.Upstream] = m
	}
	band := &m.bands[bandOf(o.Target)]
	if o.QueuedTokens > 0 || o.Excess > 0 {
		band.wait.observe(float64(o.QueuedTokens), float64(o.Excess), o.Wait.Seconds())
	}
	if o.RecomputedTokens > 0 {
		band.prefill.observe(1, float64(o.RecomputedTokens), o.Prefill.Seconds())
	}
	if o.Predicted > 0 {
		miss := min((o.FirstToken - o.Predicted).Abs().Seconds(), maxSurprise*o.Predicted.Seconds()+surpriseFloor)
		band.miss += noiseGain * (miss - band.miss)
	}
}

// ObserveTransfer learns from a finished import.
func (p *Planner) ObserveTransfer(t Transfer) {
	if t.Bytes <= 0 {
		return
	}
	key := linkKey{t.Store, t.Slow}
	l := p.links[key]
	if l == nil {
		if len(p.links) >= p.options.MaxUpstreams {
			return
		}
		fresh := p.freshLink
		l = &fresh
		p.links[key] = l
	}
	l.observe(1, float64(t.PendingBytes+t.Bytes), t.Took.Seconds())
}

// Forget drops what was learned about an upstream that has left.
func (p *Planner) Forget(upstream ident.Upstream) {
	delete(p.upstreams, upstream)
	delete(p.links, linkKey{upstream, false})
	delete(p.links, linkKey{upstream, true})
}

func (p *Planner) model(upstream ident.Upstream, target time.Duration) *bandModel {
	m := p.upstreams[upstream]
	if m == nil {
		m = &p.fresh
	}
	return &m.bands[bandOf(target)]
}

// Plan weighs the plans for a request and returns the cheapest. random breaks
// near ties, so that entries which see the same reports don't all choose the
// same upstream.
func (p *Planner) Plan(now time.Time, req Request, random *rand.Rand) (Decision, error) {
	candidates := req.Candidates[:min(len(req.Candidates), MaxCandidates)]
	if len(candidates) == 0 {
		return Decision{}, ErrNoCandidate
	}
	allowed := req.allowed(now)
	best := Decision{Considered: make([]Prediction, 0, 2*len(candidates))}
	var chosen Candidate
	chosenRank := 0.0
	for _, c := range candidates {
		m := p.model(c.Upstream, req.Target)
		for _, pred := range p.plans(m, c, req) {
			if pred.Kind == 0 {
				continue
			}
			pred.Cost = p.cost(pred, allowed)
			best.Considered = append(best.Considered, pred)
			rank := pred.Cost * (1 + tieBreak*random.Float64())
			if best.Kind == 0 || rank < chosenRank {
				best.Prediction, chosen, chosenRank = pred, c, rank
			}
		}
	}
	if best.FetchTokens > 0 {
		best.Parts = p.parts(chosen, req, best.Prediction)
	}
	best.Verify = best.CachedTokens > 0 && chosen.CacheAccuracy > 0 && chosen.CacheAccuracy < verifyBelow
	best.Slack = allowed - best.FirstToken
	best.MeetsTarget = best.Slack >= 0
	return best, nil
}

// tieBreak is the relative difference in cost that chance may overrule.
const tieBreak = 0.02

// allowed is the time left until the target, or the deadline if that is sooner.
func (r Request) allowed(now time.Time) time.Duration {
	allowed := r.Target - now.Sub(r.Arrived)
	if !r.Deadline.IsZero() {
		allowed = min(allowed, r.Deadline.Sub(now))
	}
	return allowed
}

// cost weighs work against waiting. Within the target waiting is cheap and
// work decides; beyond it lateness does. Half of the margin counts as late,
// which spreads the change over the model's uncertainty instead of a cliff.
func (p *Planner) cost(pred Prediction, allowed time.Duration) float64 {
	o := &p.options
	cost := o.RecomputeWeight*pred.Prefill.Seconds() + o.LinkWeight*pred.Fetch.Seconds()
	cost += o.WaitWeight * pred.FirstToken.Seconds()
	late := pred.FirstToken + pred.Margin/2 - allowed
	if late > 0 {
		cost += o.LateWeight * late.Seconds()
	}
	return cost
}
