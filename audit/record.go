package audit

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// Mode is the audit mode of a class.
type Mode string

// The modes.
const (
	// ModeFull keeps a replicated trace of each request.
	ModeFull Mode = "full"
	// ModeSampled keeps the open requests and a sample of the closed ones on the
	// entry host.
	ModeSampled Mode = "sampled"
)

// Valid reports whether the mode is known.
func (m Mode) Valid() bool { return m == ModeFull || m == ModeSampled }

// Opening describes a request when it is accepted.
type Opening struct {
	Request ident.Request `cbor:"1,keyasint" json:"request"`
	Team    ident.Team    `cbor:"2,keyasint" json:"team"`
	Class   ident.Class   `cbor:"3,keyasint" json:"class"`
	// Entry is the entry host that accepted the request.
	Entry    ident.Host `cbor:"4,keyasint" json:"entry"`
	Accepted time.Time  `cbor:"5,keyasint" json:"accepted"`
	// Deadline is the time at which an outcome is due. The entry host sets the class's
	// deadline for a request without one.
	Deadline time.Time `cbor:"6,keyasint" json:"deadline"`
	Mode     Mode      `cbor:"7,keyasint" json:"mode"`
	// Batch is the declared batch that the request belongs to, Item its name in the
	// batch; both may be empty.
	Batch string `cbor:"8,keyasint,omitempty" json:"batch,omitempty"`
	Item  string `cbor:"9,keyasint,omitempty" json:"item,omitempty"`
}

// Closing describes the outcome of a request and its answer.
type Closing struct {
	Kind outcome.Kind `cbor:"1,keyasint" json:"outcome"`
	// Reason explains an outcome that is not done.
	Reason outcome.Reason `cbor:"2,keyasint,omitempty" json:"reason,omitempty"`
	// Upstream and Version are the upstream and weight version that answered, empty
	// if there was no answer.
	Upstream ident.Upstream `cbor:"3,keyasint,omitempty" json:"upstream,omitempty"`
	Version  ident.Version  `cbor:"4,keyasint,omitempty" json:"version,omitempty"`
	// KeptPrompt identifies the kept prompt from which tokens were reused, by its
	// last reused block.
	KeptPrompt string `cbor:"5,keyasint,omitempty" json:"kept_prompt,omitempty"`
	// Blocks are the identities of the last MaxBlocks reused blocks. Block identities
	// form a hash chain, so the last one determines all before it; ReusedBlocks is the
	// number of all reused blocks.
	Blocks       []string `cbor:"6,keyasint,omitempty" json:"blocks,omitempty"`
	ReusedBlocks int      `cbor:"11,keyasint,omitempty" json:"reused_blocks,omitempty"`
	// PromptTokens is the length of the prompt in tokens, ReusedTokens the part of it
	// that was not recomputed.
	PromptTokens int `cbor:"7,keyasint,omitempty" json:"prompt_tokens,omitempty"`
	ReusedTokens int `cbor:"8,keyasint,omitempty" json:"reused_tokens,omitempty"`
	// Attempts is the number of times that the request was sent, the first included.
	Attempts int `cbor:"9,keyasint,omitempty" json:"attempts,omitempty"`
	// Decided is the time at which the outcome was decided.
	Decided time.Time `cbor:"10,keyasint" json:"decided"`
}

// MaxBlocks is the maximum number of block identities that are kept for a request.
const MaxBlocks = 32

// truncate drops the block identities beyond the last MaxBlocks.
func (c *Closing) truncate() {
	c.ReusedBlocks = max(c.ReusedBlocks, len(c.Blocks))
	if len(c.Blocks) > MaxBlocks {
		c.Blocks = slices.Clone(c.Blocks[len(c.Blocks)-MaxBlocks:])
	}
}

// Record is the audit record of a request.
type Record struct {
	Opening `cbor:"1,keyasint"`
	Closing `cbor:"2,keyasint"`
	// Closed is false while the request has no outcome.
	Closed bool `cbor:"3,keyasint" json:"closed"`
}

// Overdue reports whether the request has no outcome after its deadline.
func (r *Record) Overdue(now time.Time) bool {
	return !r.Closed && now.After(r.Deadline)
}

// MarshalJSON encodes the record as one flat object with the outcome by name.
func (r Record) MarshalJSON() ([]byte, error) {
	type opening Opening
	type closing Closing
	view := struct {
		opening
		*closing
		Outcome string `json:"outcome"`
		Closed  bool   `json:"closed"`
	}{opening: opening(r.Opening), Outcome: "none", Closed: r.Closed}
	if r.Closed {
		c := closing(r.Closing)
		view.closing = &c
		view.Outcome = r.Kind.String()
	}
	return json.Marshal(view)
}
