package quorum

import "github.com/lovagereach/lovagereach/ident"

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// The membership changes. Replacing a host is Remove, AddLearner, Promote.
const (
	// AddLearner adds Host with Disk as a learner.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner that is caught up and synced a voter.
	Promote
	// Remove takes a voter or learner out.
	Remove
)

// MemberChange is one change of membership.
type MemberChange struct {
	Kind ChangeKind `cbor:"1,keyasint"`
	Host ident.Host `cbor:"2,keyasint"`
	// Disk is the identity that Host presents; needed by AddLearner.
	Disk DiskID `cbor:"3,keyasint,omitempty"`
}

// Role is what a node does at present.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the role's name.
func (r Role) String() string {
	names := [...]string{"follower", "pre-candidate", "candidate", "leader"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Bootstrap returns the state of a new group's first disk. Exactly one host forms
// a group, once; the others start from an empty disk (Stored with only
// HardState.Disk set) and are added as learners.
func Bootstrap(members Membership, self ident.Host) StoredState {
	var disk DiskID
	for _, m := range members.Voters {
		if m.Host == self {
			disk = m.Disk
		}
	}
	return StoredState{
		HardState: HardState{Term: formTerm, Disk: disk},
		Snapshot:  SnapshotMeta{Index: formIndex, Term: formTerm, Members: members},
	}
}

// The position of the snapshot that Form makes.
const (
	formIndex = 1
	formTerm  = 1
)
