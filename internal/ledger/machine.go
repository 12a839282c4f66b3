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

// MaxWaiters bounds the duplicates that wait on one group of one control host.
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

// NewMachine returns an empty machine.
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

type machineImage struct {
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
	return wire.Marshal(machineImage{Ledger: ledger, Trace: trace})
}

// Restore implements port.StateMachine. Waiting duplicates are woken: their
// call may have been settled by a command that the snapshot skips.
func (m *Machine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var img machineImage
	if err := wire.Unmarshal(snapshot, &img); err != nil {
		return eris.Wrap(err, "snapshot of a ledger group")
	}
	if err := m.ledger.Restore(img.Ledger); err != nil {
		return eris.Wrap(err, "snapshot of the ledger")
	}
	if err := m.trace.Restore(img.Trace); err != nil {
		return eris.Wrap(err, "snapshot of the audit trace")
	}
	for id := range m.waiters {
		m.wake(id)
	}
	return nil
}

// Lookup returns what the local state says of a key. What it says of a settled
// key is committed and final.
func (m *Machine) Lookup(key once.Key) once.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Lookup(key)
}

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

// Stats returns the ledger's sizes and the open traces.
func (m *Machine) Stats() (once.Stats, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Stats(), m.trace.OpenCount()
}

// wait returns a channel that is closed when a key is settled, and a function
// that must be called after the wait. It reports false when too many wait.
func (m *Machine) wait(id once.KeyID) (<-chan struct{}, func(), bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting >= MaxWaiters {
		return nil, nil, false
	}
	settled := make(chan struct{})
	m.waiters[id] = append(m.waiters[id], settled)
	m.waiting++
	return settled, func() { m.giveUp(id, settled) }, true
}

func (m *Machine) giveUp(id once.KeyID, settled chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := m.waiters[id][:0]
	for _, other := range m.waiters[id] {
		if other != settled {
			kept = append(kept, other)
		}
	}
	m.waiting -= len(m.waiters[id]) - len(kept)
	if len(kept) == 0 {
		delete(m.waiters, id)
		return
	}
	m.waiters[id] = kept
}

// wake runs under the lock, from Apply or Restore.
func (m *Machine) wake(id once.KeyID) {
	for _, settled := range m.waiters[id] {
		close(settled)
	}
	m.waiting -= len(m.waiters[id])
	delete(m.waiters, id)
}
