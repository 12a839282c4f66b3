package keep

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// Manager makes the decisions for the prompts whose home is this process.
type Manager struct {
	opts      Options
	stores    map[ident.Upstream]*storeHost
	storeList []*storeHost
	teams     map[ident.Team]*teamState
	budgets   map[ident.Team]Budget
	copies    map[prefix.BlockID]*keptCopy
	byID      map[CopyID]*keptCopy
	prompts   promptTable
	pins      map[PinID]activePin
	pinQueue  []pinExpiry
	// orphanedPins maps a block whose copy was dropped while pinned to the time
	// at which the pins expire. The slot may be adopted again, for example
	// after its store host was considered lost, and must not be freed before
	// that time.
	orphanedPins map[prefix.BlockID]time.Time
	// writing holds the copies that are being written, freeQueue those to be
	// freed. Entries whose phase has changed are skipped.
	writing   []*keptCopy
	freeQueue []*keptCopy
	// waiting holds the prompts with blocks to export, in no particular order.
	waiting []*prompt
	// sample and candidates are scratch buffers, reused between plans to avoid
	// allocations.
	sample     []*prompt
	candidates []exportCandidate
	runners    map[ident.Upstream]*runnerCache
	learner    learner
	// returnRate returns the expected number of returns of a prompt per second.
	// Benchmarks replace it to compare policies.
	returnRate func(p *prompt, age time.Duration) float64
	ages       ageQueue
	// averageSaved is the average time saved by reusing one block, in seconds.
	averageSaved float64
	lastCopyID   CopyID
	lastPinID    PinID
	stats        Stats
}

// Stats counts events since the manager was created.
type Stats struct {
	Exports, ExportedBlocks, Commits, Frees uint64
	Prefetches                              uint64
	// Failed writes, by cause.
	StoreFailures, EngineFailures, VerifyFailures, Races uint64
	// Unmatched counts results of attempts that have ended.
	Unmatched uint64
	// OldIncarnation counts results from a previous incarnation of a store
	// host.
	OldIncarnation uint64
	StoresRefused  uint64
	// Untracked counts prompts not tracked because of MaxPrompts or MaxBlocks.
	Untracked uint64
	// ScopeMismatches counts blocks used in two scopes. A nonzero count means
	// that block IDs are computed incorrectly.
	ScopeMismatches uint64
	// Unreadable counts requests for blocks without a readable copy.
	Unreadable uint64
}

// NewManager returns a manager without stores or prompts.
func NewManager(opts Options) (*Manager, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	opts = opts.withDefaults()
	m := &Manager{
		opts:         opts,
		stores:       make(map[ident.Upstream]*storeHost),
		teams:        make(map[ident.Team]*teamState),
		copies:       make(map[prefix.BlockID]*keptCopy),
		byID:         make(map[CopyID]*keptCopy),
		prompts:      newPromptTable(),
		pins:         make(map[PinID]activePin),
		orphanedPins: make(map[prefix.BlockID]time.Time),
		runners:      make(map[ident.Upstream]*runnerCache),
		learner:      newLearner(opts.MaxRecords),
	}
	m.returnRate = m.learnedReturnRate
	return m, nil
}

// SetShare changes this process's share of each store's capacity and link, for
// example to one divided by the new number of homes.
func (m *Manager) SetShare(share float64) {
	m.opts.Share = min(max(share, 0), 1)
}

// Stats returns the current counters.
func (m *Manager) Stats() Stats { return m.stats }

// Copies returns the number of copies in any phase.
func (m *Manager) Copies() int { return len(m.copies) }

// Prompts returns the number of prompts tracked.
func (m *Manager) Prompts() int { return m.prompts.len() }

// Phase returns the phase of the copy of a block.
func (m *Manager) Phase(block prefix.BlockID) Phase {
	if c := m.copies[block]; c != nil {
		return c.phase
	}
	return Absent
}

// newCopy creates the copy of a block that has none. The copy uses capacity
// from this point on.
func (m *Manager) newCopy(now time.Time, block prefix.BlockID, s *storeHost, team *teamState, copied prefix.Copy) *keptCopy {
	m.lastCopyID++
	c := &keptCopy{
		id:             m.lastCopyID,
		block:          block,
		phase:          Reserving,
		store:          s,
		team:           team,
		copy:           copied,
		deadline:       now.Add(m.opts.WriteTimeout),
		plannedAt:      now,
		priorPinsUntil: m.orphanedPins[block],
	}
	m.copies[block] = c
	m.byID[c.id] = c
	m.addToLists(c)
	m.addPhase(c)
	if p := m.prompts.ownerOf(block); p != nil {
		p.copies++
	}
	return c
}

// dropCopy removes a copy. A reader that still has a pin on it can't read wrong
// data: the store refuses the generation or, if the store is gone, can't be
// reached.
func (m *Manager) dropCopy(c *keptCopy) {
	m.subtractPhase(c)
	m.removeFromLists(c)
	if c.pins > 0 {
		m.orphanedPins[c.block] = latest(c.pinnedUntil, c.priorPinsUntil)
	}
	c.phase = Absent
	delete(m.copies, c.block)
	delete(m.byID, c.id)
	m.dropTeamIfUnused(c.team)
	if p := m.prompts.ownerOf(c.block); p != nil {
		p.copies--
		m.addWaiting(p)
	}
}

// subtractPhase subtracts a copy from the byte counts of its phase.
func (m *Manager) subtractPhase(c *keptCopy) {
	if c.inWrite() {
		c.store.writing -= c.bytes()
	}
	if c.phase == Freeing {
		c.store.freeing[c.copy.Tier] -= c.bytes()
		c.team.freeing[c.copy.Tier] -= c.bytes()
	}
}

// addPhase adds a copy to the byte counts of its phase.
func (m *Manager) addPhase(c *keptCopy) {
	if c.inWrite() {
		c.store.writing += c.bytes()
	}
	if c.phase == Freeing {
		c.store.freeing[c.copy.Tier] += c.bytes()
		c.team.freeing[c.copy.Tier] += c.bytes()
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addToLists adds a copy to the lists of its store and its team, which count
// the capacity it uses.
func (m *Manager) addToLists(c *keptCopy) {
	c.tierIndex = c.store.tiers[c.copy.Tier].add(c)
	c.teamIndex = c.team.tiers[c.copy.Tier].add(c)
}

func (m *Manager) removeFromLists(c *keptCopy) {
	tier := c.copy.Tier
	if moved := c.store.tiers[tier].remove(c.tierIndex); moved != c {
		moved.tierIndex = c.tierIndex
	}
	if moved := c.team.tiers[tier].remove(c.teamIndex); moved != c {
		moved.teamIndex = c.teamIndex
	}
}
