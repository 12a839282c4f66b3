package standin

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// Errors returned by slotTable. Callers receive their texts.
var (
	errNoSlot       = errors.New("slot does not exist or has another generation")
	errNotCommitted = errors.New("slot is not committed")
	errMismatch     = errors.New("slot's content has another length or checksum")
	errFull         = errors.New("tier is full")
	errBadReserve   = errors.New("block, tier, bytes or lifetime is out of range")
)

// The values of StoreRestart.Keep.
const (
	keepNone  = "none"
	keepDisk  = "disk"
	keepStale = "stale"
)

var restartKeeps = map[string]bool{keepNone: true, keepDisk: true, keepStale: true}

// maxLifetime bounds the time between the reservation and the commit of a slot.
const maxLifetime = 10 * time.Minute

// slotTable holds the slots of a store host. It is not safe for concurrent use.
type slotTable struct {
	incarnation ident.Incarnation
	generation  uint64
	tiers       map[port.Tier]*port.TierStatus
	byBlock     map[port.BlockID]*slot
	byName      map[string]*slot
	onChange    func(port.CacheEventKind, port.BlockID, *port.SlotState)
}

type slot struct {
	state   port.SlotState
	data    []byte
	expires time.Time
}

func newSlotTable(memory, disk int64, incarnation ident.Incarnation, onChange func(port.CacheEventKind, port.BlockID, *port.SlotState)) *slotTable {
	t := &slotTable{
		tiers: map[port.Tier]*port.TierStatus{
			port.TierMemory: {Tier: port.TierMemory, Capacity: memory},
			port.TierDisk:   {Tier: port.TierDisk, Capacity: disk},
		},
		onChange: onChange,
	}
	t.restart(incarnation, keepNone)
	return t
}

// restart starts a new incarnation with the slots that keep selects.
// Generations start at the incarnation, a timestamp, so that they are higher
// than those of every previous incarnation.
func (t *slotTable) restart(incarnation ident.Incarnation, keep string) {
	t.incarnation = incarnation
	t.generation = max(t.generation, uint64(incarnation))
	old := t.byBlock
	t.byBlock = make(map[port.BlockID]*slot)
	t.byName = make(map[string]*slot)
	for _, tier := range t.tiers {
		tier.Used = 0
	}
	for _, s := range old {
		if keep == keepNone || (keep == keepDisk && (s.state.Tier != port.TierDisk || s.state.Phase != port.SlotCommitted)) {
			continue
		}
		if keep == keepDisk {
			t.assignGeneration(s)
		}
		t.insert(s)
	}
}

// assignGeneration gives s the next generation and a slot name derived from it.
func (t *slotTable) assignGeneration(s *slot) {
	t.generation++
	s.state.Generation = t.generation
	s.state.Slot = "s" + strconv.FormatUint(t.generation, 36)
}

func (t *slotTable) insert(s *slot) {
	t.byBlock[s.state.Block] = s
	t.byName[s.state.Slot] = s
	t.tiers[s.state.Tier].Used += s.state.Bytes
}

func (t *slotTable) remove(s *slot) {
	delete(t.byBlock, s.state.Block)
	delete(t.byName, s.state.Slot)
	t.tiers[s.state.Tier].Used -= s.state.Bytes
}

// reserve allocates a slot, or returns the state of the block's existing slot.
func (t *slotTable) reserve(now time.Time, req port.ReserveRequest) (port.Reservation, error) {
	tier := t.tiers[req.Tier]
	if tier == nil || req.Block == "" || req.Bytes <= 0 || req.Lifetime <= 0 || req.Lifetime > maxLifetime {
		return port.Reservation{}, errBadReserve
	}
	t.expire(now)
	if s, ok := t.byBlock[req.Block]; ok {
		return port.Reservation{State: s.state}, nil
	}
	if tier.Used+req.Bytes > tier.Capacity {
		return port.Reservation{Full: true, State: port.SlotState{Block: req.Block, Phase: port.SlotAbsent}}, nil
	}
	s := &slot{
		state:   port.SlotState{Block: req.Block, Phase: port.SlotReserved, Bytes: req.Bytes, Tier: req.Tier},
		expires: now.Add(req.Lifetime),
	}
	t.assignGeneration(s)
	t.insert(s)
	return port.Reservation{Granted: true, State: s.state}, nil
}

// expire removes the reservations whose lifetime passed without a commit.
func (t *slotTable) expire(now time.Time) {
	for _, s := range t.byBlock {
		if s.state.Phase == port.SlotReserved && now.After(s.expires) {
			t.remove(s)
		}
	}
}

// find returns the slot with this name and generation, or errNoSlot.
func (t *slotTable) find(name string, generation uint64) (*slot, error) {
	s, ok := t.byName[name]
	if !ok || s.state.Generation != generation {
		return nil, errNoSlot
	}
	return s, nil
}

// write sets the content of a reserved slot. A committed slot is immutable.
func (t *slotTable) write(name string, generation uint64, data []byte) error {
	s, err := t.find(name, generation)
	if err != nil {
		return err
	}
	if s.state.Phase != port.SlotReserved {
		return fmt.Errorf("slot is %s", s.state.Phase)
	}
	if int64(len(data)) > s.state.Bytes {
		return errFull
	}
	s.data = data
	return nil
}

// commit makes a slot readable if its content has the length and checksum that
// the writer reports.
func (t *slotTable) commit(now time.Time, req port.CommitRequest) (port.SlotState, error) {
	t.expire(now)
	s, err := t.find(req.Slot, req.Generation)
	if err != nil || s.state.Block != req.Block {
		return port.SlotState{}, errNoSlot
	}
	if int64(len(s.data)) != req.Bytes || xxhash.Sum64(s.data) != req.Checksum {
		return port.SlotState{}, errMismatch
	}
	if s.state.Phase == port.SlotCommitted {
		return s.state, nil
	}
	t.tiers[s.state.Tier].Used += req.Bytes - s.state.Bytes
	s.state.Phase = port.SlotCommitted
	s.state.Bytes = req.Bytes
	s.state.Checksum = req.Checksum
	state := s.state
	t.onChange(port.CacheStored, state.Block, &state)
	return state, nil
}

// read returns the content of a committed slot.
func (t *slotTable) read(name string, generation uint64) (port.SlotState, []byte, error) {
	s, err := t.find(name, generation)
	if err != nil {
		return port.SlotState{}, nil, err
	}
	if s.state.Phase != port.SlotCommitted {
		return port.SlotState{}, nil, errNotCommitted
	}
	return s.state, s.data, nil
}

// stat returns the state of a block's slot.
func (t *slotTable) stat(block port.BlockID) port.SlotState {
	if s, ok := t.byBlock[block]; ok {
		return s.state
	}
	return port.SlotState{Block: block, Phase: port.SlotAbsent}
}

// free removes a block's slot of this generation. It does nothing if the block
// has no slot, and fails if the slot has another generation.
func (t *slotTable) free(block port.BlockID, generation uint64) error {
	s, ok := t.byBlock[block]
	if !ok {
		return nil
	}
	if s.state.Generation != generation {
		return errNoSlot
	}
	t.remove(s)
	if s.state.Phase == port.SlotCommitted {
		t.onChange(port.CacheRemoved, block, nil)
	}
	return nil
}

func (t *slotTable) committed() []port.SlotState {
	states := make([]port.SlotState, 0, len(t.byBlock))
	for _, s := range t.byBlock {
		if s.state.Phase == port.SlotCommitted {
			states = append(states, s.state)
		}
	}
	return states
}

func (t *slotTable) status() []port.TierStatus {
	return []port.TierStatus{*t.tiers[port.TierMemory], *t.tiers[port.TierDisk]}
}
