package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Revision numbers the accepted configurations. Zero is the empty configuration
// before the first one.
type Revision uint64

// Duration is a time.Duration that is encoded as text, for example "380ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d in the format of time.Duration, for example "380ms".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration; write for example 380ms or 2m", text)
	}
	*d = Duration(parsed)
	return nil
}

// Share is a share in millionths. It is an integer, so that sums are equal on
// every replica whatever the order of addition.
type Share uint32

// FullShare is a share of 100%.
const FullShare Share = 1_000_000

// sharePerPercent is the number of millionths in one percent.
const sharePerPercent = FullShare / 100

// Fraction returns s as a number from 0 to 1.
func (s Share) Fraction() float64 { return float64(s) / float64(FullShare) }

// String returns s in percent, for example "12.5%".
func (s Share) String() string {
	return strconv.FormatFloat(float64(s)/float64(sharePerPercent), 'f', -1, 64) + "%"
}

// MarshalText implements encoding.TextMarshaler.
func (s Share) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Share) UnmarshalText(text []byte) error {
	number, isPercent := strings.CutSuffix(strings.TrimSpace(string(text)), "%")
	value, err := strconv.ParseFloat(number, 64)
	if err != nil || !isPercent || !(value >= 0 && value <= 100) {
		return fmt.Errorf("%q is not a share; write a percentage from 0%% to 100%%", text)
	}
	*s = Share(value*float64(sharePerPercent) + 0.5)
	return nil
}

// TokenDigest is the SHA-256 of a bearer token. The token itself is never
// stored.
type TokenDigest [sha256.Size]byte

// ErrTokenDigest is returned for text that is not a SHA-256 in hexadecimal.
var ErrTokenDigest = errors.New("not the 64 hexadecimal digits of a SHA-256; make one with: printf %s \"$TOKEN\" | sha256sum")

// DigestToken returns the digest of a bearer token.
func DigestToken(token string) TokenDigest {
	return sha256.Sum256([]byte(token))
}

// String returns the digest as 64 hexadecimal digits.
func (d TokenDigest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d TokenDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *TokenDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return ErrTokenDigest
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return ErrTokenDigest
	}
	return nil
}
