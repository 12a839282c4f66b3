package admit

import "time"

// LimitOptions configures a Limit. A zero field takes its default.
type LimitOptions struct {
	Initial, Min, Max int
	// Tolerance is the smoothed ratio of measured to predicted time to first token
	// above which the limit is lowered.
	Tolerance float64
	// Window is the minimum time between two reductions: requests sent before a
	// reduction do not show its effect.
	Window time.Duration
}

// Defaults of LimitOptions.
const (
	DefaultInitial   = 64
	DefaultMin       = 2
	DefaultMax       = 8192
	DefaultTolerance = 2.0
	DefaultWindow    = 500 * time.Millisecond
)

// decreaseFactor is the largest factor by which one reduction multiplies the limit,
// and minDecreaseFactor the smallest that a slow first token causes.
const (
	decreaseFactor    = 0.9
	minDecreaseFactor = 0.5
)

// Limit is an adaptive limit on the requests that run at the same time. It compares
// each measured time to first token with its prediction: while the predictions hold
// and at least half of the limit is in use, it grows by one per limit's worth of
// requests; when the smoothed ratio exceeds the tolerance, it shrinks by tolerance
// over ratio.
type Limit struct {
	options LimitOptions
	value   float64
	// ratio is the smoothed ratio of measured to predicted time.
	ratio     float64
	loweredAt time.Time
}

// NewLimit returns a Limit at its initial value.
func NewLimit(o LimitOptions) *Limit {
	if o.Min <= 0 {
		o.Min = DefaultMin
	}
	if o.Max <= 0 {
		o.Max = DefaultMax
	}
	o.Max = max(o.Max, o.Min)
	if o.Initial <= 0 {
		o.Initial = DefaultInitial
	}
	if o.Tolerance <= 1 {
		o.Tolerance = DefaultTolerance
	}
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	initial := min(max(o.Initial, o.Min), o.Max)
	return &Limit{options: o, value: float64(initial), ratio: 1}
}

// Value returns the number of requests that may run at the same time.
func (l *Limit) Value() int { return int(l.value) }

// ratioGain is the weight of one measurement in the smoothed ratio, and maxRatio
// bounds one measurement, so that a single stalled request does not halve the limit.
const (
	ratioGain = 0.1
	maxRatio  = 8
	// ratioOffset is added to both times, so that the ratio of two very short ones
	// does not look like overload.
	ratioOffset = 20 * time.Millisecond
)

// Observe records one time to first token. inFlight is the number of requests that
// were running.
func (l *Limit) Observe(now time.Time, predicted, measured time.Duration, inFlight int) {
	ratio := min((measured+ratioOffset).Seconds()/(predicted+ratioOffset).Seconds(), maxRatio)
	l.ratio += ratioGain * (ratio - l.ratio)
	if l.ratio > l.options.Tolerance {
		l.lower(now, max(l.options.Tolerance/l.ratio, minDecreaseFactor))
		return
	}
	if 2*inFlight >= l.Value() {
		l.value = min(l.value+1/l.value, float64(l.options.Max))
	}
}

// Overloaded records that an upstream refused a request for lack of capacity.
func (l *Limit) Overloaded(now time.Time) { l.lower(now, decreaseFactor) }

func (l *Limit) lower(now time.Time, factor float64) {
	if now.Sub(l.loweredAt) < l.options.Window {
		return
	}
	l.loweredAt = now
	l.value = max(l.value*min(factor, decreaseFactor), float64(l.options.Min))
}
