package quorum

// faults enable known defects, so that tests can verify that their checks
// detect them. Only test files set them.
type faults struct {
	// earlyVotes sends vote replies before the vote is synced.
	earlyVotes bool
	// earlyAcks sends append replies before the entries are synced.
	earlyAcks bool
	// earlyCommit commits an entry as soon as the leader appends it, without a
	// quorum.
	earlyCommit bool
	// ignoreLeaseExpiry serves reads under an expired lease.
	ignoreLeaseExpiry bool
	// ignoreDiskID accepts a replaced disk as the member's original one.
	ignoreDiskID bool
	// forgetPromise lets a restarted node vote at once, whoever else was restarted.
	forgetPromise bool
	// trustRolledBack disables the detection of rolled-back disks.
	trustRolledBack bool
}
