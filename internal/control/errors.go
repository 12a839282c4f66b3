package control

import (
	"errors"
	"fmt"
)

// errNoLeader is returned when this host knows no leader of the group.
var errNoLeader = errors.New("the control group has no known leader")

// suspendedError is returned when the replica is suspended, with the reason.
type suspendedError struct{ reason string }

// Error implements error.
func (e *suspendedError) Error() string { return "suspended: " + e.reason }

// refusedCommandError is returned when the state machine could not interpret a
// committed command. The command changed nothing.
type refusedCommandError struct{ reason string }

// Error implements error.
func (e *refusedCommandError) Error() string { return "control: command refused: " + e.reason }

// TooLargeError is returned for a change that exceeds the maximum size of a log
// entry. It was not proposed.
type TooLargeError struct {
	Bytes, Max int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the change takes %d bytes, one change may take %d", e.Bytes, e.Max)
}
