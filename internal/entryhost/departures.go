package entryhost

import (
	"context"

	"github.com/lovagereach/lovagereach/internal/port"
)

// MethodDepartures is the one-way method that reports leaving upstreams to
// another entry.
const MethodDepartures port.Method = "entry/departures"

// MethodCrashes is the one-way method that reports requests that crash
// upstreams to another entry.
const MethodCrashes port.Method = "entry/ends"

func (h *Host) sendDepartures(body []byte) { h.sendAll(MethodDepartures, body) }

func (h *Host) sendCrashes(body []byte) { h.sendAll(MethodCrashes, body) }

// sendAll sends a message to every other entry.
func (h *Host) sendAll(method port.Method, body []byte) {
	for _, member := range h.control.RunningEntries() {
		if member.Host != h.options.Host {
			h.transport.Send(member.Peers, method, body)
		}
	}
}

func (h *Host) handleDepartures(_ context.Context, _ port.Peer, _ port.Method, body []byte) ([]byte, error) {
	return nil, h.entry.ApplyDepartures(body)
}

func (h *Host) handleCrashes(_ context.Context, _ port.Peer, _ port.Method, body []byte) ([]byte, error) {
	return nil, h.entry.ApplyCrashes(body)
}
