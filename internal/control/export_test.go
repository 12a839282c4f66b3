package control

import (
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/lease"
)

// EpochCommand returns the encoded command that opens an epoch.
func EpochCommand(leader ident.Host) []byte {
	return wire.MustMarshal(command{Epoch: &openEpoch{Leader: leader}})
}

// EpochToken returns the token in the result of an EpochCommand, zero if there
// is none.
func EpochToken(answer []byte) lease.Token {
	var decoded result
	if err := wire.Unmarshal(answer, &decoded); err != nil || decoded.Epoch == nil {
		return 0
	}
	return decoded.Epoch.Token
}
