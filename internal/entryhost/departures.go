package entryhost

import (
	"context"

	"github.com/lovagereach/lovagereach/internal/port"
)

// MethodDepartures tells another entry which upstreams are leaving; it is
// one-way.
const MethodDepartures port.Method = "entry/departures"

// MethodEnds tells another entry of requests that end upstreams; it is one-way.
const MethodEnds port.Method = "entry/ends"

func (h *Host) sendDepartures(body []byte) { h.sendAll(MethodDepartures, body) }

func (h *Host) sendEnds(body []byte) { h.sendAll(MethodEnds, body) }

// sendAll sends a message to every other entry.
func (h *Host) sendAll(method port.Method, body []byte) {
	for _, member := range h.control.RunningEntries() {
		if member.Host != h.options.Host {
			h.transport.Send(member.Peers, method, body)
		}
	}
}

func (h *Host) takeDepartures(_ context.Context, _ port.Peer, _ port.Method, body []byte) ([]byte, error) {
	return nil, h.entry.TakeDepartures(body)
}

func (h *Host) takeEnds(_ context.Context, _ port.Peer, _ port.Method, body []byte) ([]byte, error) {
	return nil, h.entry.TakeEnds(body)
}
