package once

import (
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/internal/wire"
)

// maxRecords is the maximum number of records in a snapshot.
const maxRecords = wire.MaxElements

// Options holds the limits of a ledger. They are part of the replicated state,
// so that every replica decides alike; Command.Configure changes them.
type Options struct {
	// RetentionMillis is the time for which an outcome is kept after the claim,
	// or after the key's date if that is later.
	RetentionMillis int64 `cbor:"1,keyasint"`
	// MaxHoldMillis is the upper limit of Claim.HoldMillis.
	MaxHoldMillis int64 `cbor:"2,keyasint"`
	// SkewMillis is how far the date of a key may be ahead of the ledger's
	// time.
	SkewMillis int64 `cbor:"3,keyasint"`
	// MaxBytes limits the memory of all records, MaxTeamBytes that of one
	// team's records.
	MaxBytes     int64 `cbor:"4,keyasint"`
	MaxTeamBytes int64 `cbor:"5,keyasint"`
	// MaxBody is the size of the largest answer body kept, in bytes. Of a
	// larger body only the length and digest are kept.
	MaxBody int64 `cbor:"6,keyasint"`
	// MaxExpired limits the number of undated keys remembered as expired.
	MaxExpired int64 `cbor:"7,keyasint"`
	// RequireDate refuses keys without a date.
	RequireDate bool `cbor:"8,keyasint,omitempty"`
}

// DefaultOptions returns the options of a new ledger.
func DefaultOptions() Options {
	return Options{
		RetentionMillis: (24 * time.Hour).Milliseconds(),
		MaxHoldMillis:   (15 * time.Minute).Milliseconds(),
		SkewMillis:      (5 * time.Minute).Milliseconds(),
		MaxBytes:        256 << 20,
		MaxTeamBytes:    128 << 20,
		MaxBody:         64 << 10,
		MaxExpired:      32 << 20,
	}
}

// Validate checks that the ledger can keep its guarantees with these options.
func (o Options) Validate() error {
	switch {
	case o.MaxHoldMillis <= 0:
		return errors.New("once: max hold must be positive")
	case o.RetentionMillis < 2*o.MaxHoldMillis:
		return errors.New("once: retention must be at least twice the longest hold")
	case o.SkewMillis < 0:
		return errors.New("once: skew must not be negative")
	case o.MaxBytes <= 0 || o.MaxTeamBytes <= 0:
		return errors.New("once: byte bounds must be positive")
	case o.MaxBytes/recordBytes >= maxRecords:
		return errors.New("once: max bytes allow more keys than a snapshot can hold")
	case o.MaxBody < 0 || o.MaxExpired < 0:
		return errors.New("once: bounds must not be negative")
	}
	return nil
}
