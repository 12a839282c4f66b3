package peer

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
)

// RefusalReason is the reason for which one side refused a connection.
type RefusalReason string

// The reasons for refusing a connection.
const (
	RefusedProtocol    RefusalReason = "protocol-version"
	RefusedCluster     RefusalReason = "other-deployment"
	RefusedKey         RefusalReason = "wrong-key"
	RefusedCertificate RefusalReason = "wrong-certificate"
	RefusedIncarnation RefusalReason = "superseded-incarnation"
	RefusedConcurrent  RefusalReason = "concurrent-process"
	RefusedDraining    RefusalReason = "draining"
	RefusedBusy        RefusalReason = "too-many-peers"
	RefusedBadHello    RefusalReason = "bad-hello"
)

// RefusedError is the error of a connection that was refused in the TLS
// handshake or the hello exchange. It matches port.ErrPeerRefused and, because
// no message can have been sent, port.ErrPeerNotSent.
type RefusedError struct {
	Reason RefusalReason
	// ByRemote is true if the remote side refused, false if this side did.
	ByRemote bool
	Detail   string
}

// Error implements error.
func (e *RefusedError) Error() string {
	side := "this process"
	if e.ByRemote {
		side = "the far side"
	}
	return fmt.Sprintf("peer connection refused by %s (%s): %s", side, e.Reason, e.Detail)
}

// Unwrap returns port.ErrPeerRefused and port.ErrPeerNotSent.
func (e *RefusedError) Unwrap() []error {
	return []error{port.ErrPeerRefused, port.ErrPeerNotSent}
}

// notSent returns an error that matches both cause and port.ErrPeerNotSent.
func notSent(cause error) error {
	if errors.Is(cause, port.ErrPeerNotSent) {
		return cause
	}
	return &notSentError{cause: cause}
}

type notSentError struct{ cause error }

func (e *notSentError) Error() string {
	return fmt.Sprintf("%v: %v", port.ErrPeerNotSent, e.cause)
}

func (e *notSentError) Unwrap() []error {
	return []error{port.ErrPeerNotSent, e.cause}
}

// Causes passed to notSent.
var (
	errQueueFull = eris.New("queue is full")
	errClosing   = eris.New("transport is closing")
	errTooLarge  = eris.New("message exceeds the frame bound")
	errTooMany   = eris.New("too many addresses")
)
