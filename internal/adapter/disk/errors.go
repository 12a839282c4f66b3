package disk

import (
	"errors"
	"fmt"
)

// DamageError reports stored data that is damaged in a way that a crash can't cause.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("disk: %s is damaged at offset %d: %s; replace this host's disk, its peers hold the data",
		e.File, e.Offset, e.Reason)
}

// FailedError reports that a write or sync failed and that the folder is disabled
// until the process restarts.
type FailedError struct {
	// Op is the operation that failed.
	Op    string
	Cause error
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("disk: %s failed, the data folder is out of use until a restart: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// Errors of Folder.
var (
	// ErrLocked reports that another process holds the folder's lock.
	ErrLocked = errors.New("disk: the data folder is in use by another process")
	// ErrClosed reports a call after Close.
	ErrClosed = errors.New("disk: closed")
	// ErrUpdate reports an update that is inconsistent with the stored state or
	// exceeds a limit. It was not written.
	ErrUpdate = errors.New("disk: update does not fit the stored log")
	// ErrForeign reports a folder of another host or deployment.
	ErrForeign = errors.New("disk: the data folder belongs to another host or deployment")
)
