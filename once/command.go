package once

import (
	"crypto/sha256"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/outcome"
)

// Digest is SHA-256 over the content of a call or of an answer.
type Digest [sha256.Size]byte

// DigestCall returns the digest by which a ledger tells two calls apart: over
// the method, the path with its query, and the body.
func DigestCall(method, path string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [...]string{method, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	var d Digest
	h.Sum(d[:0])
	return d
}

// Owner is one incarnation of an entry host: one run of its process.
type Owner struct {
	Host        ident.Host        `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
}

// ClaimID identifies one attempt to claim a key, so that a claim resent after
// a lost answer is recognised as the same one.
type ClaimID [16]byte

// Claim asks for the right to send a call.
type Claim struct {
	Key Key `cbor:"1,keyasint"`
	// Digest is over the content of the call; the same key with other content
	// is a conflict.
	Digest Digest  `cbor:"2,keyasint"`
	Owner  Owner   `cbor:"3,keyasint"`
	ID     ClaimID `cbor:"4,keyasint"`
	// HoldMillis is how long the owner may take to record an outcome before
	// the ledger answers others that it is unknown.
	HoldMillis int64 `cbor:"5,keyasint"`
	// Request is the caller's request that the call belongs to.
	Request ident.Request `cbor:"6,keyasint"`
	Class   ident.Class   `cbor:"7,keyasint,omitempty"`
}

// Release gives a claim back, and may be sent only by the owner that has
// written no byte of the call and never will.
type Release struct {
	Key    Key     `cbor:"1,keyasint"`
	Digest Digest  `cbor:"2,keyasint"`
	Owner  Owner   `cbor:"3,keyasint"`
	ID     ClaimID `cbor:"4,keyasint"`
	// Reason is told to duplicates that wait for the claim.
	Reason outcome.Reason `cbor:"5,keyasint"`
}

// Record states what became of a claimed call.
type Record struct {
	Key Key `cbor:"1,keyasint"`
	// ID is that of the claim that won the right to send.
	ID     ClaimID `cbor:"2,keyasint"`
	Answer Answer  `cbor:"3,keyasint"`
}

// HeaderField is one header line of a recorded answer.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Answer is a recorded outcome, the same for every caller that asks.
type Answer struct {
	// Kind is done, failed-by-upstream or unknown.
	Kind outcome.Kind `cbor:"1,keyasint"`
	// Reason and Detail explain an outcome that is not done.
	Reason outcome.Reason `cbor:"2,keyasint,omitempty"`
	Detail string         `cbor:"3,keyasint,omitempty"`
	// Status, Header and Body are the upstream's HTTP answer.
	Status int           `cbor:"4,keyasint,omitempty"`
	Header []HeaderField `cbor:"5,keyasint,omitempty"`
	Body   []byte        `cbor:"6,keyasint,omitempty"`
	// BodyOmitted tells that the body was too large to keep: BodyLength and
	// BodyDigest describe it, Body is empty.
	BodyOmitted bool   `cbor:"7,keyasint,omitempty"`
	BodyLength  int64  `cbor:"8,keyasint,omitempty"`
	BodyDigest  Digest `cbor:"9,keyasint,omitempty"`
	// Request is the request that ran the call, Upstream where it ran.
	Request  ident.Request  `cbor:"10,keyasint"`
	Upstream ident.Upstream `cbor:"11,keyasint,omitempty"`
}

// Command is one entry of the ledger's log. Exactly one of the pointers is
// set; none is set in a tick, which only carries time.
type Command struct {
	// NowMillis is the proposer's clock in Unix milliseconds. The ledger's own
	// time is the largest it has seen.
	NowMillis int64    `cbor:"1,keyasint"`
	Claim     *Claim   `cbor:"2,keyasint,omitempty"`
	Release   *Release `cbor:"3,keyasint,omitempty"`
	Record    *Record  `cbor:"4,keyasint,omitempty"`
	// LostOwner declares every claim of an owner, and of its earlier incarnations,
	// without hope of an outcome.
	LostOwner *Owner `cbor:"5,keyasint,omitempty"`
	// Configure sets the ledger's options.
	Configure *Options `cbor:"6,keyasint,omitempty"`
	// Reshard is committed when the number of shards grows.
	Reshard *Reshard `cbor:"7,keyasint,omitempty"`
}

// Reshard tells a ledger that keys are now spread over Shards shards, of which it
// is Self. It goes on answering for every key it knows, and takes new keys only
// if they are still its own.
type Reshard struct {
	Self   uint32 `cbor:"1,keyasint"`
	Shards uint32 `cbor:"2,keyasint"`
}

// Encode returns the command as it stands in the log.
func (c Command) Encode() []byte { return wire.MustMarshal(c) }

// Status is the ledger's answer to a command.
type Status uint8

// The answers. The zero value is invalid.
const (
	StatusInvalid Status = iota
	// StatusGranted gives the claimant the right to send, once.
	StatusGranted
	// StatusInFlight tells that another claim holds the key.
	StatusInFlight
	// StatusAnswered carries the recorded outcome.
	StatusAnswered
	// StatusReleased tells that the claim was given back: nothing ran.
	StatusReleased
	// StatusConflict tells that the key was used for other content.
	StatusConflict
	// StatusExpired tells that the key is older than the retention.
	StatusExpired
	// StatusFull tells that the ledger has no room for another claim.
	StatusFull
	// StatusStaleOwner tells that a later incarnation of the claimant is known.
	StatusStaleOwner
	// StatusMissing tells that no such claim is known.
	StatusMissing
	// StatusMoved tells that this ledger has never seen the key and that a new
	// shard takes it now.
	StatusMoved
	// StatusBad tells that the command can't be understood.
	StatusBad
	// StatusOK answers the commands that concern no single key.
	StatusOK
)

// Result is the ledger's answer with its particulars.
type Result struct {
	Status Status `cbor:"1,keyasint"`
	// Answer is the recorded outcome, for StatusAnswered.
	Answer *Answer `cbor:"2,keyasint,omitempty"`
	// Owner holds the claim when the status is StatusInFlight.
	Owner Owner `cbor:"3,keyasint,omitempty"`
	// RetryMillis is when to come back, for StatusFull.
	RetryMillis int64 `cbor:"4,keyasint,omitempty"`
	// Reason and Detail explain a status that gives no right to send.
	Reason outcome.Reason `cbor:"5,keyasint,omitempty"`
	Detail string         `cbor:"6,keyasint,omitempty"`
}

// Encode returns the result as Apply gives it.
func (r Result) Encode() []byte { return wire.MustMarshal(r) }

// DecodeResult reads what Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := wire.Unmarshal(data, &r)
	return r, err
}

// Err translates the result of a claim into the outcome its caller is given.
// It is nil for StatusWon, StatusInFlight and an answer that is done.
func (r Result) Err() error {
	switch r.Status {
	case StatusGranted, StatusInFlight, StatusOK:
		return nil
	case StatusAnswered:
		return r.Answer.Err()
	case StatusReleased:
		return &outcome.NotRun{Reason: r.Reason, Detail: "the first call under this key was given back before it was sent"}
	case StatusConflict:
		return &outcome.NotRun{Reason: outcome.ReasonKeyConflict, Detail: "this key was used for a call with other content"}
	case StatusExpired:
		// The call was not sent now. Whether it was under this key before is
		// no longer known, so "not run" could be false.
		return &outcome.Unknown{Reason: outcome.ReasonKeyExpired, Detail: r.Detail}
	case StatusFull:
		retry := time.Duration(r.RetryMillis) * time.Millisecond
		return &outcome.NotRun{Reason: outcome.ReasonOverloaded, Detail: r.Detail, RetryAfter: retry}
	case StatusBad:
		return &outcome.NotRun{Reason: outcome.ReasonBadRequest, Detail: r.Detail}
	default:
		return &outcome.Unknown{Reason: outcome.ReasonLedgerDown, Detail: "the ledger gave no answer for this key: " + r.Detail}
	}
}

// Err returns the answer as an error of package outcome, nil when it is done.
func (a *Answer) Err() error {
	switch a.Kind {
	case outcome.KindDone:
		return nil
	case outcome.KindFailed:
		return &outcome.Failed{Reason: a.Reason, Detail: a.Detail, Status: a.Status}
	default:
		return &outcome.Unknown{Reason: a.Reason, Detail: a.Detail}
	}
}
