package lease

import "time"

// MaxDriftPerMille is the largest deviation of a clock's rate from true time, in parts per
// thousand, in either direction. Crystal oscillators stay within 0.2; the rest is
// a margin for clocks that are being slewed.
const MaxDriftPerMille = 10

const perThousand = 1000

// HolderTerm returns how long the holder of a lease may use it, on its own clock,
// counted from before its request was sent.
func HolderTerm(term time.Duration) time.Duration {
	return term - term*MaxDriftPerMille/perThousand
}

// GranterTerm returns how long the granter must wait, on its own clock, counted
// from the time of the grant, until the lease can no longer be in use.
func GranterTerm(term time.Duration) time.Duration {
	// With drift d, the HolderTerm of a slow holder lasts at most term in true
	// time, (1-d)/(1-d) = 1, and the GranterTerm of a fast granter at least
	// term, (1+d)/(1+d) = 1. One nanosecond covers the rounding of the
	// divisions.
	return term + term*MaxDriftPerMille/perThousand + 1
}
