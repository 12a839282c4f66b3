package prefix

import (
	"fmt"

	"github.com/lovagereach/lovagereach/ident"
)

// Bounds of a directory.
const (
	// MaxHolders is the most upstreams one directory follows: the runners and
	// store hosts of one cell. It is the width of the holder set of a block.
	MaxHolders = 128
	// MaxCopies is the most store copies of one block that are remembered.
	MaxCopies = 4
	// DefaultMaxBlocks bounds the blocks of one directory.
	DefaultMaxBlocks = 1 << 17
	// DefaultMaxPending bounds the events kept beyond a gap for one holder.
	DefaultMaxPending = 256
	// DefaultMaxMatches is how many holders Longest returns at most.
	DefaultMaxMatches = 8
)

// Options bounds a directory. Zero fields take the defaults above.
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

// Validate reports the first field out of range.
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

// EventKind is what happened to a block at a holder.
type EventKind uint8

// The kinds of event.
const (
	// Stored means that the holder now has the block; with a Copy it is a
	// committed slot of a store host.
	Stored EventKind = iota + 1
	// Removed means that the holder no longer has the block.
	Removed
	// Cleared means that the holder has no block at all any more.
	Cleared
)

// Tier is the kind of storage in which a copy lies.
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

// Copy describes one committed slot of a store host. A reader presents slot
// and generation; the store refuses any other generation.
type Copy struct {
	Slot       string
	Generation uint64
	Bytes      int64
	// Checksum is xxhash64 over the bytes of the block.
	Checksum uint64
	Tier     Tier
}

// Event is one change of a holder's blocks.
type Event struct {
	// Sequence grows by one with each event of an incarnation, from one.
	Sequence uint64
	Kind     EventKind
	Block    BlockID
	// Copy is set for committed slots of store hosts.
	Copy *Copy
}

// Batch is a run of events of one holder. Batches may be late, repeated, out
// of order or lost.
type Batch struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	Events      []Event
}

// HeldBlock is one entry of a snapshot.
type HeldBlock struct {
	Block BlockID
	Copy  *Copy
}

// Snapshot is everything a holder has at one point of its event sequence.
type Snapshot struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Sequence is that of the last event the snapshot includes, zero if none.
	Sequence uint64
	Blocks   []HeldBlock
}

// Match is one holder of a prompt's beginning.
type Match struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Blocks is how many of the prompt's blocks, from the first, it holds.
	Blocks int
	// Accuracy is how much of what it was thought to hold its answers in fact
	// reused, 0 to 1, averaged over recent answers.
	Accuracy float64
	// Stale means that events are missing and a snapshot is due.
	Stale bool
}

// StoredCopy is a copy together with the store host that has it.
type StoredCopy struct {
	Store       ident.Upstream
	Incarnation ident.Incarnation
	Block       BlockID
	Copy        Copy
}

// Answer is what a finished request told about its prompt's blocks.
type Answer struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Blocks are the full blocks of the prompt, in order.
	Blocks []BlockID
	// Claimed is how many of them the directory said were held when the
	// request was sent, Reused how many the engine reused.
	Claimed int
	Reused  int
	// Held is how many the engine is expected to hold now: all that it
	// computed or reused, zero if it failed before the first token.
	Held int
}
