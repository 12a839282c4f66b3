package ledger

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/once"
)

// MaxWaiters limits the duplicates that wait on one group of one control host.
const MaxWaiters = 1 << 14

// Machine is the state machine of one ledger group: the at-most-once ledger
// and the audit trace. It implements port.StateMachine.
type Machine struct {
	mu      sync.Mutex
	ledger  *once.Ledger
	trace   *audit.Trace
	waiters map[once.KeyID][]chan struct{}
	waiting int
}

var _ port.StateMachine = (*Machine)(nil)

// NewMachine returns a machine without ledger and trace entries.
func NewMachine() *Machine {
	m := &Machine{
		ledger:  once.New(),
		trace:   audit.NewTrace(),
		waiters: make(map[once.KeyID][]chan struct{}),
	}
	m.ledger.OnResolve(m.wake)
	return m
}

// Apply implements port.StateMachine.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var c command
	if err := wire.Unmarshal(data, &c); err != nil {
		return once.Result{Status: once.StatusBad, Detail: "command can't be read"}.Encode()
	}
	switch {
	case c.Once != nil:
		return m.ledger.Execute(*c.Once).Encode()
	case c.Trace != nil:
		return wire.MustMarshal(m.trace.Execute(*c.Trace))
	default:
		return once.Result{Status: once.StatusBad, Detail: "empty command"}.Encode()
	}
}

// machineSnapshot is the encoding of a Machine's state.
type machineSnapshot struct {
	Ledger []byte `cbor:"1,keyasint"`
	Trace  []byte `cbor:"2,keyasint"`
}

// Snapshot implements port.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ledger, err := m.ledger.Snapshot()
	if err != nil {
		return nil, eris.Wrap(err, "snapshot of the ledger")
	}
	trace, err := m.trace.Snapshot()
	if err != nil {
		return nil, eris.Wrap(err, "snapshot of the audit trace")
	}
	return wire.Marshal(machineSnapshot{Ledger: ledger, Trace: trace})
}

// Restore implements port.StateMachine. It wakes all waiting duplicates, since
// their call may have been resolved by a command that the snapshot includes and
// that is therefore not applied.
func (m *Machine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var parts machineSnapshot
	if err := wire.Unmarshal(snapshot, &parts); err != nil {
		return eris.Wrap(err, "snapshot of a ledger group")
	}
	if err := m.ledger.Restore(parts.Ledger); err != nil {
		return eris.Wrap(err, "snapshot of the ledger")
	}
	if err := m.trace.Restore(parts.Trace); err != nil {
		return eris.Wrap(err, "snapshot of the audit trace")
	}
	for id := range m.waiters {
		m.wake(id)
	}
	return nil
}

// Lookup returns the result of a key in the local state. The result of a
// resolved key is committed and final.
func (m *Machine) Lookup(key once.Key) once.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Lookup(key)
}

// peek returns the result of a claim if the local state determines it without a
// commit.
func (m *Machine) peek(claim once.Claim, now int64) (once.Result, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Peek(claim, now)
}

// Query answers an audit query from the local state.
func (m *Machine) Query(now time.Time, q audit.Query) audit.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.trace.Query(now, q)
}

// Stats returns the ledger's sizes and the number of open requests in the
// trace.
func (m *Machine) Stats() (once.Stats, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Stats(), m.trace.OpenCount()
}

// wait returns a channel that is closed when a key is resolved, and a function
// that must be called after the wait. It returns false if MaxWaiters is
// reached.
func (m *Machine) wait(id once.KeyID) (<-chan struct{}, func(), bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting >= MaxWaiters {
		return nil, nil, false
	}
	resolved := make(chan struct{})
	m.waiters[id] = append(m.waiters[id], resolved)
	m.waiting++
	return resolved, func() { m.cancelWait(id, resolved) }, true
}

func (m *Machine) cancelWait(id once.KeyID, resolved chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	remaining := m.waiters[id][:0]
	for _, other := range m.waiters[id] {
		if other != resolved {
			remaining = append(remaining, other)
		}
	}
	m.waiting -= len(m.waiters[id]) - len(remaining)
	if len(remaining) == 0 {
		delete(m.waiters, id)
		return
	}
	m.waiters[id] = remaining
}

// wake closes the channels of a key's waiters. It is called from Apply or
// Restore with m.mu held.
func (m *Machine) wake(id once.KeyID) {
	for _, resolved := range m.waiters[id] {
		close(resolved)
	}
	m.waiting -= len(m.waiters[id])
	delete(m.waiters, id)
}
