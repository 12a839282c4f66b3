package config

import "crypto/sha256"

// Bounds on what a command carries as text.
const (
	MaxRequestID = 64
	MaxAuthor    = 128
	MaxNote      = 512
)

// Command asks the replicated state to move from Base to a new revision.
type Command struct {
	// RequestID is the operator's; a resend repeats it.
	RequestID string `cbor:"1,keyasint"`
	// Content is the digest of what the operator sent, which tells a resend
	// from another request under the same id.
	Content ContentDigest `cbor:"2,keyasint"`
	Author  string        `cbor:"3,keyasint"`
	// At is the proposing leader's clock in Unix microseconds.
	At   int64    `cbor:"4,keyasint"`
	Base Revision `cbor:"5,keyasint"`
	Note string   `cbor:"6,keyasint,omitempty"`
	// Delta leads from Base to the operator's configuration. The leader works
	// it out only when Base is its latest revision; else the command can end
	// in a conflict or a repeated answer only, and Delta is left empty.
	Delta Delta `cbor:"7,keyasint"`
}

// ContentDigest is the SHA-256 of an operator's request.
type ContentDigest [sha256.Size]byte

// Verdict is what became of a command.
type Verdict string

// The verdicts.
const (
	VerdictApplied   Verdict = "applied"
	VerdictUnchanged Verdict = "unchanged"
	// VerdictConflict means that another command won against the same base.
	VerdictConflict Verdict = "conflict"
	// VerdictReused means that the request id was used for other content.
	VerdictReused  Verdict = "request-id-reused"
	VerdictInvalid Verdict = "invalid"
)

// Result answers a command. Repeats of the command get the same answer with
// Repeated set.
type Result struct {
	Verdict Verdict `cbor:"1,keyasint" json:"verdict"`
	// Revision is the one the command made, or the latest when it made none.
	Revision Revision `cbor:"2,keyasint" json:"revision"`
	// Winner is the revision that followed the base of a conflicting command;
	// it is nil when that is older than the history kept.
	Winner   *RevisionMeta `cbor:"3,keyasint,omitempty" json:"winner,omitempty"`
	Problems Problems      `cbor:"4,keyasint,omitempty" json:"problems,omitempty"`
	Repeated bool          `cbor:"5,keyasint,omitempty" json:"repeated,omitempty"`
}
