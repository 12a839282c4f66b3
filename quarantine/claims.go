package quarantine

import (
	"slices"
	"time"
)

const (
	// maxClaims bounds the claims, maxClaimAge the time for which one is kept: an upstream that
	// crashed is back within seconds, or gone for good.
	maxClaims   = 64
	maxClaimAge = time.Minute
)

// Claim is the claim that an upstream has crashed, since its address refused connections when requests
// broke off there.
type Claim struct {
	Incarnation Incarnation
	// Attempts are the attempts that broke off there.
	Attempts []Attempt
	// Noticed is the time at which the address refused connections.
	Noticed time.Time
	// Reported indicates that the crash was reported, as other upstreams accepted connections.
	Reported bool
	// RunsSince is the time since which the incarnation is seen to run, zero while it isn't.
	RunsSince time.Time
}

// Sighting is what a process sees of an incarnation that it claims to have crashed.
type Sighting uint8

const (
	// Unseen: the upstream's address refuses connections, or it is not heard from.
	Unseen Sighting = iota
	// Runs: the address accepts connections, and no later incarnation is known.
	Runs
	// Replaced: another incarnation of the upstream runs, or the upstream has gone.
	Replaced
)

// Claims holds the claims that are not proved: behind a network partition the upstreams may run on, also
// where it is only a partition from some of them.
// The zero value is ready to use; it is not safe for concurrent use.
type Claims struct{ list []Claim }

// Add adds a claim. The oldest one is dropped beyond the bound.
func (c *Claims) Add(claim Claim) {
	if len(c.list) == maxClaims {
		c.list = slices.Delete(c.list, 0, 1)
	}
	c.list = append(c.list, claim)
}

// Len returns the number of claims.
func (c *Claims) Len() int { return len(c.list) }

// Resolve removes and returns the claims that are proved by now, and those that are refuted: their
// incarnation has been seen to run for settle, within which a later one would have become known.
func (c *Claims) Resolve(sighting func(Incarnation) Sighting, settle time.Duration, now time.Time) (proved, refuted []Claim) {
	kept := c.list[:0]
	for _, claim := range c.list {
		seen := sighting(claim.Incarnation)
		switch {
		case seen != Runs:
			claim.RunsSince = time.Time{}
		case claim.RunsSince.IsZero():
			claim.RunsSince = now
		}
		switch {
		case seen == Replaced:
			proved = append(proved, claim)
		case seen == Runs && now.Sub(claim.RunsSince) >= settle:
			refuted = append(refuted, claim)
		case now.Sub(claim.Noticed) < maxClaimAge:
			kept = append(kept, claim)
		}
	}
	clear(c.list[len(kept):])
	c.list = kept
	return proved, refuted
}

// Refuted states that an incarnation did not crash before it was seen to run.
type Refuted struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	// Age is the time since then.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}
