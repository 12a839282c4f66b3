package quorum

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Status is the status of a node at one point in time.
type Status struct {
	Self ident.Host
	// Disk is the identity of this host's disk, which is part of its identity
	// as a voter.
	Disk DiskID
	Role Role
	// Leader is the leader of Term, empty if unknown.
	Leader ident.Host
	Term   uint64
	// First and Last are the first and last index of the log held in memory.
	// Synced is the last index synced to this host's disk.
	First, Last, Synced uint64
	// Commit is the highest index known to be committed. Applied is the highest
	// index returned to the runtime for applying.
	Commit, Applied uint64
	// LogEntries and LogBytes are the size of the log in memory.
	LogEntries int
	LogBytes   int
	Members    Membership
	// Revoked is set when this disk was rolled back and must be replaced.
	Revoked bool
	// HasLease is set while a leader may serve reads without a heartbeat round.
	HasLease bool
	// LeaseEnd is the time until which, as far as this leader knows, no other
	// host can be elected. It is zero without a lease. It is in terms of the
	// host's clock: if the node has not been stepped recently, compare it with
	// the current time.
	LeaseEnd time.Time
	// Transferring is the host to which leadership is being transferred, empty
	// if none.
	Transferring ident.Host
	Counters     Counters
	// LastMalformed describes the latest malformed message.
	LastMalformed error
	// Peers is a leader's view of the other members.
	Peers []PeerStatus
}

// PeerStatus is a leader's view of one member.
type PeerStatus struct {
	Member Member
	Voter  bool
	// State is "probe", "replicate" or "snapshot".
	State string
	// Synced is the last index that the member acknowledged as synced.
	Synced uint64
	// Active is set if the member has replied within the last ElectionMax.
	Active bool
	// PresentedDisk is the disk identity that the host presents if it differs
	// from the member's, that is if the disk was replaced; else zero.
	PresentedDisk DiskID
	// Revoked is set when the member's disk was rolled back.
	Revoked bool
}
