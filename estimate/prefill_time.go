package estimate

import "time"

const (
	// prefillDecay is the factor by which an observation's weight decreases with each newer
	// one. The last 50 observations make up two thirds of an estimate.
	prefillDecay = 0.98
	// prefillMinWeight is the total weight of observations below which the start value is
	// used.
	prefillMinWeight = 8.0
	// prefillMinSpread is the smallest relative standard deviation of prompt sizes at which
	// the time per token can be separated from the constant time per prompt.
	prefillMinSpread = 0.2
	// delayedWeight is the weight of an observation that may include a wait. With it the estimate is
	// near the fastest fifth of the observations.
	delayedWeight = 0.25
	// minPerMs and maxPerMs bound the estimate in tokens a millisecond, at about a
	// hundredth and a hundred times the speed of engines that are common today.
	minPerMs = 1.0
	maxPerMs = 10000.0
	// maxBaseMs bounds the constant time per prompt in milliseconds.
	maxBaseMs = 500.0
)

// PrefillTime estimates how many prompt tokens a runner prefills in a millisecond, and the
// constant time per prompt, by a linear regression with exponentially decaying weights.
type PrefillTime struct {
	start, startBase float64
	observed         Regression
}

// NewPrefillTime returns an estimate that starts at perMs tokens a millisecond and the
// constant time base.
func NewPrefillTime(perMs float64, base time.Duration) *PrefillTime {
	return &PrefillTime{start: perMs, startBase: toMs(base)}
}

// Observe adds one observation: a runner without other work prefilled that many tokens, and
// its first event came after took.
func (p *PrefillTime) Observe(tokens int, took time.Duration) { p.observe(tokens, took, 1) }

// ObserveBusy adds one observation of a runner that had other work. An answer that waited for work
// which is not known comes later than predicted and never sooner, so that later ones weigh less.
func (p *PrefillTime) ObserveBusy(tokens int, took time.Duration) {
	weight := 1.0
	if toMs(took) > p.BaseMs()+float64(tokens)/p.PerMs() {
		weight = delayedWeight
	}
	p.observe(tokens, took, weight)
}

func (p *PrefillTime) observe(tokens int, took time.Duration, weight float64) {
	if tokens <= 0 || took <= 0 {
		return
	}
	x, y := float64(tokens), toMs(took)
	o := &p.observed
	if o.Weight >= prefillMinWeight {
		// A single delayed answer must not distort the estimate of the prefill time.
		predicted := p.BaseMs() + x/p.PerMs()
		y = min(y, 4*predicted)
	}
	o.Weight = o.Weight*prefillDecay + weight
	share := weight / o.Weight
	dx, dy := x-o.Tokens, y-o.Ms
	o.Tokens += share * dx
	o.Ms += share * dy
	o.TokensSq = o.TokensSq*prefillDecay + weight*dx*(x-o.Tokens)
	o.TokensByMs = o.TokensByMs*prefillDecay + weight*dx*(y-o.Ms)
}

// PerMs returns the estimated prefill speed in tokens a millisecond.
func (p *PrefillTime) PerMs() float64 {
	perMs, _ := p.line()
	return perMs
}

// BaseMs returns the estimated constant time per prompt in milliseconds.
func (p *PrefillTime) BaseMs() float64 {
	_, base := p.line()
	return base
}

// line returns the speed in tokens a millisecond and the constant time in milliseconds of the
// regression line.
func (p *PrefillTime) line() (perMs, base float64) { return p.observed.Line(p.start, p.startBase) }

func clamp(v, low, high float64) float64 { return min(max(v, low), high) }

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
