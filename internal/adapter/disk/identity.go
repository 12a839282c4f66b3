package disk

import (
	"crypto/rand"
	"encoding/binary"
	"os"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
)

const identityName = "identity"

// Identity identifies the owner of a data folder. It is written once, when the folder
// is initialized, after the first segment is synced.
type Identity struct {
	Cluster string     `cbor:"1,keyasint"`
	Host    ident.Host `cbor:"2,keyasint"`
	// ID is random and part of every segment and snapshot file of the folder.
	ID uint64 `cbor:"3,keyasint"`
}

// randomID returns a random identity other than zero.
func randomID() uint64 {
	var buffer [8]byte
	for {
		if _, err := rand.Read(buffer[:]); err != nil {
			panic(eris.Wrap(err, "disk: random source failed"))
		}
		if id := binary.BigEndian.Uint64(buffer[:]); id != 0 {
			return id
		}
	}
}

func writeIdentity(fs FS, identity Identity) error {
	return writeFile(fs, identityName, checksumSeed(0).appendFrame(nil, 1, wire.MustMarshal(identity)))
}

// readIdentity returns the identity, or false if the folder has none.
func readIdentity(fs FS) (Identity, bool, error) {
	content, err := fs.Read(identityName)
	if eris.Is(err, os.ErrNotExist) {
		return Identity{}, false, nil
	}
	if err != nil {
		return Identity{}, false, eris.Wrap(err, "disk: identity")
	}
	var identity Identity
	if len(content) == 0 {
		return Identity{}, false, &DamageError{File: identityName, Reason: "file is empty"}
	}
	f := checksumSeed(0).parseFrame(content, 0)
	if f.state != frameComplete || f.size != len(content) || wire.Unmarshal(f.payload, &identity) != nil {
		return Identity{}, false, &DamageError{File: identityName, Reason: "identity checksum mismatch"}
	}
	return identity, true, nil
}
