package handover

import (
	"encoding/binary"
	"hash/crc32"
	"time"

	"github.com/lovagereach/lovagereach/internal/wire"
)

const (
	// MaxBytes bounds a snapshot.
	MaxBytes = 32 << 10
	// maxAge is the age up to which a snapshot is used: load and prompts repeat daily.
	maxAge = 24 * time.Hour
	// maxAhead is the time by which the clock of the host that wrote a snapshot may be ahead.
	maxAhead = time.Minute
	// version is the version of the format, the first byte of a snapshot. A checksum of what follows
	// it is next.
	version    = 1
	headLength = 5
)

// Result is what became of a snapshot.
type Result uint8

const (
	// Used: the snapshot holds estimates.
	Used Result = iota
	// Damaged: its checksum is wrong, or it can't be decoded.
	Damaged
	// Newer: it was written by a build with another format.
	Newer
	// Stale: it is too old, or its time is in the future.
	Stale
	// Absurd: no observations can have led to its values.
	Absurd
)

// Results are all results.
var Results = []Result{Used, Damaged, Newer, Stale, Absurd}

// String implements fmt.Stringer.
func (r Result) String() string {
	return [...]string{"used", "damaged", "newer", "stale", "absurd"}[r]
}

// snapshotContent is the encoded part of a snapshot.
type snapshotContent struct {
	AtMs      int64     `cbor:"1,keyasint"`
	Estimates Estimates `cbor:"2,keyasint"`
}

// Encode returns a snapshot of estimates as of a time of the wall clock, nil if there are none.
func Encode(e Estimates, now time.Time) []byte {
	if e.Empty() {
		return nil
	}
	e.bound()
	body := wire.MustMarshal(snapshotContent{AtMs: now.UnixMilli(), Estimates: e})
	head := make([]byte, headLength, headLength+len(body))
	head[0] = version
	binary.BigEndian.PutUint32(head[1:], crc32.ChecksumIEEE(body))
	return append(head, body...)
}

// Decode returns the estimates of a snapshot, and the reason if it must not be used.
func Decode(data []byte, now time.Time) (Estimates, Result) {
	switch {
	case len(data) <= headLength || len(data) > MaxBytes:
		return Estimates{}, Damaged
	case data[0] != version:
		return Estimates{}, Newer
	case binary.BigEndian.Uint32(data[1:]) != crc32.ChecksumIEEE(data[headLength:]):
		return Estimates{}, Damaged
	}
	var decoded snapshotContent
	if wire.Unmarshal(data[headLength:], &decoded) != nil {
		return Estimates{}, Damaged
	}
	age := now.Sub(time.UnixMilli(decoded.AtMs))
	switch {
	case age > maxAge || age < -maxAhead:
		return Estimates{}, Stale
	case !decoded.Estimates.valid():
		return Estimates{}, Absurd
	}
	return decoded.Estimates, Used
}
