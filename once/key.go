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

// MaxKeyLength is the maximum length of an idempotency key in bytes.
const MaxKeyLength = 255

// Key identifies one call that must not be repeated. Keys of different teams
// never collide.
type Key struct {
	Team    ident.Team    `cbor:"1,keyasint"`
	Service ident.Service `cbor:"2,keyasint"`
	// Text is the value of the caller's Idempotency-Key header.
	Text string `cbor:"3,keyasint"`
}

// ErrKeyText is returned for a key text that is empty, too long or not
// printable ASCII.
var ErrKeyText = errors.New("idempotency key must be 1 to 255 printable ASCII characters")

// Validate checks the key's text and returns ErrKeyText if it is invalid.
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

// keyIDSize is the size of a KeyID in bytes. With 16 bytes the probability of a
// collision among 10^12 keys is about 10^-15.
const keyIDSize = 16

// KeyID is a fixed-size digest of a Key.
type KeyID [keyIDSize]byte

// ID returns the digest of the key.
func (k Key) ID() KeyID {
	var length [4]byte
	h := sha256.New()
	for _, part := range [...]string{string(k.Team), string(k.Service), k.Text} {
		// The length prefix distinguishes ("ab","c") from ("a","bc").
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return KeyID(sum[:keyIDSize])
}

// String returns the ID in hexadecimal.
func (id KeyID) String() string { return hex.EncodeToString(id[:]) }

// dateDigits is the number of digits of a Unix time in milliseconds between the
// years 2001 and 2286.
const dateDigits = 13

// Date returns the creation time encoded in the key's text, and whether there
// is one. Two forms encode a time: a version 7 UUID (RFC 9562), and 13 digits
// of Unix milliseconds followed by a full stop and at least one more character.
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

// Layout of a UUID in text form: xxxxxxxx-xxxx-7xxx-yxxx-xxxxxxxxxxxx.
const (
	uuidLength       = 36
	uuidVersionAt    = 14
	uuidVariantAt    = 19
	uuidMillisDigits = 12
)

// uuidMillis returns the Unix milliseconds of a version 7 UUID.
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

// Shard returns the ledger shard, from 0 to shards-1, that holds a key. Adding
// a shard moves only the keys that the new shard takes over (jump consistent
// hash by Lamping and Veach).
func Shard(team ident.Team, service ident.Service, key string, shards uint32) uint32 {
	id := Key{Team: team, Service: service, Text: key}.ID()
	return id.Shard(shards)
}

// Shards is the history of the number of ledger shards, oldest first, as stored
// in the configuration state. A claim goes first to the shard selected by the
// oldest count, and to that of the next count only if the ledger answers
// StatusMoved. A key claimed before the number of shards changed is therefore
// found after the change.
type Shards []uint32

// ForKey returns the shards to try for a key, in order and without duplicates.
func (s Shards) ForKey(id KeyID) []uint32 {
	var list []uint32
	for _, count := range s {
		shard := id.Shard(count)
		if !slices.Contains(list, shard) {
			list = append(list, shard)
		}
	}
	if len(list) == 0 {
		return []uint32{0}
	}
	return list
}

// Validate checks that the history is not empty and strictly increasing.
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

// Shard returns the shard of a key with the given digest. Zero shards count as
// one.
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
