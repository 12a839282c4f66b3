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
	// incarnation is the latest that was assigned to an entry of any host.
	incarnation ident.Incarnation
	// current is the latest applied revision, for readers outside of View.
	current atomic.Pointer[config.Snapshot]
	changed *broadcast
}

// NewMachine returns the state before the first command.
func NewMachine() *Machine {
	m := &Machine{config: config.NewState(), epochs: lease.RestoreEpochs(lease.Epoch{}), changed: newBroadcast()}
	m.current.Store(m.config.Current())
	return m
}

// command is one entry of the log. Exactly one field is set.
type command struct {
	Config *config.Command `cbor:"1,keyasint,omitempty"`
	Epoch  *openEpoch      `cbor:"2,keyasint,omitempty"`
	// Assign asks for the incarnation of an entry that has just started.
	Assign *assignIncarnation `cbor:"3,keyasint,omitempty"`
}

// openEpoch starts the epoch of a new leader.
type openEpoch struct {
	Leader ident.Host `cbor:"1,keyasint"`
	At     int64      `cbor:"2,keyasint"`
}

// assignIncarnation carries the proposer's time in Unix microseconds.
type assignIncarnation struct {
	At int64 `cbor:"1,keyasint"`
}

// result answers a command.
type result struct {
	Config *config.Result `cbor:"1,keyasint,omitempty"`
	Epoch  *lease.Epoch   `cbor:"2,keyasint,omitempty"`
	// Refused tells that the command made no sense to this machine.
	Refused string `cbor:"3,keyasint,omitempty"`
	// Assigned is the incarnation given.
	Assigned ident.Incarnation `cbor:"4,keyasint,omitempty"`
}

// Apply implements port.StateMachine.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	var cmd command
	if err := wire.Unmarshal(data, &cmd); err != nil {
		return wire.MustMarshal(result{Refused: "undecodable command: " + err.Error()})
	}
	return wire.MustMarshal(m.decide(cmd))
}

func (m *Machine) decide(cmd command) result {
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

// assign returns a higher incarnation than any before. Entries once took their
// own clock in microseconds; starting from the time keeps above those.
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

// image is the machine's snapshot.
type image struct {
	Config      config.Image      `cbor:"1,keyasint"`
	Epoch       lease.Epoch       `cbor:"2,keyasint"`
	Incarnation ident.Incarnation `cbor:"3,keyasint,omitempty"`
}

// Snapshot implements port.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := wire.Marshal(image{Config: m.config.Image(), Epoch: m.epochs.Current(), Incarnation: m.incarnation})
	return data, eris.Wrap(err, "control: encode snapshot")
}

// Restore implements port.StateMachine.
func (m *Machine) Restore(data []byte) error {
	var img image
	if err := wire.Unmarshal(data, &img); err != nil {
		return eris.Wrap(err, "control: decode snapshot")
	}
	state, err := config.FromImage(img.Config)
	if err != nil {
		return eris.Wrap(err, "control: restore snapshot")
	}
	m.config = state
	m.epochs = lease.RestoreEpochs(img.Epoch)
	m.incarnation = img.Incarnation
	m.publish()
	return nil
}

// Current returns the latest applied revision. It is safe for concurrent use.
func (m *Machine) Current() *config.Snapshot { return m.current.Load() }
