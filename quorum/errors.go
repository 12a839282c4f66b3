package quorum

import (
	"errors"
	"fmt"

	"github.com/lovagereach/lovagereach/ident"
)

// Errors returned for proposals and reads. For each of them, nothing was
// appended.
var (
	// ErrBusy is returned when the limit on uncommitted bytes or pending reads
	// is reached.
	ErrBusy = errors.New("quorum: too much pending")
	// ErrTransferring is returned while the leader is transferring leadership.
	ErrTransferring = errors.New("quorum: leadership is being transferred")
	// ErrChangePending is returned while an earlier membership change, or the
	// first entry of the leader's term, is not yet committed.
	ErrChangePending = errors.New("quorum: an earlier membership change is pending")
	// ErrRemoveLeader is returned when a leader is requested to remove itself.
	ErrRemoveLeader = errors.New("quorum: transfer leadership before removing the leader")
	// ErrNoQuorum is returned for a removal after which the remaining voters
	// could not form a quorum, because too many of them are inactive or have
	// lost their disks.
	ErrNoQuorum = errors.New("quorum: the voters left could not form a quorum")
	// ErrInvalidChange is returned for a change that is not applicable to the
	// current membership.
	ErrInvalidChange = errors.New("quorum: change does not fit the membership")
	// ErrTooLarge is returned for a command larger than
	// Options.MaxCommandBytes.
	ErrTooLarge = errors.New("quorum: command too large")
	// ErrRevoked is returned when this host's disk was rolled back to an older
	// state.
	ErrRevoked = errors.New("quorum: disk was rolled back, replace it")
)

// NotLeaderError is returned by a node that is not the leader.
type NotLeaderError struct {
	// Leader is the current leader, empty if unknown.
	Leader ident.Host
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("quorum: not the leader; leader is %q", e.Leader)
}

// NotCaughtUpError is returned for the promotion of a learner that has not
// synced every committed entry or is inactive.
type NotCaughtUpError struct {
	Host ident.Host
	// Synced is the last index that the learner has synced. Commit is the
	// leader's commit index.
	Synced, Commit uint64
}

// Error implements error.
func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("quorum: learner %q has synced %d of %d", e.Host, e.Synced, e.Commit)
}
