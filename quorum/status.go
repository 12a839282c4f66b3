package quorum

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Status describes a node at one moment.
type Status struct {
	Self ident.Host
	// Disk is the identity of this host's disk, by which it counts in quorums.
	Disk DiskID
	Role Role
	// Leader is the leader of Term, empty while none is known.
	Leader ident.Host
	Term   uint64
	// First and Last bound the log held; Synced is what this disk holds.
	First, Last, Synced uint64
	// Commit is the highest index known to be committed, Applied the highest
	// that the runtime has been given.
	Commit, Applied uint64
	// LogEntries and LogBytes are what the log holds in memory.
	LogEntries int
	LogBytes   int
	Members    Membership
	// Revoked is set when this disk went back in time and must be replaced.
	Revoked bool
	// HasLease is set while a leader may answer reads without a round.
	HasLease bool
	// LeaseEnd is until when no other host can be elected, as far as this leader knows,
	// zero without a lease. It is on the host's clock: whoever reads the status of a node
	// that has not been stepped for a while compares it with the time.
	LeaseEnd time.Time
	// Transferring is the host that leadership is being handed to, empty for
	// none.
	Transferring ident.Host
	Counters     Counters
	// LastMalformed is what was wrong with the latest malformed message.
	LastMalformed error
	// Peers are what a leader knows of the other members.
	Peers []PeerStatus
}

// PeerStatus is what a leader knows of one member.
type PeerStatus struct {
	Member Member
	Voter  bool
	// State is "probe", "replicate" or "snapshot".
	State string
	// Synced is the last index that the member acknowledged as synced.
	Synced uint64
	// Active is set while the member has answered within the last election
	// timeout.
	Active bool
	// PresentedDisk is the identity that the host presents when it differs from
	// the member's: the disk was replaced.
	PresentedDisk DiskID
	// Revoked is set when the member's disk went back in time.
	Revoked bool
}
