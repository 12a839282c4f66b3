package port

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Store is one store host: memory and disk that keep blocks outside the
// engines. The store is the authority on its slots. Every slot carries a
// generation that grows when the slot is reused or the host restarts.
type Store interface {
	// Reserve makes a slot for a block. If the block is already reserved or
	// committed, Reserve returns the state of that slot, so that two writers never
	// fill two slots with the same block.
	Reserve(ctx context.Context, req ReserveRequest) (Reservation, error)
	// Commit makes a written slot readable after the store has checked its
	// length and checksum against the request.
	Commit(ctx context.Context, req CommitRequest) (SlotState, error)
	// Stat describes blocks without reading them.
	Stat(ctx context.Context, blocks []BlockID) ([]SlotState, error)
	// Free releases a slot if its generation still matches. Readers of the
	// old generation are refused afterwards.
	Free(ctx context.Context, block BlockID, generation uint64) error
	// Status reports capacity and links.
	Status(ctx context.Context) (StoreStatus, error)
	// Blocks lists the committed blocks.
	Blocks(ctx context.Context) (BlockSnapshot, error)
}

// Tier is a kind of storage on a store host.
type Tier string

// The tiers of a store host, fastest first.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
)

// ReserveRequest asks for a slot.
type ReserveRequest struct {
	Block BlockID
	Team  ident.Team
	Bytes int64
	Tier  Tier
	// Lifetime bounds how long the reservation may stay unwritten.
	Lifetime time.Duration
}

// SlotPhase is the phase of a slot, from absent to committed.
type SlotPhase string

// The phases of a slot.
const (
	SlotAbsent    SlotPhase = "absent"
	SlotReserved  SlotPhase = "reserved"
	SlotCommitted SlotPhase = "committed"
)

// Reservation is the answer to a ReserveRequest.
type Reservation struct {
	// Granted is true if the caller is to write the slot.
	Granted bool `json:"granted"`
	// Full is true if the tier has no capacity for the slot.
	Full  bool      `json:"full"`
	State SlotState `json:"state"`
}

// SlotState describes one block's slot.
type SlotState struct {
	Block      BlockID   `json:"block"`
	Phase      SlotPhase `json:"phase"`
	Slot       string    `json:"slot,omitempty"`
	Generation uint64    `json:"generation"`
	Bytes      int64     `json:"bytes"`
	Checksum   uint64    `json:"checksum,string"`
	Tier       Tier      `json:"tier,omitempty"`
}

// CommitRequest makes a written slot readable.
type CommitRequest struct {
	Block      BlockID `json:"block"`
	Slot       string  `json:"slot"`
	Generation uint64  `json:"generation"`
	Bytes      int64   `json:"bytes"`
	Checksum   uint64  `json:"checksum,string"`
}

// TierStatus is the capacity and use of one tier, in bytes.
type TierStatus struct {
	Tier     Tier  `json:"tier"`
	Capacity int64 `json:"capacity"`
	Used     int64 `json:"used"`
}

// StoreStatus is a store host's report on itself.
type StoreStatus struct {
	Upstream    ident.Upstream    `json:"upstream"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Tiers       []TierStatus      `json:"tiers"`
	// LinkBytesPerSecond is the capacity of the host's link.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second"`
	// LinkBusy is the share of the link in use over the last second, 0 to 1.
	LinkBusy float64 `json:"link_busy"`
}

// BlockSnapshot is the complete list of blocks at one point of an event sequence.
type BlockSnapshot struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	// Sequence is the number of the last event that the snapshot includes.
	Sequence uint64      `json:"sequence"`
	Blocks   []SlotState `json:"blocks"`
}
