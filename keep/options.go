package keep

import (
	"fmt"
	"time"
)

// Options are the limits, budgets and times of a manager. Zero fields take the
// default values.
type Options struct {
	MaxPrompts int
	MaxBlocks  int
	MaxCopies  int
	MaxPins    int
	MaxStores  int
	MaxRecords int // gap records, one for each team and class
	// Share is this process's share of each store's capacity and link, for
	// example one divided by the number of entry processes that are homes.
	Share float64
	// TeamGuaranteed is the share of a tier that all teams together are
	// guaranteed, split evenly over the teams present. TeamMaximum is the
	// maximum share of a tier for one team.
	TeamGuaranteed float64
	TeamMaximum    float64
	// LinkShare is the share of a link that exports may use. LinkMaximum is the
	// maximum part of LinkShare for one team while others wait.
	LinkShare   float64
	LinkMaximum float64
	// WriteTimeout is the time limit of each step of a write. PinLease is the
	// lease of a reader's pin.
	WriteTimeout time.Duration
	PinLease     time.Duration
	// IdleDelay is how long a prompt must be unused before it is exported over
	// an idle link; a prompt that returns sooner finds its blocks on the
	// engine.
	IdleDelay time.Duration
	// Residency is the initial estimate of how long an engine holds an unused
	// block.
	Residency time.Duration
	// Retry is the delay after a failure.
	Retry time.Duration
	// PrefetchChance is the minimum probability of a return for a prefetch.
	PrefetchChance float64
}

// Defaults of Options.
const (
	DefaultMaxPrompts     = 16384
	DefaultMaxBlocks      = 1 << 18
	DefaultMaxCopies      = 1 << 17
	DefaultMaxPins        = 1 << 14
	DefaultMaxStores      = 64
	DefaultMaxRecords     = 4096
	DefaultTeamGuaranteed = 0.3
	DefaultTeamMaximum    = 0.6
	DefaultLinkShare      = 0.5
	DefaultLinkMaximum    = 0.5
	DefaultWriteTimeout   = 10 * time.Second
	DefaultPinLease       = 10 * time.Second
	DefaultIdleDelay      = 2 * time.Second
	DefaultResidency      = 2 * time.Minute
	DefaultRetry          = 5 * time.Second
	DefaultPrefetchChance = 0.5
)

func (o Options) withDefaults() Options {
	setDefault(&o.MaxPrompts, DefaultMaxPrompts)
	setDefault(&o.MaxBlocks, DefaultMaxBlocks)
	setDefault(&o.MaxCopies, DefaultMaxCopies)
	setDefault(&o.MaxPins, DefaultMaxPins)
	setDefault(&o.MaxStores, DefaultMaxStores)
	setDefault(&o.MaxRecords, DefaultMaxRecords)
	setDefault(&o.Share, 1)
	setDefault(&o.TeamGuaranteed, DefaultTeamGuaranteed)
	setDefault(&o.TeamMaximum, DefaultTeamMaximum)
	setDefault(&o.LinkShare, DefaultLinkShare)
	setDefault(&o.LinkMaximum, DefaultLinkMaximum)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.PinLease, DefaultPinLease)
	setDefault(&o.IdleDelay, DefaultIdleDelay)
	setDefault(&o.Residency, DefaultResidency)
	setDefault(&o.Retry, DefaultRetry)
	setDefault(&o.PrefetchChance, DefaultPrefetchChance)
	return o
}

// setDefault assigns value to a field that is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns an error for the first field that is out of range.
func (o Options) Validate() error {
	counts := []struct {
		name  string
		value int
	}{
		{"max prompts", o.MaxPrompts},
		{"max blocks", o.MaxBlocks},
		{"max copies", o.MaxCopies},
		{"max pins", o.MaxPins},
		{"max stores", o.MaxStores},
		{"max records", o.MaxRecords},
	}
	for _, c := range counts {
		if c.value < 0 {
			return fmt.Errorf("%s: %d is negative", c.name, c.value)
		}
	}
	shares := []struct {
		name  string
		value float64
	}{
		{"share", o.Share},
		{"team guaranteed share", o.TeamGuaranteed},
		{"team maximum share", o.TeamMaximum},
		{"link share", o.LinkShare},
		{"link maximum share", o.LinkMaximum},
		{"prefetch chance", o.PrefetchChance},
	}
	for _, s := range shares {
		if s.value < 0 || s.value > 1 {
			return fmt.Errorf("%s: %v is not within 0 to 1", s.name, s.value)
		}
	}
	times := []struct {
		name  string
		value time.Duration
	}{
		{"write timeout", o.WriteTimeout},
		{"pin lease", o.PinLease},
		{"idle delay", o.IdleDelay},
		{"residency", o.Residency},
		{"retry", o.Retry},
	}
	for _, t := range times {
		if t.value < 0 {
			return fmt.Errorf("%s: %v is negative", t.name, t.value)
		}
	}
	return nil
}
