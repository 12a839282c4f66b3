package entryhost

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/control/client"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/internal/port"
)

// controlView gives the pipeline access to the control client. It implements
// entry.Control.
type controlView struct {
	client *client.Client
	near   ident.DataCentre
}

// Snapshot implements entry.Control.
func (c controlView) Snapshot() *config.Snapshot { return c.client.Snapshot() }

// Serving implements entry.Control. It ignores the given time, since the client
// measures its lease with its own clock.
func (c controlView) Serving(time.Time) bool { return c.client.Serving() }

// Entries implements entry.Control.
func (c controlView) Entries() []entry.Peer {
	entries := c.client.AvailableEntries(c.near)
	peers := make([]entry.Peer, 0, len(entries))
	for _, m := range entries {
		peers = append(peers, entry.Peer{
			Host:       m.Host,
			DataCentre: m.DataCentre,
			Callers:    m.Callers,
			Announce:   m.Announce,
		})
	}
	return peers
}

// Leave implements entry.Control.
func (c controlView) Leave() { c.client.Drain() }

// reportOf converts the followed engines to the form that is reported to the
// control hosts.
func reportOf(engines []entry.EngineSummary) []protocol.Upstream {
	out := make([]protocol.Upstream, 0, len(engines))
	for _, engine := range engines {
		out = append(out, protocol.Upstream{
			ID:          engine.Upstream,
			Incarnation: engine.Incarnation,
			Address:     engine.Address,
			DataCentre:  engine.DataCentre,
			Loaded:      loadedOf(engine.Loaded),
			Leaving:     engine.Leaving,
			ChecksFence: engine.ChecksFence,
			Slots:       engine.Slots,
			Running:     engine.Running,
			Queued:      engine.Queued,
		})
	}
	return out
}

func loadedOf(versions []port.LoadedVersion) []protocol.LoadedVersion {
	out := make([]protocol.LoadedVersion, 0, len(versions))
	for _, v := range versions {
		out = append(out, protocol.LoadedVersion{Model: v.Model, Version: v.Version, Adapters: v.Adapters})
	}
	return out
}
