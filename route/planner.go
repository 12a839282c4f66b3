package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Options configures a Planner. A zero field takes its default.
type Options struct {
	// PrefillTokensPerSecond, BytesPerSecond and RequestSeconds are the priors of the
	// learned models: the prefill rate of one upstream, the rate of one store link,
	// and the time until a busy slot becomes free, divided by the number of slots.
	PrefillTokensPerSecond float64
	BytesPerSecond         float64
	RequestSeconds         float64
	// RecomputeWeight and LinkWeight are the costs of one second of accelerator time
	// and of link time, on the scale of WaitWeight.
	RecomputeWeight, LinkWeight float64
	// WaitWeight is the cost of one second of waiting for the first token. LateWeight
	// is the additional cost of one second beyond the target.
	WaitWeight, LateWeight float64
	// BlockTokens is the length of a block in tokens; a fetch is split at block
	// boundaries.
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
		name     string
		value    *float64
		fallback float64
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
			*f.value = f.fallback
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

// Planner chooses plans for requests and learns from their outcomes. It is not safe
// for concurrent use.
type Planner struct {
	options   Options
	upstreams map[ident.Upstream]*upstreamModel
	links     map[linkKey]*linear
	prior     upstreamModel
	priorLink linear
	scratch   []part
}

// linkKey identifies the model of reading from one tier of a store host. The tiers
// are separate because a disk is slower than the link in front of it.
type linkKey struct {
	store ident.Upstream
	slow  bool
}

// upstreamModel is the model learned for one upstream.
type upstreamModel struct {
	// bands are learned separately: engines run urgent requests first, so that the
	// same queue is short for one class and long for another.
	bands [bandCount]bandModel
}

type bandModel struct {
	wait    linear // features: tokens ahead, and requests beyond the free slots
	prefill linear // features: constant 1, and tokens to compute
	// predictionError is the mean absolute error of the predicted time to first
	// token, in seconds.
	predictionError float64
}

// bandCount is the number of urgency bands.
const bandCount = 3

// bandOf returns the urgency band of a target: 0 up to a second, 1 up to ten seconds,
// 2 above.
func bandOf(target time.Duration) int {
	switch {
	case target <= time.Second:
		return 0
	case target <= 10*time.Second:
		return 1
	}
	return 2
}

// New returns a Planner whose models are the priors.
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
	for i := range p.prior.bands {
		p.prior.bands[i] = bandModel{
			wait:    newLinear([2]float64{token, o.RequestSeconds}, [2]float64{typicalTokens, 1}),
			prefill: newLinear([2]float64{prefillOverhead, token}, [2]float64{1, typicalTokens}),
		}
	}
	p.priorLink = newLinear([2]float64{linkOverhead, 1 / o.BytesPerSecond}, [2]float64{1, typicalBytes})
	return p, nil
}

// Overheads of the priors, in seconds, and typical sizes of the features, in tokens
// and bytes.
const (
	typicalTokens   = 4096
	typicalBytes    = 256 << 20
	prefillOverhead = 0.005
	linkOverhead    = 0.002
)

// Observe updates the models with the outcome of a finished request.
func (p *Planner) Observe(o Observation) {
	m := p.upstreams[o.Upstream]
	if m == nil {
		if len(p.upstreams) >= p.options.MaxUpstreams {
			return
		}
		prior := p.prior
		m = &prior
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
		predictionError := min((o.FirstToken - o.Predicted).Abs().Seconds(), maxObservationFactor*o.Predicted.Seconds()+observationOffset)
		band.predictionError += errorGain * (predictionError - band.predictionError)
	}
}

// ObserveTransfer updates the models with the outcome of a finished import.
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
		prior := p.priorLink
		l = &prior
		p.links[key] = l
	}
	l.observe(1, float64(t.PendingBytes+t.Bytes), t.Took.Seconds())
}

// Forget removes the models of an upstream that has left.
func (p *Planner) Forget(upstream ident.Upstream) {
	delete(p.upstreams, upstream)
	delete(p.links, linkKey{upstream, false})
	delete(p.links, linkKey{upstream, true})
}

func (p *Planner) model(upstream ident.Upstream, target time.Duration) *bandModel {
	m := p.upstreams[upstream]
	if m == nil {
		m = &p.prior
	}
	return &m.bands[bandOf(target)]
}

// Plan predicts the plans for a request and returns the cheapest. random breaks near
// ties, so that entries that received the same reports do not all choose the same
// upstream.
func (p *Planner) Plan(now time.Time, req Request, random *rand.Rand) (Decision, error) {
	candidates := req.Candidates[:min(len(req.Candidates), MaxCandidates)]
	if len(candidates) == 0 {
		return Decision{}, ErrNoCandidate
	}
	timeLeft := req.timeLeft(now)
	best := Decision{Considered: make([]Prediction, 0, 2*len(candidates))}
	var chosen Candidate
	chosenRank := 0.0
	for _, c := range candidates {
		m := p.model(c.Upstream, req.Target)
		for _, pred := range p.plans(m, c, req) {
			if pred.Kind == 0 {
				continue
			}
			pred.Cost = p.cost(pred, timeLeft)
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
	best.Slack = timeLeft - best.FirstToken
	best.MeetsTarget = best.Slack >= 0
	return best, nil
}

// tieBreak is the relative difference in cost within which the choice is random.
const tieBreak = 0.02

// timeLeft returns the time until the target, or until the deadline if that is
// earlier.
func (r Request) timeLeft(now time.Time) time.Duration {
	timeLeft := r.Target - now.Sub(r.Arrived)
	if !r.Deadline.IsZero() {
		timeLeft = min(timeLeft, r.Deadline.Sub(now))
	}
	return timeLeft
}

// cost returns the cost of a plan. Within the target waiting is cheap and the work
// dominates; beyond it the lateness does. Half of the margin counts as late, which
// spreads the transition over the uncertainty of the models instead of making it a
// step.
func (p *Planner) cost(pred Prediction, timeLeft time.Duration) float64 {
	o := &p.options
	cost := o.RecomputeWeight*pred.Prefill.Seconds() + o.LinkWeight*pred.Fetch.Seconds()
	cost += o.WaitWeight * pred.FirstToken.Seconds()
	late := pred.FirstToken + pred.Margin/2 - timeLeft
	if late > 0 {
		cost += o.LateWeight * late.Seconds()
	}
	return cost
}
