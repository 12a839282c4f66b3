package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strings"
)

// Fingerprint identifies the requests with the same content. It is part of a
// cryptographic digest, so that no caller can construct a request with the
// fingerprint of another team's request.
type Fingerprint [16]byte

// String returns the first 8 bytes in hexadecimal, as used in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:8]) }

// Request holds what makes two attempts the same request: its service and team, its
// destination and its content. The id of the attempt is not part of it, nor is the
// last event that a caller received of a stream.
type Request struct {
	// Service is the service that runs it. A request that crashes the upstreams of
	// one service may be served by those of another.
	Service string
	// Team is the caller's team, empty where callers need no key.
	Team   string
	Method string
	Host   string
	// Target is the path including the query.
	Target string
	Body   []byte
}

// Fingerprint returns the fingerprint of the request.
func (r *Request) Fingerprint() Fingerprint {
	digest := sha256.New()
	for _, field := range []string{r.Service, r.Team, r.Method, r.Host, r.Target} {
		writeField(digest, field)
	}
	// Write on a hash never returns an error.
	_, _ = digest.Write(r.Body)
	var f Fingerprint
	copy(f[:], digest.Sum(nil))
	return f
}

// teamBytes is the length of the end of a part's fingerprint that identifies the team. The rest, 80
// bits, keeps callers from constructing a part with the fingerprint of another.
const teamBytes = 6

// Part is a part of a prompt, as its caller names it. Prompts that share a part may differ in
// everything else.
type Part struct {
	// Service and Model scope the part: it is judged by the crashes of the service and model that run it.
	Service, Model string
	// Team is the caller's team, empty where callers need no key. Teams that are not Isolated share the
	// content that an ID names, and its verdict unless only one of them crashes upstreams with it.
	Team     string
	Isolated bool
	// ID is hexadecimal, in any letters.
	ID string
}

// Fingerprint returns the fingerprint of the part in the requests of its team. It never equals that of
// a request.
func (p *Part) Fingerprint() Fingerprint {
	team := ""
	if p.Isolated {
		team = p.Team
	}
	digest := sha256.New()
	for _, field := range []string{"part", p.Service, team, p.Model, strings.ToLower(p.ID)} {
		writeField(digest, field)
	}
	f := fingerprintOfDigest(digest)
	f.setTeam(p.Team, p.Isolated)
	return f
}

// Tokens returns the fingerprint of a part of a prompt that is known by its tokens, with the service
// and adapter that it is for, in the requests of a team. It never equals that of a request or of a named
// part.
func Tokens(service, team, adapter string, tokens []uint32) Fingerprint {
	digest := sha256.New()
	for _, field := range []string{"tokens", service, adapter} {
		writeField(digest, field)
	}
	content := make([]byte, 0, 4*len(tokens))
	for _, token := range tokens {
		content = binary.BigEndian.AppendUint32(content, token)
	}
	// Write on a hash never returns an error.
	_, _ = digest.Write(content)
	f := fingerprintOfDigest(digest)
	f.setTeam(team, false)
	return f
}

func fingerprintOfDigest(digest hash.Hash) Fingerprint {
	var f Fingerprint
	copy(f[:], digest.Sum(nil))
	return f
}

// setTeam makes a part's fingerprint that of its requests of a team. It is the same for all requests if
// no other team shares the part.
func (f *Fingerprint) setTeam(team string, isolated bool) {
	of := f[len(f)-teamBytes:]
	if clear(of); team != "" && !isolated {
		digest := sha256.Sum256([]byte(team))
		copy(of, digest[:])
	}
}

// Shared returns the fingerprint of a part in the requests of all teams.
func (f Fingerprint) Shared() Fingerprint {
	clear(f[len(f)-teamBytes:])
	return f
}

// Scopes returns the fingerprints of a part in the requests of a team and in those of all teams, without
// duplicates.
func (f Fingerprint) Scopes() []Fingerprint {
	if shared := f.Shared(); shared != f {
		return []Fingerprint{f, shared}
	}
	return []Fingerprint{f}
}

// within reports whether f is a part in the requests of one team, and other the same part in those of
// all teams.
func (f Fingerprint) within(other Fingerprint) bool {
	return f.samePart(other) && f != other && other == other.Shared()
}

// samePart reports whether f and other are the same part, in any scope.
func (f Fingerprint) samePart(other Fingerprint) bool {
	const of = len(f) - teamBytes
	return [of]byte(f[:of]) == [of]byte(other[:of])
}

// writeField writes a field prefixed with its length, so that different requests
// never write the same bytes.
func writeField(digest hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = digest.Write(length[:])
	_, _ = io.WriteString(digest, field)
}
