package estimate

import (
	"math"
	"time"
)

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
	weight           float64
	// Weighted means of tokens and milliseconds, and weighted sums of the squares and
	// products of their deviations.
	tokens, ms           float64
	tokensSq, tokensByMs float64
}

// NewPrefillTime returns an estimate that starts at perMs tokens a millisecond and the
// constant time base.
func NewPrefillTime(perMs float64, base time.Duration) *PrefillTime {
	return &PrefillTime{start: perMs, startBase: toMs(base)}
}

// Observe adds one observation: a runner without other work prefilled that many tokens, and
// its first event came after took.
func (p *PrefillTime) Observe(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	x, y := float64(tokens), toMs(took)
	if p.weight >= prefillMinWeight {
		// A single delayed answer must not distort the estimate of the prefill time.
		predicted := p.BaseMs() + x/p.PerMs()
		y = min(y, 4*predicted)
	}
	p.weight = p.weight*prefillDecay + 1
	share := 1 / p.weight
	dx, dy := x-p.tokens, y-p.ms
	p.tokens += share * dx
	p.ms += share * dy
	p.tokensSq = p.tokensSq*prefillDecay + dx*(x-p.tokens)
	p.tokensByMs = p.tokensByMs*prefillDecay + dx*(y-p.ms)
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
func (p *PrefillTime) line() (perMs, base float64) {
	if p.weight < prefillMinWeight {
		return p.start, p.startBase
	}
	spread := math.Sqrt(p.tokensSq/p.weight) / p.tokens
	if spread < prefillMinSpread || p.tokensByMs <= 0 {
		// With prompts of one size, all time beyond the start's base counts as prefill.
		base = min(p.startBase, 0.9*p.ms)
		return clamp(p.tokens/(p.ms-base), minPerMs, maxPerMs), base
	}
	perMs = clamp(p.tokensSq/p.tokensByMs, minPerMs, maxPerMs)
	return perMs, clamp(p.ms-p.tokens/perMs, 0, maxBaseMs)
}

func clamp(v, low, high float64) float64 { return min(max(v, low), high) }

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
