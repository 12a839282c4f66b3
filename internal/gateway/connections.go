package gateway

import (
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/outcome"
)

// An upstream resets connections beyond a limit for all entries together. Each entry therefore
// opens no more than its share. A request that finds the share in use waits or is sent elsewhere;
// this indicates nothing about the upstream.
const (
	// connectionShare is the fraction of an upstream's connections that the entries use
	// together; the rest is for entries that restart before their old connections are closed.
	connectionShare = 0.8
	// minConnections is the smallest connection limit of an entry at an upstream.
	minConnections = 4
	// connectionPause is how long an upstream gets no further request after one found no connection
	// there. Connections that are being opened to check a path count as used, but as no request.
	connectionPause = 60 * time.Millisecond
)

// connections returns this entry's share of an upstream's connections, 0 for no limit.
func (s *state) connections(service *catalog.Service) int {
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	share := connectionShare * float64(service.MaxConnections) / float64(max(s.entries, 1))
	return max(int(share), minConnections)
}

// mayConnect reports whether one more request of this entry finds a connection to the upstream
// within a limit. A request takes one connection, and an idle one is reused first.
func (u *upstreamState) mayConnect(limit int) bool { return limit == 0 || u.own.Requests < limit }

// connectionsUsed reports whether a request was not sent because this entry's share of the
// upstream's connections is in use.
func connectionsUsed(err error) bool {
	var unsent *outcome.NotRun
	return errors.As(err, &unsent) && unsent.Reason == ReasonConnections
}

// recordConnectionsUsed ends the accounting of a send that found no connection.
func (r *run) recordConnectionsUsed(p *plan) {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	r.unconnected++
	r.gateway.meter.connectionsUsed.Inc()
	p.upstream.connectionsUsedUntil = time.Now().Add(connectionPause)
	s.cancel(p)
}

// mayAwaitConnection reports whether a request that found no connection is placed once more: for as
// long as requests wait for capacity.
func (r *run) mayAwaitConnection() bool {
	return r.waited < r.longestWait(r.gateway.state.waitLimits, r.request.Arrived)
}
