package prefix

import (
	"fmt"

	"github.com/lovagereach/lovagereach/ident"
)

// Limits of a directory.
const (
	// MaxHolders is the maximum number of upstreams that a directory follows: the
	// runners and store hosts of one cell. It is the size of a block's holder set.
	MaxHolders = 128
	// MaxCopies is the maximum number of store copies that are tracked for a block.
	MaxCopies = 4
	// DefaultMaxBlocks is the maximum number of blocks in a directory.
	DefaultMaxBlocks = 1 << 17
	// DefaultMaxPending is the maximum number of events after a gap that are kept for
	// a holder.
	DefaultMaxPending = 256
	// DefaultMaxMatches is the maximum number of holders that Longest returns.
	DefaultMaxMatches = 8
)

// Options are the limits of a directory. Zero fields stand for the defaults above.
type Options struct {
	MaxBlocks  int
	MaxPending int
	MaxMatches int
}

func (o Options) withDefaults() Options {
	if o.MaxBlocks == 0 {
		o.MaxBlocks = DefaultMaxBlocks
	}
	if o.MaxPending == 0 {
		o.MaxPending = DefaultMaxPending
	}
	if o.MaxMatches == 0 {
		o.MaxMatches = DefaultMaxMatches
	}
	return o
}

// Validate returns an error for the first field that is out of range.
func (o Options) Validate() error {
	if o.MaxBlocks < 0 || o.MaxBlocks > 1<<28 {
		return fmt.Errorf("max blocks: %d is not within 0 to %d", o.MaxBlocks, 1<<28)
	}
	if o.MaxPending < 0 || o.MaxPending > 1<<16 {
		return fmt.Errorf("max pending: %d is not within 0 to %d", o.MaxPending, 1<<16)
	}
	if o.MaxMatches < 0 || o.MaxMatches > MaxHolders {
		return fmt.Errorf("max matches: %d is not within 0 to %d", o.MaxMatches, MaxHolders)
	}
	return nil
}

// EventKind is the kind of change of a block at a holder.
type EventKind uint8

// The kinds of event.
const (
	// Stored means that the holder has the block; with a Copy it is a committed
	// slot of a store host.
	Stored EventKind = iota + 1
	// Removed means that the holder no longer has the block.
	Removed
	// Cleared means that the holder no longer has any blocks.
	Cleared
)

// Tier is the kind of storage of a copy.
type Tier uint8

// The tiers of a store host, fastest first.
const (
	Memory Tier = iota
	Disk
	tierCount
)

// TierCount is the number of tiers of a store host.
const TierCount = int(tierCount)

// String returns the name used in dumps and metrics.
func (t Tier) String() string {
	switch t {
	case Memory:
		return "memory"
	case Disk:
		return "disk"
	}
	return "unknown"
}

// Copy describes a committed slot of a store host. A reader sends slot and
// generation; the store refuses any other generation.
type Copy struct {
	Slot       string
	Generation uint64
	Bytes      int64
	// Checksum is xxhash64 over the bytes of the block.
	Checksum uint64
	Tier     Tier
}

// Event is a change of a holder's blocks.
type Event struct {
	// Sequence is the number of the event within an incarnation, from one on.
	Sequence uint64
	Kind     EventKind
	Block    BlockID
	// Copy is set for committed slots of store hosts.
	Copy *Copy
}

// Batch is a list of events of one holder. Batches may be late, repeated, out of
// order or lost.
type Batch struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	Events      []Event
}

// HeldBlock is a block in a snapshot.
type HeldBlock struct {
	Block BlockID
	Copy  *Copy
}

// Snapshot lists all blocks of a holder at one point of its event sequence.
type Snapshot struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Sequence is the number of the last event that the snapshot includes, zero if none.
	Sequence uint64
	Blocks   []HeldBlock
}

// Match is a holder of a prefix of a prompt.
type Match struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Blocks is the number of the prompt's blocks, from the first on, that it holds.
	Blocks int
	// Accuracy is the share of the blocks attributed to it that its answers actually
	// reused, 0 to 1, as a moving average over recent answers.
	Accuracy float64
	// Stale means that events are missing and a snapshot is needed.
	Stale bool
}

// StoredCopy is a copy with the store host that has it.
type StoredCopy struct {
	Store       ident.Upstream
	Incarnation ident.Incarnation
	Block       BlockID
	Copy        Copy
}

// Answer describes the use of a prompt's blocks by a completed request.
type Answer struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Blocks are the full blocks of the prompt, in order.
	Blocks []BlockID
	// Claimed is how many of them the directory attributed to the upstream when the
	// request was sent, Reused how many the engine reused.
	Claimed int
	Reused  int
	// Held is how many the engine is expected to hold after the request: all that
	// it computed or reused, zero if it failed before the first token.
	Held int
}
