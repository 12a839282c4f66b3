package estimate

import (
	"math"
	"time"
)

// Regression is what a PrefillTime has observed: the total weight of the observations, the weighted
// means of tokens and milliseconds, and the weighted sums of the squares and products of their
// deviations. Those of several observers can be pooled.
type Regression struct {
	Weight     float64 `cbor:"1,keyasint"`
	Tokens     float64 `cbor:"2,keyasint"`
	Ms         float64 `cbor:"3,keyasint"`
	TokensSq   float64 `cbor:"4,keyasint"`
	TokensByMs float64 `cbor:"5,keyasint"`
}

const (
	// maxRegressionTokens and maxRegressionMs bound the means that a regression may hold.
	maxRegressionTokens, maxRegressionMs = 1e7, 1e6
	// maxRegressionWeight is the largest weight of one observer's observations.
	maxRegressionWeight = 1 / (1 - prefillDecay)
)

// Valid reports whether observations can have led to r.
func (r Regression) Valid() bool {
	within := func(v, high float64) bool { return v > 0 && v <= high }
	return within(r.Weight, maxRegressionWeight*1.001) && within(r.Tokens, maxRegressionTokens) && within(r.Ms, maxRegressionMs) &&
		r.TokensSq >= 0 && !math.IsInf(r.TokensSq, 0) && !math.IsNaN(r.TokensByMs) && !math.IsInf(r.TokensByMs, 0)
}

// Pool returns the regression over the observations of several observers. Its weight is at most
// that of one observer with many observations.
func Pool(list []Regression) Regression {
	var pooled Regression
	for _, r := range list {
		pooled.Weight += r.Weight
		pooled.Tokens += r.Weight * r.Tokens
		pooled.Ms += r.Weight * r.Ms
	}
	if pooled.Weight <= 0 {
		return Regression{}
	}
	pooled.Tokens, pooled.Ms = pooled.Tokens/pooled.Weight, pooled.Ms/pooled.Weight
	for _, r := range list {
		dx, dy := r.Tokens-pooled.Tokens, r.Ms-pooled.Ms
		pooled.TokensSq += r.TokensSq + r.Weight*dx*dx
		pooled.TokensByMs += r.TokensByMs + r.Weight*dx*dy
	}
	if share := maxRegressionWeight / pooled.Weight; share < 1 {
		pooled.Weight, pooled.TokensSq, pooled.TokensByMs = maxRegressionWeight, pooled.TokensSq*share, pooled.TokensByMs*share
	}
	return pooled
}

// Line returns the prefill speed in tokens a millisecond and the constant time per prompt in
// milliseconds; the start values if the weight is too small for either.
func (r Regression) Line(startPerMs, startBaseMs float64) (perMs, baseMs float64) {
	if r.Weight < prefillMinWeight {
		return startPerMs, startBaseMs
	}
	spread := math.Sqrt(r.TokensSq/r.Weight) / r.Tokens
	if spread < prefillMinSpread || r.TokensByMs <= 0 {
		// With prompts of one size, all time beyond the start's base counts as prefill.
		base := min(startBaseMs, 0.9*r.Ms)
		return clamp(r.Tokens/(r.Ms-base), minPerMs, maxPerMs), base
	}
	perMs = clamp(r.TokensSq/r.TokensByMs, minPerMs, maxPerMs)
	return perMs, clamp(r.Ms-r.Tokens/perMs, 0, maxBaseMs)
}

// Sampled reports whether there are enough observations for an estimate.
func (p *PrefillTime) Sampled() bool { return p.observed.Weight >= prefillMinWeight }

// Observed returns the observations so far.
func (p *PrefillTime) Observed() Regression { return p.observed }

// SetStart replaces the values that count until the estimate has enough observations of its own.
func (p *PrefillTime) SetStart(perMs float64, base time.Duration) {
	p.start, p.startBase = clamp(perMs, minPerMs, maxPerMs), clamp(toMs(base), 0, maxBaseMs)
}

// Sampled reports whether the estimate has enough observations of its own.
func (s *Size) Sampled() bool { return s.count >= sizeMinCount }

// SetStart replaces the value that counts until the estimate has enough observations of its own.
func (s *Size) SetStart(start int) { s.start = start }
