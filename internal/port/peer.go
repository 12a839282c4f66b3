package port

import (
	"context"
	"errors"

	"github.com/lovagereach/lovagereach/ident"
)

// Method is the name of a kind of message between the system's own processes.
type Method string

// Peer identifies a process of this deployment after authentication.
type Peer struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	// Incarnation identifies this run of the process. The transport does not use it to
	// order the incarnations of a process.
	Incarnation ident.Incarnation
	// Role is "entry", "control" or "ctl".
	Role string
}

// PeerClient sends messages to other processes by address, an IP and port.
// Connections are kept open and shared; queues are bounded.
type PeerClient interface {
	// Call sends a request and waits for its answer until ctx is done. Answers
	// are matched by identity: a late answer is dropped and counted.
	// ErrPeerNotSent means no byte was sent; other errors are uncertain.
	Call(ctx context.Context, address string, method Method, body []byte) ([]byte, error)
	// Send queues a one-way message and reports whether it was queued. It
	// never blocks; a full queue drops the message and counts it.
	Send(address string, method Method, body []byte) bool
}

// PeerHandler answers the messages of other processes. For one-way messages
// the returned body is ignored.
type PeerHandler interface {
	HandlePeer(ctx context.Context, from Peer, method Method, body []byte) ([]byte, error)
}

// PeerHandlerFunc adapts a function to PeerHandler.
type PeerHandlerFunc func(ctx context.Context, from Peer, method Method, body []byte) ([]byte, error)

// HandlePeer implements PeerHandler.
func (f PeerHandlerFunc) HandlePeer(ctx context.Context, from Peer, method Method, body []byte) ([]byte, error) {
	return f(ctx, from, method, body)
}

// PeerRegistry accepts handlers, one for each method, before a server starts.
type PeerRegistry interface {
	Handle(method Method, handler PeerHandler)
}

// Errors of PeerClient.
var (
	// ErrPeerNotSent reports that no byte of the message left this process.
	ErrPeerNotSent = errors.New("peer message not sent")
	// ErrPeerLost reports that the connection ended before the answer.
	ErrPeerLost = errors.New("peer connection lost before the answer")
	// ErrPeerRefused reports that the remote side refused the connection, for
	// example because it belongs to another deployment.
	ErrPeerRefused = errors.New("peer refused the connection")
)

// RemoteError is an error that the remote side's handler returned.
type RemoteError struct {
	Message string `cbor:"1,keyasint"`
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Message }
