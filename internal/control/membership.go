package control

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

// configSource provides the replicated configuration to a relay.Parent.
type configSource struct {
	server *Server
}

// Current implements relay.Configs.
func (c configSource) Current() *config.Snapshot { return c.server.opts.Machine.Current() }

// Since implements relay.Configs.
func (c configSource) Since(held config.Revision) config.Update { return c.server.updateSince(held) }

// renew handles an entry's heartbeat and grants its lease. The host and data
// centre are those of the connection, so that a process can't act for another.
func (l *leadership) renew(now time.Time, from port.Peer, request protocol.RenewRequest) relay.Renewed {
	renewal := relay.Renewal{
		Number:  request.Number,
		Host:    from.Host,
		Stamp:   member.Stamp{Incarnation: incarnationOf(from, request.Incarnation), Session: request.Session},
		State:   request.State,
		Held:    request.Acked,
		InForce: request.Acked,
		Members: request.Members,
	}
	if request.Claim != nil {
		claim := *request.Claim
		claim.Host = from.Host
		claim.DataCentre = from.DataCentre
		claim.Stamp = renewal.Stamp
		claim.State = request.State
		renewal.Claim = &claim
	}
	renewed := l.parent.Renew(now, renewal, l.parent.Term())
	l.directory.Merge(now, l.self, l.parent.Changes())
	return renewed
}

// tick marks entries without recent heartbeats as down and removes those whose
// retention has expired.
func (l *leadership) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parent.Tick(now)
	l.directory.Merge(now, l.self, l.parent.Changes())
	l.directory.Tick(now)
}
