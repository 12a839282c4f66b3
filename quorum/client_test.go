package quorum

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// command is an operation on a register of the test's state machine.
type command struct {
	ID  uint64 `cbor:"1,keyasint"`
	Key int    `cbor:"2,keyasint"`
	// Old is the expected value of a compare-and-swap, or -1 for an
	// unconditional write.
	Old int `cbor:"3,keyasint"`
	New int `cbor:"4,keyasint"`
}

// stateMachine is a set of integer registers.
type stateMachine struct {
	Registers map[int]int `cbor:"1,keyasint"`
	applied   uint64
}

func newStateMachine() stateMachine { return stateMachine{Registers: map[int]int{}} }

func (m *stateMachine) snapshot() []byte { return wire.MustMarshal(m) }

func (m *stateMachine) restore(data []byte) {
	if len(data) == 0 {
		return
	}
	if err := wire.Unmarshal(data, m); err != nil {
		panic(err)
	}
}

func (m *stateMachine) apply(s *sim, h *simHost, e Entry) {
	m.applied = e.Index
	result := registerOutput{ok: true}
	if e.Kind == EntryCommand {
		var c command
		if err := wire.Unmarshal(e.Data, &c); err != nil {
			panic(err)
		}
		result.ok = c.Old == -1 || m.Registers[c.Key] == c.Old
		if result.ok {
			m.Registers[c.Key] = c.New
		}
	}
	if s.clients != nil {
		s.clients.applied(h, e, result)
	}
}

type registerInput struct {
	read bool
	c    command
}

type registerOutput struct {
	ok, unknown bool
	value       int
}

// registerModel is the sequential specification of a register.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(registerInput).c.Key
			byKey[key] = append(byKey[key], op)
		}
		var partitions [][]porcupine.Operation
		for _, key := range slices.Sorted(maps.Keys(byKey)) {
			partitions = append(partitions, byKey[key])
		}
		return partitions
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		in, out, value := input.(registerInput), output.(registerOutput), state.(int)
		if in.read {
			return out.value == value, value
		}
		swapped := in.c.Old == -1 || in.c.Old == value
		if !out.unknown && out.ok != swapped {
			return false, value
		}
		if swapped {
			value = in.c.New
		}
		return true, value
	},
}

const (
	clientCount   = 4
	clientKeys    = 4
	clientTimeout = 800 * time.Millisecond
)

// clients run operations through random hosts and record the history.
type clients struct {
	s       *sim
	clock   int64
	nextID  uint64
	idle    []time.Time
	pending map[uint64]*pendingOp
	history []porcupine.Operation
	done    int
}

type pendingOp struct {
	client      int
	input       registerInput
	call        int64
	host        *simHost
	start       uint64
	index, term uint64
	deadline    time.Time
}

func newClients(s *sim) *clients {
	c := &clients{s: s, pending: map[uint64]*pendingOp{}, idle: make([]time.Time, clientCount)}
	s.clients = c
	return c
}

func (c *clients) step() {
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		if op := c.pending[id]; !c.s.now.Before(op.deadline) {
			c.giveUp(id, op)
		}
	}
	for i := range c.idle {
		if !c.s.now.Before(c.idle[i]) {
			c.startOp(i)
		}
	}
}

func (c *clients) startOp(client int) {
	s := c.s
	c.idle[client] = s.now.Add(time.Duration(5+s.rand.IntN(40)) * time.Millisecond)
	h := s.hosts[s.rand.IntN(len(s.hosts))]
	if l := s.leader(); l != nil && s.rand.IntN(3) > 0 {
		h = l
	}
	if !s.running(h) {
		return
	}
	c.nextID++
	c.clock++
	in := registerInput{c: command{ID: c.nextID, Key: s.rand.IntN(clientKeys), Old: -1, New: int(c.nextID)}}
	op := &pendingOp{client: client, call: c.clock, host: h, start: h.starts, deadline: s.now.Add(clientTimeout)}
	switch s.rand.IntN(4) {
	case 0, 1:
		in.read = true
	case 2:
		in.c.Old = h.state.Registers[in.c.Key]
	}
	op.input = in
	c.pending[c.nextID] = op
	c.idle[client] = op.deadline
	var err error
	if in.read {
		err = h.node.ReadIndex(s.local(h), in.c.ID)
	} else {
		op.index, op.term, err = h.node.Propose(s.local(h), wire.MustMarshal(in.c))
	}
	if err != nil {
		c.drop(in.c.ID, op)
		return
	}
	s.drain(h)
}

// drop discards an operation that did not take effect.
func (c *clients) drop(id uint64, op *pendingOp) {
	delete(c.pending, id)
	c.idle[op.client] = c.s.now.Add(20 * time.Millisecond)
}

func (c *clients) giveUp(id uint64, op *pendingOp) {
	if !op.input.read {
		c.record(op, registerOutput{unknown: true}, math.MaxInt64)
	}
	c.drop(id, op)
}

func (c *clients) record(op *pendingOp, out registerOutput, end int64) {
	c.history = append(c.history, porcupine.Operation{
		ClientId: op.client, Input: op.input, Call: op.call, Output: out, Return: end,
	})
}

func (c *clients) finish(id uint64, op *pendingOp, out registerOutput) {
	c.clock++
	c.record(op, out, c.clock)
	c.done++
	c.drop(id, op)
}

func (c *clients) applied(h *simHost, e Entry, out registerOutput) {
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		op := c.pending[id]
		if op.input.read || op.host != h || op.start != h.starts || op.index != e.Index {
			continue
		}
		if op.term != e.Term {
			c.drop(id, op)
			continue
		}
		c.finish(id, op, out)
	}
}

func (c *clients) readDone(h *simHost, r Read) {
	op := c.pending[r.ID]
	if op == nil || !op.input.read || op.start != h.starts {
		return
	}
	if r.Err != nil {
		c.drop(r.ID, op)
		return
	}
	c.finish(r.ID, op, registerOutput{value: h.state.Registers[op.input.c.Key]})
}

// linearizable checks the recorded history.
func (c *clients) linearizable() porcupine.CheckResult {
	for _, op := range c.pending {
		if !op.input.read {
			c.record(op, registerOutput{unknown: true}, math.MaxInt64)
		}
	}
	clear(c.pending)
	return porcupine.CheckOperationsTimeout(registerModel, c.history, 30*time.Second)
}
