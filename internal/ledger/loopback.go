package ledger

import (
	"context"

	"github.com/lovagereach/lovagereach/internal/port"
)

// Loopback is a port.PeerClient that calls a Server in the same process. It
// lets a single-process deployment use the same Client as any other.
type Loopback struct {
	Server *Server
	// Self is the calling entry host.
	Self port.Peer
}

var _ port.PeerClient = Loopback{}

// Call implements port.PeerClient. The address is ignored, since there is only
// one server.
func (l Loopback) Call(ctx context.Context, _ string, method port.Method, body []byte) ([]byte, error) {
	return l.Server.HandlePeer(ctx, l.Self, method, body)
}

// Send implements port.PeerClient. The ledger has no one-way messages.
func (l Loopback) Send(string, port.Method, []byte) bool { return false }
