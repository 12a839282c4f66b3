package member

import (
	"cmp"

	"github.com/lovagereach/lovagereach/ident"
)

// Role is the role of a process in the system.
type Role uint8

// The roles of processes.
const (
	RoleEntry Role = iota + 1
	RoleControl
	RoleRelay
)

// State is the state of a process as far as it is known.
type State uint8

// The states of a process, in the order in which one Stamp passes through them.
const (
	// StateAlive means that the process accepts new callers.
	StateAlive State = iota + 1
	// StateDraining means that the process serves its present callers and is
	// not named to new ones.
	StateDraining
	// StateDown means that the process went silent or left.
	StateDown
	// StateForgotten means that the process has been removed from the
	// directory, usually after it was down for longer than the retention. Views
	// remove it too. Only a Directory makes this claim.
	StateForgotten
)

// String returns the name used in tables and logs.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateDraining:
		return "draining"
	case StateDown:
		return "down"
	case StateForgotten:
		return "forgotten"
	default:
		return "invalid"
	}
}

// Stamp orders claims about one process.
type Stamp struct {
	Incarnation ident.Incarnation `cbor:"1,keyasint"`
	// Session counts the attachments of one incarnation to a parent.
	Session uint32 `cbor:"2,keyasint"`
}

// Compare orders stamps by incarnation, then session.
func (s Stamp) Compare(other Stamp) int {
	if order := cmp.Compare(s.Incarnation, other.Incarnation); order != 0 {
		return order
	}
	return cmp.Compare(s.Session, other.Session)
}

// Member is a claim about one process: its addresses and its state.
type Member struct {
	Host       ident.Host       `cbor:"1,keyasint"`
	DataCentre ident.DataCentre `cbor:"2,keyasint"`
	Role       Role             `cbor:"3,keyasint"`
	// Callers is the address for callers and Announce the one for upstreams,
	// each an IP and port. Only entries have them.
	Callers  string `cbor:"4,keyasint,omitempty"`
	Announce string `cbor:"8,keyasint,omitempty"`
	// Peers is the address for other processes of the system.
	Peers string `cbor:"5,keyasint"`
	Stamp Stamp  `cbor:"6,keyasint"`
	State State  `cbor:"7,keyasint"`
}

// supersedes reports whether the claim m replaces the claim old. Within one stamp
// a process only changes from alive to draining to down: once a parent has marked
// a child down, only a new session makes it alive again.
func (m Member) supersedes(old Member) bool {
	if order := m.Stamp.Compare(old.Stamp); order != 0 {
		return order > 0
	}
	return m.State > old.State
}
