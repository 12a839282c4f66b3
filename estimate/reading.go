package estimate

import (
	"math"
	"time"
)

const (
	// readingForget is the weight that an observation keeps when the next one
	// comes: the last 50 make up two thirds of an estimate.
	readingForget = 0.98
	// readingLeast is the weight of observations from which the estimate counts.
	// Before it the start value stands.
	readingLeast = 8.0
	// readingSpread is the least spread of sizes, as a share of their mean, that
	// tells the time a token takes from the time that every prompt takes.
	readingSpread = 0.2
	// slowestReading and fastestReading bound an estimate in tokens a millisecond:
	// a hundredth and a hundred times the engines that are common today.
	slowestReading = 1.0
	fastestReading = 10000.0
	// longestBase bounds the time that every prompt takes besides its reading.
	longestBase = 500.0
)

// PrefillTime estimates how many prompt tokens a runner reads in a millisecond, and how
// long a prompt takes besides, by a line through observations that forgets.
type PrefillTime struct {
	start, startBase float64
	weight           float64
	// Means and sums of products around them, of tokens and milliseconds.
	tokens, ms           float64
	tokensSq, tokensByMs float64
}

// NewPrefillTime returns an estimate that begins with perMs tokens a millisecond and
// base besides.
func NewPrefillTime(perMs float64, base time.Duration) *PrefillTime {
	return &PrefillTime{start: perMs, startBase: toMs(base)}
}

// Observe takes in that a runner without other work read so many tokens, and that
// the first event came after took.
func (r *PrefillTime) Observe(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	x, y := float64(tokens), toMs(took)
	if r.weight >= readingLeast {
		// One answer that was held up says nothing of reading.
		predicted := r.BaseMs() + x/r.PerMs()
		y = min(y, 4*predicted)
	}
	r.weight = r.weight*readingForget + 1
	share := 1 / r.weight
	dx, dy := x-r.tokens, y-r.ms
	r.tokens += share * dx
	r.ms += share * dy
	r.tokensSq = r.tokensSq*readingForget + dx*(x-r.tokens)
	r.tokensByMs = r.tokensByMs*readingForget + dx*(y-r.ms)
}

// PerMs is the estimate in tokens a millisecond.
func (r *PrefillTime) PerMs() float64 {
	perMs, _ := r.line()
	return perMs
}

// BaseMs is what a prompt takes in milliseconds besides its reading.
func (r *PrefillTime) BaseMs() float64 {
	_, base := r.line()
	return base
}

func (r *PrefillTime) line() (perMs, base float64) {
	if r.weight < readingLeast {
		return r.start, r.startBase
	}
	spread := math.Sqrt(r.tokensSq/r.weight) / r.tokens
	if spread < readingSpread || r.tokensByMs <= 0 {
		// Prompts of one size: all beyond the start's base is reading.
		base = min(r.startBase, 0.9*r.ms)
		return clamp(r.tokens/(r.ms-base), slowestReading, fastestReading), base
	}
	perMs = clamp(r.tokensSq/r.tokensByMs, slowestReading, fastestReading)
	return perMs, clamp(r.ms-r.tokens/perMs, 0, longestBase)
}

func clamp(v, least, most float64) float64 { return min(max(v, least), most) }

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
