package keep

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// decisions is the total number of decisions that the interleaving harness
// makes.
var decisions = flag.Int("keep.decisions", 60_000, "decisions of the interleaving harness")

// seededFault selects a safeguard to disable, which the harness must detect.
type seededFault int

const (
	noFault seededFault = iota
	faultSkipGeneration
	faultDropTeam
	faultIgnoreIncarnation
	faultReadBeforeCommit
	faultFreeUnderPin
)

// harness runs two managers, both of which may consider themselves the home of
// a prompt, over shared store hosts. Every answer is an operation that is
// delivered later, in any order, twice or never.
type harness struct {
	random   *rand.Rand
	now      time.Time
	fault    seededFault
	stores   []*fakeStore
	managers [2]*Manager
	reported [2]map[ident.Upstream]ident.Incarnation
	prompts  []fakePrompt
	cached   map[prefix.BlockID]uint64 // engine cache: content by block
	pending  []func()
	pins     [2]map[PinID]Pin

	decisions, reads, refused, commits, frees, restarts int
	violations                                          map[string]int
}

func newHarness(t *testing.T, seed uint64, fault seededFault) *harness {
	h := &harness{
		random:     rand.New(rand.NewPCG(seed, 99)),
		now:        epoch,
		fault:      fault,
		cached:     make(map[prefix.BlockID]uint64),
		violations: make(map[string]int),
	}
	for i := range 2 {
		s := newFakeStore(ident.Upstream(fmt.Sprint("s", i)), 40)
		s.skipGeneration = fault == faultSkipGeneration
		h.stores = append(h.stores, s)
	}
	for i := range h.managers {
		h.managers[i] = testManager(t, Options{MaxPrompts: 20, WriteTimeout: 20 * time.Second, IdleDelay: 100 * time.Millisecond, Retry: time.Second})
		h.reported[i] = make(map[ident.Upstream]ident.Incarnation)
		h.pins[i] = make(map[PinID]Pin)
	}
	for _, team := range []ident.Team{"red", "blue", "green"} {
		for _, version := range []ident.Version{"v1", "v2"} {
			for topic := range 5 {
				scope := prefix.Scope{Team: team, Model: "m", Version: version}
				h.prompts = append(h.prompts, newFakePrompt(scope, topic, 2+topic, fault == faultDropTeam))
			}
		}
	}
	return h
}

// queue queues an answer for later delivery. One in 20 is lost and one in 20 is
// delivered twice.
func (h *harness) queue(deliver func()) {
	if h.random.IntN(20) == 0 || len(h.pending) > 500 {
		return
	}
	h.pending = append(h.pending, deliver)
	if h.random.IntN(20) == 0 {
		h.pending = append(h.pending, deliver)
	}
}

func (h *harness) step() {
	h.decisions++
	h.now = h.now.Add(time.Duration(h.random.IntN(40)) * time.Millisecond)
	if len(h.pending) > 0 && h.random.IntN(4) != 0 {
		i := h.random.IntN(len(h.pending))
		deliver := h.pending[i]
		h.pending[i] = h.pending[len(h.pending)-1]
		h.pending = h.pending[:len(h.pending)-1]
		deliver()
		return
	}
	home := h.random.IntN(len(h.managers))
	switch h.random.IntN(16) {
	case 0, 1, 2, 3:
		h.use(home)
	case 4, 5, 6, 7:
		h.plan(home)
	case 8, 9, 10, 11:
		h.read(home)
	case 12, 13:
		h.reportStore(home)
	case 14:
		h.injectFault()
	case 15:
		h.adopt(home)
	}
}

func (h *harness) randomPrompt() *fakePrompt { return &h.prompts[h.random.IntN(len(h.prompts))] }

func (h *harness) use(home int) {
	p := h.randomPrompt()
	for i, block := range p.blocks {
		if held, ok := h.cached[block]; ok {
			h.check("engine reuse", held == p.wantContent[i])
		}
		h.cached[block] = p.wantContent[i]
	}
	h.managers[home].RecordUse(h.now, Use{
		Scope: p.scope, Class: p.class, Blocks: p.blocks,
		Runner: "r", RunnerIncarnation: 1, RunnerDataCentre: "d",
		BlockBytes: testBytes, Saved: 100 * time.Millisecond,
	})
}

func (h *harness) check(what string, holds bool) {
	if !holds {
		h.violations[what]++
	}
}

func (h *harness) reportStore(home int) {
	s := h.stores[h.random.IntN(len(h.stores))]
	status := testStatus(s.name, s.incarnation)
	status.Capacity = [prefix.TierCount]int64{20 * testBytes, 20 * testBytes}
	h.reported[home][s.name] = s.incarnation
	if h.fault == faultIgnoreIncarnation {
		status.Incarnation = 1
	}
	h.managers[home].UpdateStore(h.now, status)
}

func (h *harness) plan(home int) {
	m := h.managers[home]
	plan := m.Plan(h.now, h.random)
	for _, export := range plan.Exports {
		s := h.store(export.Store)
		for _, planned := range export.Blocks {
			h.queue(func() { h.reserve(m, s, planned, export.Tier) })
		}
	}
	for _, free := range plan.Frees {
		h.frees++
		for _, pin := range h.pins[home] {
			live := h.now.Before(pin.Expires)
			h.check("freed under pin", !live || pin.Source.Store != free.Store || pin.Source.Copy.Generation != free.Generation)
		}
		s := h.store(free.Store)
		h.queue(func() {
			s.freeGeneration(free.Block, free.Generation)
			h.queue(func() { m.Freed(h.now, free.ID, true) })
		})
	}
}

func (h *harness) store(name ident.Upstream) *fakeStore {
	for _, s := range h.stores {
		if s.name == name {
			return s
		}
	}
	panic("unknown store host " + name)
}

func (h *harness) reserve(m *Manager, s *fakeStore, planned PlannedBlock, tier prefix.Tier) {
	answer := s.reserve(planned.Block, planned.Bytes, tier)
	if h.fault == faultIgnoreIncarnation {
		answer.Incarnation = 1
	}
	h.queue(func() {
		if m.Reserved(h.now, planned.ID, answer) == Write {
			h.queue(func() { h.write(m, s, planned, answer.Copy, false) })
		}
	})
}

// write fills the slot in two steps, so that a read can happen between them.
func (h *harness) write(m *Manager, s *fakeStore, planned PlannedBlock, slot prefix.Copy, second bool) {
	content, held := h.cached[planned.Block]
	if !held || !s.write(slot.Slot, slot.Generation, content, second) {
		h.queue(func() { m.Failed(h.now, planned.ID, FailedEngine) })
		return
	}
	if !second {
		h.queue(func() { h.write(m, s, planned, slot, true) })
		return
	}
	h.queue(func() {
		if m.Written(h.now, planned.ID, planned.Bytes, content) != Commit {
			return
		}
		h.queue(func() {
			state, ok := s.commit(slot.Slot, slot.Generation, content)
			h.queue(func() {
				if ok && m.Committed(h.now, planned.ID, state) {
					h.commits++
				}
			})
		})
	})
}

// pin requests a pin from the manager, or bypasses the manager's checks for
// some seeded faults.
func (h *harness) pin(home int, p *fakePrompt, block prefix.BlockID) (Pin, bool) {
	m := h.managers[home]
	if h.fault == faultReadBeforeCommit {
		if c := m.copies[block]; c != nil && c.phase == Writing {
			return Pin{Source: c.source(), Expires: h.now}, true
		}
	}
	pin, ok := m.Pin(h.now, p.scope, block)
	if ok && h.fault == faultFreeUnderPin {
		m.copies[block].pinnedUntil = h.now
	}
	return pin, ok
}

// readTries is the maximum number of blocks that a read tries, since most
// blocks have no copy most of the time.
const readTries = 16

func (h *harness) read(home int) {
	for range readTries {
		p := h.randomPrompt()
		i := h.random.IntN(len(p.blocks))
		if pin, ok := h.pin(home, p, p.blocks[i]); ok {
			h.beginRead(home, p, i, pin)
			return
		}
	}
}

func (h *harness) beginRead(home int, p *fakePrompt, i int, pin Pin) {
	h.check("old incarnation", pin.Source.Incarnation == h.reported[home][pin.Source.Store])
	h.pins[home][pin.ID] = pin
	h.queue(func() { h.fetch(home, p, i, pin) })
}

// fetch simulates the engine reading a slot. It may happen at any time, also
// after the pin's lease has expired.
func (h *harness) fetch(home int, p *fakePrompt, i int, pin Pin) {
	if _, held := h.pins[home][pin.ID]; !held {
		return
	}
	delete(h.pins[home], pin.ID)
	s := h.store(pin.Source.Store)
	slot := s.find(pin.Source.Copy.Slot, pin.Source.Copy.Generation)
	failure := Failure(0)
	if slot == nil || slot.phase == Absent {
		h.refused++
		failure = FailedVerify
	} else {
		h.reads++
		h.check("other generation", slot.generation == pin.Source.Copy.Generation)
		h.check("not committed", slot.phase == Committed)
		h.check("other content", slot.content == p.wantContent[i])
	}
	h.queue(func() { h.managers[home].Unpin(h.now, pin.ID, failure) })
}

func (h *harness) adopt(home int) {
	s := h.stores[h.random.IntN(len(h.stores))]
	i := h.random.IntN(len(s.slots))
	if s.slots[i].phase != Committed {
		return
	}
	source := Source{Block: s.slots[i].block, Store: s.name, Incarnation: s.incarnation, Copy: s.state(i)}
	h.queue(func() { h.managers[home].Adopt(h.now, source) })
}

func (h *harness) injectFault() {
	s := h.stores[h.random.IntN(len(h.stores))]
	switch h.random.IntN(48) {
	case 0, 6:
		h.restarts++
		s.restart(h.random.IntN(2) == 0)
	case 1:
		clear(h.cached)
	case 2:
		h.managers[h.random.IntN(2)].RemoveStore(s.name, s.incarnation)
	case 3:
		keep := byte(h.random.IntN(256))
		h.managers[h.random.IntN(2)].Rehome(h.now, func(first prefix.BlockID) bool { return first[0] < keep })
	case 4, 5:
		i := h.random.IntN(len(s.slots))
		if s.slots[i].phase != Absent {
			s.free(i)
		}
	}
}

func (h *harness) run(t *testing.T, count int) {
	for i := range count {
		h.step()
		if i%64 == 0 {
			for _, m := range h.managers {
				checkManager(t, m)
			}
		}
	}
	for _, m := range h.managers {
		if m.Stats().ScopeMismatches > 0 {
			h.violations["scope mismatch"] += int(m.Stats().ScopeMismatches)
		}
	}
}

// A caller must never get an answer computed from a block of another team or
// version, or from a freed or incomplete block. Answers of stores and engines
// arrive late, twice, out of order or never, stores restart empty or with old
// slots, and two homes write and free concurrently. The store's generations and
// the manager's phases must prevent wrong reads in any order.
func TestNoWrongOrPartialBlockIsRead(t *testing.T) {
	t.Parallel()
	const seeds = 6
	total := harness{}
	for seed := range uint64(seeds) {
		h := newHarness(t, seed, noFault)
		h.run(t, *decisions/seeds)
		if len(h.violations) > 0 {
			t.Fatalf("seed %d: violations %v", seed, h.violations)
		}
		total.decisions += h.decisions
		total.reads += h.reads
		total.commits += h.commits
		total.frees += h.frees
		total.refused += h.refused
		total.restarts += h.restarts
	}
	t.Logf("%d decisions: %d commits, %d reads, %d refused by a store, %d frees, %d restarts",
		total.decisions, total.commits, total.reads, total.refused, total.frees, total.restarts)
	for name, count := range map[string]int{
		"commits": total.commits, "reads": total.reads, "frees": total.frees, "refusals": total.refused,
	} {
		if count < total.decisions/1000 {
			t.Errorf("only %d %s in %d decisions: the harness covers too little", count, name, total.decisions)
		}
	}
}

// The harness is meaningful only if it fails when a safeguard is missing. Each
// case disables one safeguard, and the harness must report the violation.
func TestHarnessDetectsSeededFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		fault seededFault
		want  string
	}{
		{"store skips the generation check", faultSkipGeneration, "other generation"},
		{"team left out of the key", faultDropTeam, "scope mismatch"},
		{"team left out of the key, read", faultDropTeam, "engine reuse"},
		{"incarnation ignored", faultIgnoreIncarnation, "old incarnation"},
		{"read before commit", faultReadBeforeCommit, "not committed"},
		{"free under a pin", faultFreeUnderPin, "freed under pin"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1, c.fault)
			h.run(t, 20_000)
			if h.violations[c.want] == 0 {
				t.Fatalf("fault not detected: violations %v", h.violations)
			}
		})
	}
}
