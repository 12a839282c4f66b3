package quorum

import (
	"errors"
	"fmt"

	"github.com/lovagereach/lovagereach/ident"
)

// Errors of proposals and reads. Each means that nothing was appended.
var (
	// ErrBusy reports that a bound on uncommitted bytes or pending reads is
	// reached.
	ErrBusy = errors.New("quorum: too much pending")
	// ErrTransferring reports that the leader is handing over.
	ErrTransferring = errors.New("quorum: leadership is being transferred")
	// ErrChangePending reports that an earlier membership change, or the entry
	// that starts the leader's term, is not yet committed.
	ErrChangePending = errors.New("quorum: an earlier membership change is pending")
	// ErrRemoveLeader reports that a leader was to remove itself.
	ErrRemoveLeader = errors.New("quorum: transfer leadership before removing the leader")
	// ErrNoQuorum reports that the voters left by a removal could not form a
	// quorum now: too many of them are away or have lost their disks.
	ErrNoQuorum = errors.New("quorum: the voters left could not form a quorum")
	// ErrInvalidChange reports that a change does not fit the membership.
	ErrInvalidChange = errors.New("quorum: change does not fit the membership")
	// ErrTooLarge reports a command above Options.MaxCommandBytes.
	ErrTooLarge = errors.New("quorum: command too large")
	// ErrRevoked reports that this host's disk went back in time.
	ErrRevoked = errors.New("quorum: disk was rolled back, replace it")
)

// NotLeaderError reports that this host does not lead.
type NotLeaderError struct {
	// Leader is where to go, empty when unknown.
	Leader ident.Host
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("quorum: not the leader; leader is %q", e.Leader)
}

// NotCaughtUpError reports a learner that may not be promoted yet.
type NotCaughtUpError struct {
	Host ident.Host
	// Synced is the last index that the learner has synced, and Commit the
	// leader's commit index.
	Synced, Commit uint64
}

// Error implements error.
func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("quorum: learner %q has synced %d of %d", e.Host, e.Synced, e.Commit)
}
