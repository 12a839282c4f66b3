package keep

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// CopyID identifies one attempt to keep one block. Results carry it, so that a
// late result of an earlier attempt has no effect.
type CopyID uint64

// PinID identifies one reader's pin on one copy.
type PinID uint64

// Phase is the phase of a copy.
type Phase uint8

// Phases of a copy. Only a committed copy is given to readers.
const (
	// Absent means that there is no copy.
	Absent Phase = iota
	// Reserving means that a slot was requested from the store.
	Reserving
	// Writing means that the slot is reserved and the engine may write it.
	Writing
	// Verifying means that the engine has written the slot and the store
	// verifies it.
	Verifying
	// Committed means that the store has verified the length and the checksum.
	Committed
	// Freeing means that the copy gets no new readers and is freed once its
	// pins have ended.
	Freeing
)

var phaseNames = [...]string{"absent", "reserving", "writing", "verifying", "committed", "freeing"}

// String returns the name of the phase in dumps and metrics.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Use describes one finished request with a prompt worth keeping.
type Use struct {
	Scope prefix.Scope
	Class ident.Class
	// Blocks are the full blocks of the prompt, in order.
	Blocks []prefix.BlockID
	// Runner is the engine that holds the blocks.
	Runner            ident.Upstream
	RunnerIncarnation ident.Incarnation
	RunnerDataCentre  ident.DataCentre
	// BlockBytes is the size of one block. Saved is the time that reusing one
	// block saves compared with recomputing it; zero means unknown, because the
	// request computed nothing.
	BlockBytes int64
	Saved      time.Duration
}

// Source identifies one committed copy for a reader. The store refuses any
// other incarnation or generation, and the engine checks the length and the
// checksum.
type Source struct {
	Block       prefix.BlockID
	Store       ident.Upstream
	Incarnation ident.Incarnation
	Copy        prefix.Copy
}

// Pin keeps one copy from being freed while a reader uses it.
type Pin struct {
	ID     PinID
	Source Source
	// Expires is the time by which the reader must have stopped reading.
	Expires time.Time
}

// StoreStatus is the status that a store host reports.
type StoreStatus struct {
	Store       ident.Upstream
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	// Capacity and Used are in bytes, by tier.
	Capacity [prefix.TierCount]int64
	Used     [prefix.TierCount]int64
	// LinkBytesPerSecond is the capacity of the host's network link.
	LinkBytesPerSecond int64
	// LinkBusy is the fraction of the link in use, 0 to 1.
	LinkBusy float64
}

// PlannedBlock is one block of an export.
type PlannedBlock struct {
	ID    CopyID
	Block prefix.BlockID
	Bytes int64
}

// Export is a decision to copy blocks of one prompt from an engine to a store
// host. For each block the caller reserves a slot and calls Reserved with the
// answer, instructs the engine to write and calls Written, requests the commit
// from the store and calls Committed. It calls Failed if any step fails.
type Export struct {
	Scope             prefix.Scope
	Runner            ident.Upstream
	RunnerIncarnation ident.Incarnation
	Store             ident.Upstream
	StoreIncarnation  ident.Incarnation
	Tier              prefix.Tier
	Blocks            []PlannedBlock
	// Urgent means that the engine is expected to evict the blocks soon.
	Urgent bool
}

// Free is a decision to free one slot. The caller reports the outcome with
// Freed.
type Free struct {
	ID         CopyID
	Block      prefix.BlockID
	Store      ident.Upstream
	Generation uint64
}

// Prefetch is a decision to load a prompt into an engine before its expected
// return. The caller chooses the engine, pins the copies and imports them.
type Prefetch struct {
	Scope  prefix.Scope
	Class  ident.Class
	Blocks []prefix.BlockID
	// Bytes is the sum of the blocks' sizes.
	Bytes int64
	// Chance is the probability of a return while the prefetched blocks are
	// useful.
	Chance float64
	// Expected is the time of the expected return. Zero means that a return is
	// likely soon, at an unknown time.
	Expected time.Time
}

// Timed reports whether the time of the return is known. In the workloads of
// the policy benchmark only timed prefetches pay off: those based on age alone
// fetch many prompts that don't return in time.
func (p Prefetch) Timed() bool { return !p.Expected.IsZero() }

// Plan lists the actions to take now.
type Plan struct {
	Exports    []Export
	Frees      []Free
	Prefetches []Prefetch
}

// Reservation is a store's answer to a slot request.
type Reservation struct {
	// Granted is true when the caller is to write the slot.
	Granted bool
	// Full is true when the tier has no capacity left.
	Full bool
	// Committed is true when the store already has the block; Copy then
	// describes it.
	Committed   bool
	Incarnation ident.Incarnation
	Copy        prefix.Copy
}

// Step is the caller's next action for a copy.
type Step uint8

// Steps of a write.
const (
	// Stop means that nothing is left to do: the copy exists, the attempt
	// failed or it is unknown.
	Stop Step = iota
	// Write means that the engine is to write the reserved slot.
	Write
	// Commit means that the store is to verify and commit the slot.
	Commit
)

// Failure is the reason why an attempt to keep or read a copy ended.
type Failure uint8

// Failures of an attempt.
const (
	// FailedStore means that the store host did not answer or dropped the
	// connection.
	FailedStore Failure = iota + 1
	// FailedEngine means that the engine did not answer or no longer has the
	// block.
	FailedEngine
	// FailedVerify means that the length, the checksum or the generation did
	// not match.
	FailedVerify
	// FailedRace means that another writer holds the reservation.
	FailedRace
)
