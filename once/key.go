package once

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// MaxKeyLength is the longest idempotency key in bytes.
const MaxKeyLength = 255

// Key names one call that may not be repeated. Teams can't meet one another's
// keys.
type Key struct {
	Team    ident.Team    `cbor:"1,keyasint"`
	Service ident.Service `cbor:"2,keyasint"`
	// Text is the caller's Idempotency-Key.
	Text string `cbor:"3,keyasint"`
}

// ErrKeyText reports a key that is empty, too long or not printable ASCII.
var ErrKeyText = errors.New("idempotency key must be 1 to 255 printable ASCII characters")

// Validate checks the key's text.
func (k Key) Validate() error {
	if len(k.Text) == 0 || len(k.Text) > MaxKeyLength {
		return ErrKeyText
	}
	for i := range len(k.Text) {
		if k.Text[i] < ' ' || k.Text[i] > '~' {
			return ErrKeyText
		}
	}
	return nil
}

// keyIDSize is large enough that two keys of one deployment never share an
// identity: at 10^12 keys the chance is about 10^-15.
const keyIDSize = 16

// KeyID is a digest of a key, of a fixed size whatever the caller sent.
type KeyID [keyIDSize]byte

// ID returns the key's digest.
func (k Key) ID() KeyID {
	var sized [4]byte
	h := sha256.New()
	for _, part := range [...]string{string(k.Team), string(k.Service), k.Text} {
		// The length in front keeps ("ab","c") apart from ("a","bc").
		binary.BigEndian.PutUint32(sized[:], uint32(len(part)))
		h.Write(sized[:])
		h.Write([]byte(part))
	}
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return KeyID(sum[:keyIDSize])
}

// String returns the identity in hexadecimal.
func (id KeyID) String() string { return hex.EncodeToString(id[:]) }

// dateDigits is the length of a Unix time in milliseconds, from 2001 to 2286.
const dateDigits = 13

// Date returns the time of creation that a key carries. Two forms do: a
// UUID of version 7 (RFC 9562), and 13 digits of Unix milliseconds followed by
// a full stop and at least one character more.
func (k Key) Date() (time.Time, bool) {
	if millis, ok := uuidMillis(k.Text); ok {
		return time.UnixMilli(millis), true
	}
	digits, rest, ok := strings.Cut(k.Text, ".")
	if !ok || len(digits) != dateDigits || rest == "" {
		return time.Time{}, false
	}
	millis, err := strconv.ParseUint(digits, 10, 63)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(millis)), true
}

// The shape of a UUID in text: xxxxxxxx-xxxx-7xxx-yxxx-xxxxxxxxxxxx.
const (
	uuidLength       = 36
	uuidVersionAt    = 14
	uuidVariantAt    = 19
	uuidMillisDigits = 12
)

func uuidMillis(text string) (int64, bool) {
	if len(text) != uuidLength || text[uuidVersionAt] != '7' {
		return 0, false
	}
	for _, at := range [...]int{8, 13, 18, 23} {
		if text[at] != '-' {
			return 0, false
		}
	}
	if !strings.ContainsRune("89abAB", rune(text[uuidVariantAt])) {
		return 0, false
	}
	digits := strings.ReplaceAll(text, "-", "")
	if _, err := hex.DecodeString(digits); err != nil {
		return 0, false
	}
	millis, err := strconv.ParseInt(digits[:uuidMillisDigits], 16, 64)
	return millis, err == nil
}

// Shard returns which of shards ledger shards holds a key, from 0. Adding a
// shard moves only the keys that the new shard takes (jump consistent hash by
// Lamping and Veach).
func Shard(team ident.Team, service ident.Service, key string, shards uint32) uint32 {
	id := Key{Team: team, Service: service, Text: key}.ID()
	return id.Shard(shards)
}

// Shards is the history of the number of ledger shards, oldest first, as it
// stands in the configuration state. A key is asked for at the shard of the
// oldest number first, and at the next one only when that ledger answers
// StatusMoved; so a key that was claimed before a change is found after it.
type Shards []uint32

// ForKey returns the shards to ask for a key, in order, each once.
func (s Shards) ForKey(id KeyID) []uint32 {
	var asked []uint32
	for _, count := range s {
		shard := id.Shard(count)
		if !slices.Contains(asked, shard) {
			asked = append(asked, shard)
		}
	}
	if len(asked) == 0 {
		return []uint32{0}
	}
	return asked
}

// Validate checks that the history only grows.
func (s Shards) Validate() error {
	if len(s) == 0 || s[0] == 0 {
		return errors.New("once: at least one ledger shard is needed")
	}
	for i := 1; i < len(s); i++ {
		if s[i] <= s[i-1] {
			return errors.New("once: the number of ledger shards may only grow")
		}
	}
	return nil
}

// Shard returns the shard of a key from its digest. Zero shards count as one.
func (id KeyID) Shard(shards uint32) uint32 {
	const multiplier = 2862933555777941757
	hash := binary.BigEndian.Uint64(id[:8])
	bucket, next := int64(0), int64(0)
	for next < int64(shards) {
		bucket = next
		hash = hash*multiplier + 1
		next = int64(float64(bucket+1) * (float64(1<<31) / float64(hash>>33+1)))
	}
	return uint32(bucket)
}
