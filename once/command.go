package once

import (
	"crypto/sha256"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/outcome"
)

// Digest is the SHA-256 of the content of a call or of the body of an answer.
type Digest [sha256.Size]byte

// DigestCall returns the digest that identifies the content of a call: its
// method, its path with the query, and its body.
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

// Owner identifies one incarnation of an entry host.
type Owner struct {
	Host        ident.Host        `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
}

// ClaimID identifies one attempt to claim a key. A claim that is resent after
// its answer was lost keeps its ID.
type ClaimID [16]byte

// Claim requests permission to send a call.
type Claim struct {
	Key Key `cbor:"1,keyasint"`
	// Digest identifies the content of the call. A claim of the same key with
	// another digest is a conflict.
	Digest Digest  `cbor:"2,keyasint"`
	Owner  Owner   `cbor:"3,keyasint"`
	ID     ClaimID `cbor:"4,keyasint"`
	// HoldMillis is the time the owner has to record an outcome. After it the
	// ledger reports the outcome as unknown.
	HoldMillis int64 `cbor:"5,keyasint"`
	// Request identifies the caller's request that the call belongs to.
	Request ident.Request `cbor:"6,keyasint"`
	Class   ident.Class   `cbor:"7,keyasint,omitempty"`
}

// Release gives up a claim. Only the claim's owner may send it, and only if it
// has written no byte of the call and never will.
type Release struct {
	Key    Key     `cbor:"1,keyasint"`
	Digest Digest  `cbor:"2,keyasint"`
	Owner  Owner   `cbor:"3,keyasint"`
	ID     ClaimID `cbor:"4,keyasint"`
	// Reason is reported to the duplicates that wait for the claim.
	Reason outcome.Reason `cbor:"5,keyasint"`
}

// Record stores the outcome of a claimed call.
type Record struct {
	Key Key `cbor:"1,keyasint"`
	// ID is the claim that was granted.
	ID     ClaimID `cbor:"2,keyasint"`
	Answer Answer  `cbor:"3,keyasint"`
}

// HeaderField is one header field of a recorded answer.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Answer is a recorded outcome. Every caller that uses the key gets the same
// one.
type Answer struct {
	// Kind is done, failed-by-upstream or unknown.
	Kind outcome.Kind `cbor:"1,keyasint"`
	// Reason and Detail explain an outcome other than done.
	Reason outcome.Reason `cbor:"2,keyasint,omitempty"`
	Detail string         `cbor:"3,keyasint,omitempty"`
	// Status, Header and Body are those of the upstream's HTTP response.
	Status int           `cbor:"4,keyasint,omitempty"`
	Header []HeaderField `cbor:"5,keyasint,omitempty"`
	Body   []byte        `cbor:"6,keyasint,omitempty"`
	// BodyOmitted is set if the body was too large to keep. Body is then empty,
	// and BodyLength and BodyDigest describe the body.
	BodyOmitted bool   `cbor:"7,keyasint,omitempty"`
	BodyLength  int64  `cbor:"8,keyasint,omitempty"`
	BodyDigest  Digest `cbor:"9,keyasint,omitempty"`
	// Request is the request that sent the call, and Upstream the upstream that
	// handled it.
	Request  ident.Request  `cbor:"10,keyasint"`
	Upstream ident.Upstream `cbor:"11,keyasint,omitempty"`
}

// Command is one entry of the ledger's log. At most one of the pointers is set.
// A command without any is a tick, which only advances the ledger's time.
type Command struct {
	// NowMillis is the proposer's wall clock in Unix milliseconds. The ledger's
	// time is the maximum over all commands applied.
	NowMillis int64    `cbor:"1,keyasint"`
	Claim     *Claim   `cbor:"2,keyasint,omitempty"`
	Release   *Release `cbor:"3,keyasint,omitempty"`
	Record    *Record  `cbor:"4,keyasint,omitempty"`
	// LostOwner marks the in-flight claims of an owner, and of earlier
	// incarnations of its host, as unknown.
	LostOwner *Owner `cbor:"5,keyasint,omitempty"`
	// Configure replaces the ledger's options.
	Configure *Options `cbor:"6,keyasint,omitempty"`
	// Reshard is proposed when the number of shards grows.
	Reshard *Reshard `cbor:"7,keyasint,omitempty"`
}

// Reshard informs a ledger that keys are now spread over Shards shards and that
// it is shard Self. The ledger continues to answer for every key it has a
// record of, and accepts a new key only if the key still maps to Self.
type Reshard struct {
	Self   uint32 `cbor:"1,keyasint"`
	Shards uint32 `cbor:"2,keyasint"`
}

// Encode returns the command as stored in the log.
func (c Command) Encode() []byte { return wire.MustMarshal(c) }

// Status is the kind of a Result.
type Status uint8

// The statuses of a Result.
const (
	StatusInvalid Status = iota
	// StatusGranted permits the claimant to send the call once.
	StatusGranted
	// StatusInFlight means that another claim holds the key.
	StatusInFlight
	// StatusAnswered means that an outcome is recorded; Result.Answer holds it.
	StatusAnswered
	// StatusReleased means that the claim was released and the call not sent.
	StatusReleased
	// StatusConflict means that the key was used for a call with other content.
	StatusConflict
	// StatusExpired means that the key is older than the retention.
	StatusExpired
	// StatusFull means that the ledger has no capacity for another claim.
	StatusFull
	// StatusStaleOwner means that a newer incarnation of the claimant is known.
	StatusStaleOwner
	// StatusMissing means that the ledger has no such claim.
	StatusMissing
	// StatusMoved means that the ledger has no record of the key and that the
	// key now maps to another shard.
	StatusMoved
	// StatusBad means that the command is invalid.
	StatusBad
	// StatusOK is the result of a command that concerns no single key.
	StatusOK
)

// Result is the ledger's answer to a command.
type Result struct {
	Status Status `cbor:"1,keyasint"`
	// Answer is the recorded outcome if the status is StatusAnswered.
	Answer *Answer `cbor:"2,keyasint,omitempty"`
	// Owner is the owner of the claim that holds the key if the status is
	// StatusInFlight.
	Owner Owner `cbor:"3,keyasint,omitempty"`
	// RetryMillis is the delay before a retry if the status is StatusFull.
	RetryMillis int64 `cbor:"4,keyasint,omitempty"`
	// Reason and Detail explain a status that does not permit sending the call.
	Reason outcome.Reason `cbor:"5,keyasint,omitempty"`
	Detail string         `cbor:"6,keyasint,omitempty"`
}

// Encode returns the result in the form that Apply returns.
func (r Result) Encode() []byte { return wire.MustMarshal(r) }

// DecodeResult decodes a result returned by Apply.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := wire.Unmarshal(data, &r)
	return r, err
}

// Err returns the result of a claim as an error of package outcome. It is nil
// for StatusGranted, StatusInFlight, StatusOK and a recorded outcome that is
// done.
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
		// The call was not sent for this claim, but it may have been sent under
		// the same key before the record expired, so NotRun could be false.
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

// Err returns the answer as an error of package outcome, or nil if it is done.
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
