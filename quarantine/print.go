package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Fingerprint tells requests with the same content from all others. It is part of a
// cryptographic digest: nobody can make a request that bears another team's print.
type Fingerprint [16]byte

// String returns the beginning, as it stands in logs.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:8]) }

// Request is what makes two attempts the same request: whose it is, where it goes
// and what it says. The identity of the attempt is no part of it, nor is the last
// event that a caller has of a stream.
type Request struct {
	// Service is the service that runs it: what ends one service's upstreams may be
	// served by another's.
	Service string
	// Team is the caller's, empty where callers need no key.
	Team   string
	Method string
	Host   string
	// Target is the path with its query.
	Target string
	Body   []byte
}

// Fingerprint returns the request's print.
func (r *Request) Fingerprint() Fingerprint {
	digest := sha256.New()
	for _, field := range []string{r.Service, r.Team, r.Method, r.Host, r.Target} {
		writeField(digest, field)
	}
	// A hash never fails.
	_, _ = digest.Write(r.Body)
	var p Fingerprint
	copy(p[:], digest.Sum(nil))
	return p
}

// writeField writes a field behind its length, so that no two requests write the
// same bytes.
func writeField(digest hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = digest.Write(length[:])
	_, _ = io.WriteString(digest, field)
}
