package upstream

import (
	"fmt"
	"time"
)

// Options are the bounds and times of a registry. Zero fields take the
// defaults named below.
type Options struct {
	// MaxUpstreams and MaxInFlight bound the registry.
	MaxUpstreams int
	MaxInFlight  int
	// ContactTimeout is how long after its last word an upstream gets nothing new,
	// also when its lease is longer.
	ContactTimeout time.Duration
	// DepartureTTL is how long the word that an upstream left is kept.
	DepartureTTL time.Duration
	// SlowStart is the time over which a new upstream's weight grows to one.
	SlowStart time.Duration
	// Transit is the time a request needs to reach an upstream and show in
	// its report.
	Transit time.Duration
	// Entries is how many entry processes are assumed to send to the same
	// upstreams alike, until the reports show this process's real share.
	Entries int
	// MaxEjected is the greatest share of a pool that may be ejected.
	MaxEjected float64
	Health     HealthOptions
}

// Defaults of Options.
const (
	DefaultMaxUpstreams = 4096
	DefaultMaxInFlight  = 1 << 17
	// DefaultContactTimeout leaves half a second of the five that a silent upstream
	// may still get work for the request that is being sent.
	DefaultContactTimeout = 4500 * time.Millisecond
	DefaultDepartureTTL   = 2 * time.Minute
	DefaultSlowStart      = 10 * time.Second
	DefaultTransit        = 5 * time.Millisecond
	// DefaultMaxEjected lets a failing half of a pool be set aside in full:
	// with a bound below it, requests went on to upstreams known to fail.
	DefaultMaxEjected = 0.6
)

func (o Options) withDefaults() Options {
	setInt(&o.MaxUpstreams, DefaultMaxUpstreams)
	setInt(&o.MaxInFlight, DefaultMaxInFlight)
	setInt(&o.Entries, 1)
	setDuration(&o.ContactTimeout, DefaultContactTimeout)
	setDuration(&o.DepartureTTL, DefaultDepartureTTL)
	setDuration(&o.SlowStart, DefaultSlowStart)
	setDuration(&o.Transit, DefaultTransit)
	setFloat(&o.MaxEjected, DefaultMaxEjected)
	o.Health = o.Health.withDefaults()
	return o
}

// Validate reports the first field out of range.
func (o Options) Validate() error {
	if o.MaxUpstreams < 0 || o.MaxUpstreams > 1<<20 {
		return fmt.Errorf("max upstreams: %d is not within 0 to %d", o.MaxUpstreams, 1<<20)
	}
	if o.MaxInFlight < 0 {
		return fmt.Errorf("max in flight: %d is negative", o.MaxInFlight)
	}
	if o.Entries < 0 {
		return fmt.Errorf("entries: %d is negative", o.Entries)
	}
	if o.MaxEjected < 0 || o.MaxEjected > 1 {
		return fmt.Errorf("max ejected: %v is not within 0 to 1", o.MaxEjected)
	}
	times := []struct {
		name  string
		value time.Duration
	}{
		{"silence", o.ContactTimeout},
		{"departure life", o.DepartureTTL},
		{"slow start", o.SlowStart},
		{"transit", o.Transit},
	}
	for _, t := range times {
		if t.value < 0 {
			return fmt.Errorf("%s: %v is negative", t.name, t.value)
		}
	}
	return o.Health.validate()
}

func setInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

func setFloat(field *float64, value float64) {
	if *field == 0 {
		*field = value
	}
}
