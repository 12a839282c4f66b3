package replica

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quorum"
)

// Errors of the manager and of proposals.
var (
	// ErrBusy reports that a queue is full. Nothing was appended.
	ErrBusy = errors.New("replica: too much is waiting, nothing was appended")
	// ErrStopped reports that the manager is not running.
	ErrStopped = errors.New("replica: stopped")
	// ErrGroupExists reports that a group to be bootstrapped exists already.
	ErrGroupExists = errors.New("replica: the group exists already")
	// ErrUnknownGroup reports a group that is not open on this host.
	ErrUnknownGroup = errors.New("replica: no such group on this host")
	// ErrReadBarrier reports that the state could not be confirmed to be up to date
	// before the deadline.
	ErrReadBarrier = errors.New("replica: no proof of an up-to-date state in time")
)

// SuspendedError reports a group that stays unavailable on this host until an
// operator intervenes. It matches *port.NotLeaderError, so that callers try
// another host.
type SuspendedError struct {
	Group  port.GroupID
	Reason string
}

// Error implements error.
func (e *SuspendedError) Error() string {
	return fmt.Sprintf("replica: group %d is suspended on this host: %s", e.Group, e.Reason)
}

// Unwrap makes the error match *port.NotLeaderError.
func (e *SuspendedError) Unwrap() error { return &port.NotLeaderError{} }

// toPortError converts an error of package quorum to one of package port or of
// this package.
func toPortError(err error) error {
	var notLeader *quorum.NotLeaderError
	if errors.As(err, &notLeader) {
		return &port.NotLeaderError{Leader: notLeader.Leader}
	}
	if errors.Is(err, quorum.ErrBusy) {
		return ErrBusy
	}
	if errors.Is(err, quorum.ErrTransferring) {
		return &port.NotLeaderError{Leader: ident.Host("")}
	}
	return err
}

func uncertain(cause string) error {
	return eris.Wrap(port.ErrUncertain, cause)
}
