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

// Part is a part of a prompt, as its caller names it. Prompts that share a part may differ in
// everything else.
type Part struct {
	// Service, Team and Model scope the part: another team that names the same part, or another
	// service that runs it, is judged by its own crashes.
	Service, Team, Model string
	// ID is hexadecimal, in any letters.
	ID string
}

// Fingerprint returns the fingerprint of the part. It never equals that of a request.
func (p *Part) Fingerprint() Fingerprint {
	digest := sha256.New()
	for _, field := range []string{"part", p.Service, p.Team, p.Model, strings.ToLower(p.ID)} {
		writeField(digest, field)
	}
	var f Fingerprint
	copy(f[:], digest.Sum(nil))
	return f
}

// Tokens returns the fingerprint of a part of a prompt that is known by its tokens, with the service,
// team and adapter that it is for. It never equals that of a request or of a named part.
func Tokens(service, team, adapter string, tokens []uint32) Fingerprint {
	digest := sha256.New()
	for _, field := range []string{"tokens", service, team, adapter} {
		writeField(digest, field)
	}
	content := make([]byte, 0, 4*len(tokens))
	for _, token := range tokens {
		content = binary.BigEndian.AppendUint32(content, token)
	}
	// Write on a hash never returns an error.
	_, _ = digest.Write(content)
	var f Fingerprint
	copy(f[:], digest.Sum(nil))
	return f
}

// writeField writes a field prefixed with its length, so that different requests
// never write the same bytes.
func writeField(digest hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = digest.Write(length[:])
	_, _ = io.WriteString(digest, field)
}
