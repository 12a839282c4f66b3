// Package peer is the transport between the processes of a deployment:
// CBOR-encoded frames over WebSocket. It implements port.PeerClient and
// port.PeerRegistry.
//
// A connection starts with a hello exchange in which both sides authenticate
// by shared key or certificate and state their deployment and incarnation.
// After it, both sides may send requests, answers and one-way messages.
// Requests run concurrently up to a limit; one-way messages of the same method
// are handled in the order in which they were sent.
package peer
