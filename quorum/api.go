package quorum

import "github.com/lovagereach/lovagereach/ident"

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// The membership changes. Replacing a host is Remove, AddLearner, Promote.
const (
	// AddLearner adds Host, with the disk identity Disk, as a learner.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner a voter. It requires the learner to have synced
	// every committed entry.
	Promote
	// Remove removes a voter or learner from the group.
	Remove
)

// MemberChange is a single membership change.
type MemberChange struct {
	Kind ChangeKind `cbor:"1,keyasint"`
	Host ident.Host `cbor:"2,keyasint"`
	// Disk is the disk identity that Host presents. It is required by
	// AddLearner.
	Disk DiskID `cbor:"3,keyasint,omitempty"`
}

// Role is the current role of a node.
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

// Bootstrap returns the initial disk state of a new group's first host. Exactly
// one host bootstraps a group, once. Every other host starts with an empty disk
// (a StoredState with only HardState.Disk set) and is added as a learner.
func Bootstrap(members Membership, self ident.Host) StoredState {
	var disk DiskID
	for _, m := range members.Voters {
		if m.Host == self {
			disk = m.Disk
		}
	}
	return StoredState{
		HardState: HardState{Term: bootstrapTerm, Disk: disk},
		Snapshot:  SnapshotMeta{Index: bootstrapIndex, Term: bootstrapTerm, Members: members},
	}
}

// Index and term of the snapshot that Bootstrap returns.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)
