package peer

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
)

// randomBits is the number of low bits of an incarnation that are random, so that two
// processes that start at the same wall-clock time differ.
const randomBits = 16

// NewIncarnation returns an identifier that distinguishes this process from other
// processes of its host and role. This package compares incarnations for equality only.
// The upper bits are the wall-clock time in units of 65 ms, because processes of earlier
// versions refuse a number below the highest that they have received.
func NewIncarnation() ident.Incarnation {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic(eris.Wrap(err, "peer: random source failed"))
	}
	mask := uint64(1)<<randomBits - 1
	return ident.Incarnation(uint64(time.Now().UnixMicro())&^mask | binary.BigEndian.Uint64(random[:])&mask)
}
