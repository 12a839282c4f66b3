package entryhost

import (
	"context"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// MethodUse is the one-way method that reports a use of a prompt to the
// prompt's home.
const MethodUse port.Method = "entry/used"

func (h *Host) sendUse(home ident.Host, body []byte) bool {
	member, known := h.control.Lookup(home)
	return known && h.transport.Send(member.Peers, MethodUse, body)
}

func (h *Host) handleUse(_ context.Context, _ port.Peer, _ port.Method, body []byte) ([]byte, error) {
	return nil, h.entry.ApplyUse(body)
}
