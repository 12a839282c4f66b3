package upstream

import (
	"fmt"
	"time"
)

// Options configure a registry. Zero fields take the defaults below.
type Options struct {
	// MaxUpstreams bounds the registered upstreams, MaxInFlight the attempts
	// in flight.
	MaxUpstreams int
	MaxInFlight  int
	// ContactTimeout is the time after its last announcement at which an
	// upstream stops getting new requests, also when its lease is longer.
	ContactTimeout time.Duration
	// DepartureTTL is how long the departure of an upstream is kept.
	DepartureTTL time.Duration
	// SlowStart is the time over which a new upstream's weight grows to one.
	SlowStart time.Duration
	// Transit is the time between sending a request and the earliest load
	// report that includes it.
	Transit time.Duration
	// Entries is the number of entry processes that are assumed to send to
	// the same upstreams at equal rates, until reports show the actual share
	// of this process.
	Entries int
	// MaxEjected is the largest share of a pool that may be ejected, 0 to 1.
	MaxEjected float64
	Health     HealthOptions
}

// Defaults of Options.
const (
	DefaultMaxUpstreams = 4096
	DefaultMaxInFlight  = 1 << 17
	// DefaultContactTimeout is half a second below the limit of 5 s after which
	// a silent upstream gets no new work; the rest is for the request that is
	// being sent.
	DefaultContactTimeout = 4500 * time.Millisecond
	DefaultDepartureTTL   = 2 * time.Minute
	DefaultSlowStart      = 10 * time.Second
	DefaultTransit        = 5 * time.Millisecond
	// DefaultMaxEjected allows a failing half of a pool to be ejected
	// completely: with a lower bound, requests were still sent to upstreams
	// known to fail.
	DefaultMaxEjected = 0.6
)

func (o Options) withDefaults() Options {
	setIntIfZero(&o.MaxUpstreams, DefaultMaxUpstreams)
	setIntIfZero(&o.MaxInFlight, DefaultMaxInFlight)
	setIntIfZero(&o.Entries, 1)
	setDurationIfZero(&o.ContactTimeout, DefaultContactTimeout)
	setDurationIfZero(&o.DepartureTTL, DefaultDepartureTTL)
	setDurationIfZero(&o.SlowStart, DefaultSlowStart)
	setDurationIfZero(&o.Transit, DefaultTransit)
	setFloatIfZero(&o.MaxEjected, DefaultMaxEjected)
	o.Health = o.Health.withDefaults()
	return o
}

// Validate returns an error that names the first field out of range.
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
		{"departure TTL", o.DepartureTTL},
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

func setIntIfZero(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func setDurationIfZero(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

func setFloatIfZero(field *float64, value float64) {
	if *field == 0 {
		*field = value
	}
}
