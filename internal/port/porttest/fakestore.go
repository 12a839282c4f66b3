package porttest

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/standin"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

// FakeStore is an in-memory port.Store to which a FakeEngine writes. It stores
// checksums in place of content.
type FakeStore struct {
	// Now is the store's clock, by which reservations expire.
	Now func() time.Time

	faults *standin.Faults

	mu         sync.Mutex
	status     port.StoreStatus
	generation uint64
	sequence   uint64
	slots      map[port.BlockID]*fakeSlot
}

type fakeSlot struct {
	state   port.SlotState
	written bool
	expires time.Time
}

var _ port.Store = (*FakeStore)(nil)

// NewFakeStore returns a store with capacity bytes in each tier.
func NewFakeStore(upstream ident.Upstream, capacity int64) *FakeStore {
	return &FakeStore{
		Now:    time.Now,
		faults: standin.NewFaults(0),
		status: port.StoreStatus{
			Upstream:    upstream,
			Incarnation: 1,
			Tiers: []port.TierStatus{
				{Tier: port.TierMemory, Capacity: capacity},
				{Tier: port.TierDisk, Capacity: capacity},
			},
		},
		slots: make(map[port.BlockID]*fakeSlot),
	}
}

// Faults returns the faults to inject. Their paths are the paths of package upstreamapi.
func (s *FakeStore) Faults() *standin.Faults { return s.faults }

// fakeChecksum returns the checksum that stands in for that of a block's bytes.
func fakeChecksum(block port.BlockID) uint64 { return xxhash.Sum64String(string(block)) }

// write marks a reserved slot as written by a FakeEngine and reports whether target
// identifies such a slot.
func (s *FakeStore) write(target port.ExportTarget) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.slots[target.Block]
	if slot == nil || slot.state.Slot != target.Slot || slot.state.Generation != target.Generation {
		return false
	}
	if slot.state.Phase != port.SlotReserved {
		return false
	}
	slot.written = true
	return true
}

// matches reports whether source identifies a committed slot.
func (s *FakeStore) matches(source port.BlockSource) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.slots[source.Block]
	if slot == nil || slot.state.Phase != port.SlotCommitted {
		return false
	}
	return slot.state.Slot == source.Slot && slot.state.Generation == source.Generation &&
		slot.state.Bytes == source.Bytes && slot.state.Checksum == source.Checksum
}

// Reserve implements port.Store.
func (s *FakeStore) Reserve(ctx context.Context, req port.ReserveRequest) (port.Reservation, error) {
	const path = upstreamapi.PathReserve
	if err := beforeCall(ctx, s.faults, path); err != nil {
		return port.Reservation{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if slot := s.slots[req.Block]; slot != nil {
		return port.Reservation{State: slot.state}, afterCall(s.faults, path)
	}
	tier := s.tier(req.Tier)
	if tier == nil || req.Bytes <= 0 || req.Lifetime <= 0 {
		return port.Reservation{}, &outcome.Failed{Reason: outcome.ReasonUpstreamError, Status: 400, Detail: "bad reservation"}
	}
	_, full := s.faults.Take(standin.FaultFull, path)
	if full || tier.Used+req.Bytes > tier.Capacity {
		absent := port.SlotState{Block: req.Block, Phase: port.SlotAbsent}
		return port.Reservation{Full: true, State: absent}, afterCall(s.faults, path)
	}
	s.generation++
	slot := &fakeSlot{expires: s.Now().Add(req.Lifetime), state: port.SlotState{
		Block:      req.Block,
		Phase:      port.SlotReserved,
		Slot:       "s" + strconv.FormatUint(s.generation, 10),
		Generation: s.generation,
		Bytes:      req.Bytes,
		Tier:       req.Tier,
	}}
	s.slots[req.Block] = slot
	tier.Used += req.Bytes
	return port.Reservation{Granted: true, State: slot.state}, afterCall(s.faults, path)
}

func (s *FakeStore) tier(name port.Tier) *port.TierStatus {
	for i := range s.status.Tiers {
		if s.status.Tiers[i].Tier == name {
			return &s.status.Tiers[i]
		}
	}
	return nil
}

func (s *FakeStore) expire() {
	for _, slot := range s.slots {
		if slot.state.Phase == port.SlotReserved && s.Now().After(slot.expires) {
			s.remove(slot)
		}
	}
}

func (s *FakeStore) remove(slot *fakeSlot) {
	delete(s.slots, slot.state.Block)
	s.tier(slot.state.Tier).Used -= slot.state.Bytes
}

// Commit implements port.Store.
func (s *FakeStore) Commit(ctx context.Context, req port.CommitRequest) (port.SlotState, error) {
	const path = upstreamapi.PathCommit
	if err := beforeCall(ctx, s.faults, path); err != nil {
		return port.SlotState{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	slot := s.slots[req.Block]
	if slot == nil || slot.state.Slot != req.Slot || slot.state.Generation != req.Generation {
		return port.SlotState{}, conflict("no such slot")
	}
	if !slot.written || req.Bytes != fakeBlockBytes || req.Checksum != fakeChecksum(req.Block) {
		return port.SlotState{}, conflict("content differs")
	}
	if slot.state.Phase == port.SlotReserved {
		s.tier(slot.state.Tier).Used += req.Bytes - slot.state.Bytes
		slot.state.Phase, slot.state.Bytes, slot.state.Checksum = port.SlotCommitted, req.Bytes, req.Checksum
		s.sequence++
	}
	return slot.state, afterCall(s.faults, path)
}

func conflict(detail string) error {
	return &outcome.Failed{Reason: outcome.ReasonUpstreamError, Status: 409, Detail: detail}
}

// Stat implements port.Store.
func (s *FakeStore) Stat(ctx context.Context, blocks []port.BlockID) ([]port.SlotState, error) {
	const path = upstreamapi.PathStat
	if err := beforeCall(ctx, s.faults, path); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	states := make([]port.SlotState, len(blocks))
	for i, block := range blocks {
		states[i] = port.SlotState{Block: block, Phase: port.SlotAbsent}
		if slot := s.slots[block]; slot != nil {
			states[i] = slot.state
		}
	}
	return states, afterCall(s.faults, path)
}

// Free implements port.Store.
func (s *FakeStore) Free(ctx context.Context, block port.BlockID, generation uint64) error {
	const path = upstreamapi.PathFree
	if err := beforeCall(ctx, s.faults, path); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.slots[block]
	if slot == nil {
		return afterCall(s.faults, path)
	}
	if slot.state.Generation != generation {
		return conflict("another generation")
	}
	s.remove(slot)
	s.sequence++
	return afterCall(s.faults, path)
}

// Status implements port.Store.
func (s *FakeStore) Status(ctx context.Context) (port.StoreStatus, error) {
	const path = upstreamapi.PathStatus
	if err := beforeCall(ctx, s.faults, path); err != nil {
		return port.StoreStatus{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	status := s.status
	status.Tiers = slices.Clone(s.status.Tiers)
	return status, afterCall(s.faults, path)
}

// Blocks implements port.Store.
func (s *FakeStore) Blocks(ctx context.Context) (port.BlockSnapshot, error) {
	const path = upstreamapi.PathBlocks
	if err := beforeCall(ctx, s.faults, path); err != nil {
		return port.BlockSnapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := port.BlockSnapshot{Incarnation: s.status.Incarnation, Sequence: s.sequence}
	for _, slot := range s.slots {
		if slot.state.Phase == port.SlotCommitted {
			snapshot.Blocks = append(snapshot.Blocks, slot.state)
		}
	}
	slices.SortFunc(snapshot.Blocks, func(a, b port.SlotState) int {
		return strings.Compare(string(a.Block), string(b.Block))
	})
	return snapshot, afterCall(s.faults, path)
}
