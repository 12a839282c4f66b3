package config

import "crypto/sha256"

// Limits on the texts of a command, in bytes.
const (
	MaxRequestID = 64
	MaxAuthor    = 128
	MaxNote      = 512
)

// Command requests a change of the replicated state from revision Base to a new
// revision.
type Command struct {
	// RequestID is chosen by the operator. A resent request repeats it.
	RequestID string `cbor:"1,keyasint"`
	// Content is the digest of the operator's request. It distinguishes a
	// resend from another request with the same RequestID.
	Content ContentDigest `cbor:"2,keyasint"`
	Author  string        `cbor:"3,keyasint"`
	// At is the wall clock of the proposing leader in Unix microseconds.
	At   int64    `cbor:"4,keyasint"`
	Base Revision `cbor:"5,keyasint"`
	Note string   `cbor:"6,keyasint,omitempty"`
	// Delta leads from Base to the operator's configuration. The leader
	// computes it only if Base is its latest revision. Otherwise the command
	// can only result in a conflict or a repeated answer, and Delta is empty.
	Delta Delta `cbor:"7,keyasint"`
}

// ContentDigest is the SHA-256 of an operator's request.
type ContentDigest [sha256.Size]byte

// Verdict is the outcome of a command.
type Verdict string

// The verdicts.
const (
	VerdictApplied   Verdict = "applied"
	VerdictUnchanged Verdict = "unchanged"
	// VerdictConflict means that another command with the same base was applied
	// first.
	VerdictConflict Verdict = "conflict"
	// VerdictReused means that the request ID was used for other content.
	VerdictReused  Verdict = "request-id-reused"
	VerdictInvalid Verdict = "invalid"
)

// Result is the answer to a command. A resent command gets the first answer
// with Repeated set.
type Result struct {
	Verdict Verdict `cbor:"1,keyasint" json:"verdict"`
	// Revision is the one the command created, or the latest if it created
	// none.
	Revision Revision `cbor:"2,keyasint" json:"revision"`
	// Winner is the revision that followed the base of a conflicting command.
	// It is nil if that revision is no longer in the history.
	Winner   *RevisionMeta `cbor:"3,keyasint,omitempty" json:"winner,omitempty"`
	Problems Problems      `cbor:"4,keyasint,omitempty" json:"problems,omitempty"`
	Repeated bool          `cbor:"5,keyasint,omitempty" json:"repeated,omitempty"`
}
