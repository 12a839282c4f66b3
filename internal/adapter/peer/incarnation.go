package peer

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
)

// drawnBits of an incarnation are drawn at random, so that two processes that start at
// the same time of day differ.
const drawnBits = 16

// NewIncarnation returns what tells a process from others of its host and role. Here it
// is compared for equality only. Its upper bits are the time of day in units of 65 ms,
// because processes of earlier versions refuse a lower number than they have seen.
func NewIncarnation() ident.Incarnation {
	var drawn [8]byte
	if _, err := rand.Read(drawn[:]); err != nil {
		panic(eris.Wrap(err, "peer: no randomness"))
	}
	mask := uint64(1)<<drawnBits - 1
	return ident.Incarnation(uint64(time.Now().UnixMicro())&^mask | binary.BigEndian.Uint64(drawn[:])&mask)
}
