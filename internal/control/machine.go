package control

import (
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/lease"
)

// Machine is the state machine of group port.GroupConfig: configuration, epochs
// and the incarnations of entries. It implements port.StateMachine.
type Machine struct {
	config *config.State
	epochs *lease.Epochs
	// incarnation is the highest one assigned to an entry on any host.
	incarnation ident.Incarnation
	// current is the latest applied revision, for use outside of Replica.View.
	current atomic.Pointer[config.Snapshot]
	changed *broadcast
}

// NewMachine returns a machine in its initial state.
func NewMachine() *Machine {
	m := &Machine{config: config.NewState(), epochs: lease.RestoreEpochs(lease.Epoch{}), changed: newBroadcast()}
	m.current.Store(m.config.Current())
	return m
}

// command is one entry of the log. Exactly one field is set.
type command struct {
	Config *config.Command `cbor:"1,keyasint,omitempty"`
	Epoch  *openEpoch      `cbor:"2,keyasint,omitempty"`
	// Assign assigns an incarnation to an entry that has just started.
	Assign *assignIncarnation `cbor:"3,keyasint,omitempty"`
}

// openEpoch is the command that opens the epoch of a new leader. At is the
// leader's time in Unix microseconds.
type openEpoch struct {
	Leader ident.Host `cbor:"1,keyasint"`
	At     int64      `cbor:"2,keyasint"`
}

// assignIncarnation is the command that assigns an incarnation. At is the
// proposer's time in Unix microseconds.
type assignIncarnation struct {
	At int64 `cbor:"1,keyasint"`
}

// result is the result of a command.
type result struct {
	Config *config.Result `cbor:"1,keyasint,omitempty"`
	Epoch  *lease.Epoch   `cbor:"2,keyasint,omitempty"`
	// Refused is the reason why the machine could not interpret the command,
	// empty if it could.
	Refused string `cbor:"3,keyasint,omitempty"`
	// Assigned is the incarnation assigned, zero for other commands.
	Assigned ident.Incarnation `cbor:"4,keyasint,omitempty"`
}

// Apply implements port.StateMachine.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	var cmd command
	if err := wire.Unmarshal(data, &cmd); err != nil {
		return wire.MustMarshal(result{Refused: "undecodable command: " + err.Error()})
	}
	return wire.MustMarshal(m.execute(cmd))
}

func (m *Machine) execute(cmd command) result {
	switch {
	case cmd.Config != nil:
		answer := m.config.Apply(*cmd.Config)
		m.publish()
		return result{Config: &answer}
	case cmd.Epoch != nil:
		epoch := m.epochs.Open(cmd.Epoch.Leader, cmd.Epoch.At)
		return result{Epoch: &epoch}
	case cmd.Assign != nil:
		return result{Assigned: m.assign(cmd.Assign.At)}
	default:
		return result{Refused: "empty command"}
	}
}

// assign returns an incarnation that is higher than all previous ones. It is at
// least the proposer's time, so that it also exceeds the incarnations of entries
// of earlier versions, which use their own clock in microseconds.
func (m *Machine) assign(at int64) ident.Incarnation {
	m.incarnation = max(m.incarnation+1, ident.Incarnation(max(at, 0)))
	return m.incarnation
}

func (m *Machine) publish() {
	if m.current.Load() == m.config.Current() {
		return
	}
	m.current.Store(m.config.Current())
	m.changed.signal()
}

// machineSnapshot is the encoding of a Machine's state.
type machineSnapshot struct {
	Config      config.Image      `cbor:"1,keyasint"`
	Epoch       lease.Epoch       `cbor:"2,keyasint"`
	Incarnation ident.Incarnation `cbor:"3,keyasint,omitempty"`
}

// Snapshot implements port.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := wire.Marshal(machineSnapshot{Config: m.config.Image(), Epoch: m.epochs.Current(), Incarnation: m.incarnation})
	return data, eris.Wrap(err, "control: encode snapshot")
}

// Restore implements port.StateMachine.
func (m *Machine) Restore(data []byte) error {
	var decoded machineSnapshot
	if err := wire.Unmarshal(data, &decoded); err != nil {
		return eris.Wrap(err, "control: decode snapshot")
	}
	state, err := config.FromImage(decoded.Config)
	if err != nil {
		return eris.Wrap(err, "control: restore snapshot")
	}
	m.config = state
	m.epochs = lease.RestoreEpochs(decoded.Epoch)
	m.incarnation = decoded.Incarnation
	m.publish()
	return nil
}

// Current returns the latest applied revision. It is safe for concurrent use.
func (m *Machine) Current() *config.Snapshot { return m.current.Load() }
