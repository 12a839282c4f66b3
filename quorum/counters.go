package quorum

// Counters are event counts since the Node was created.
type Counters struct {
	// PreVotes and Campaigns are the numbers of pre-votes and of campaigns
	// started, and Elections the number of elections won. StepDowns is the
	// number of times this node ceased to be leader, for any reason.
	PreVotes, Campaigns, Elections, StepDowns uint64
	// QuorumLost is the number of times check-quorum made the leader step down.
	QuorumLost uint64
	// Rounds is the number of heartbeat rounds started. LeaseReads is the
	// number of reads served under the lease, RoundReads the number served
	// after a heartbeat round.
	Rounds, LeaseReads, RoundReads uint64
	// Appends and Entries are the numbers of append messages and of entries
	// sent to followers. Refused is the number of rejected appends; each one
	// moves the follower to the probe state.
	Appends, Entries, Refused uint64
	// Chunks is the number of snapshot chunks sent, and Resent the number of
	// times sending restarted at an earlier offset. Installs is the number of
	// complete snapshots received.
	Chunks, Resent, Installs uint64
	// WrongDisk is the number of messages addressed to another disk of this
	// host.
	WrongDisk uint64
	// Revoked is the number of disks found to have been rolled back.
	Revoked uint64
	// Dropped is the number of messages dropped because too many were waiting
	// for a sync.
	Dropped uint64
	// Malformed is the number of invalid messages received. A correct node
	// never sends one.
	Malformed uint64
}
