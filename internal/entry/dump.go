package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/admit"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/retry"
	"github.com/lovagereach/lovagereach/upstream"
)

// Dump is the entry's state for operators. It contains no secrets: no block
// key, no token digest and no prompt.
type Dump struct {
	Host          ident.Host        `json:"host" cbor:"host"`
	DataCentre    ident.DataCentre  `json:"data_centre" cbor:"data_centre"`
	Revision      uint64            `json:"revision" cbor:"revision"`
	Serving       bool              `json:"serving" cbor:"serving"`
	Drain         DrainDump         `json:"drain" cbor:"drain"`
	Entries       []Peer            `json:"entries" cbor:"entries"`
	InFlight      int               `json:"in_flight" cbor:"in_flight"`
	Dropped       retry.Dropped     `json:"dropped_answers" cbor:"dropped_answers"`
	Budgets       retry.BudgetStats `json:"retry_budgets" cbor:"retry_budgets"`
	Registry      upstream.Stats    `json:"registry" cbor:"registry"`
	Upstreams     []UpstreamDump    `json:"upstreams" cbor:"upstreams"`
	Pools         []PoolDump        `json:"pools" cbor:"pools"`
	Cells         []CellDump        `json:"cells" cbor:"cells"`
	Stores        DirectoryDump     `json:"stores" cbor:"stores"`
	Kept          KeptDump          `json:"kept" cbor:"kept"`
	RepairsQueued int               `json:"repairs_queued" cbor:"repairs_queued"`
}

// DrainDump is the progress of a graceful shutdown.
type DrainDump struct {
	Open      int       `json:"open" cbor:"open"`
	Leaving   bool      `json:"leaving" cbor:"leaving"`
	Closed    bool      `json:"closed" cbor:"closed"`
	KeptUntil time.Time `json:"kept_until" cbor:"kept_until"`
}

// KeptDump describes the kept prompts whose home is this entry.
type KeptDump struct {
	Prompts int `json:"prompts" cbor:"prompts"`
	Copies  int `json:"copies" cbor:"copies"`
	// Waiting is the number of queued store operations. Homes is the number of
	// entries over which prompts are distributed.
	Waiting int        `json:"waiting" cbor:"waiting"`
	Homes   int        `json:"homes" cbor:"homes"`
	Stats   keep.Stats `json:"stats" cbor:"stats"`
	// Stores lists what is kept on each store host. Teams lists the teams with
	// the most kept bytes.
	Stores []keep.StoreView `json:"stores" cbor:"stores"`
	Teams  []keep.TeamView  `json:"teams" cbor:"teams"`
}

// UpstreamDump describes one followed upstream.
type UpstreamDump struct {
	Upstream    ident.Upstream    `json:"upstream" cbor:"upstream"`
	Incarnation ident.Incarnation `json:"incarnation" cbor:"incarnation"`
	Kind        port.UpstreamKind `json:"kind" cbor:"kind"`
	Address     string            `json:"address" cbor:"address"`
	Offered     bool              `json:"offered" cbor:"offered"`
	Load        upstream.Load     `json:"load" cbor:"load"`
	Tiers       []port.TierStatus `json:"tiers,omitempty" cbor:"tiers,omitempty"`
	// FetchingBytes is the number of bytes that this entry's imports are
	// currently reading from a store host.
	FetchingBytes int64 `json:"fetching_bytes,omitempty" cbor:"fetching_bytes,omitempty"`
}

// PoolDump describes the admission control of one model or service.
type PoolDump struct {
	Model   ident.Model   `json:"model,omitempty" cbor:"model,omitempty"`
	Service ident.Service `json:"service,omitempty" cbor:"service,omitempty"`
	Status  admit.Status  `json:"status" cbor:"status"`
}

// CellDump describes the directory of one cell.
type CellDump struct {
	Cell      string        `json:"cell" cbor:"cell"`
	Directory DirectoryDump `json:"directory" cbor:"directory"`
}

// DirectoryDump describes a block directory.
type DirectoryDump struct {
	Blocks int          `json:"blocks" cbor:"blocks"`
	Stats  prefix.Stats `json:"stats" cbor:"stats"`
}

// Dump returns the entry's state.
func (e *Entry) Dump() Dump {
	now := time.Now()
	out := Dump{
		Host:          e.options.Host,
		DataCentre:    e.options.DataCentre,
		Revision:      uint64(e.options.Control.Snapshot().Revision()),
		Serving:       e.options.Control.Serving(now),
		Drain:         e.drain.dump(),
		Entries:       e.options.Control.Entries(),
		RepairsQueued: len(e.repairs),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	out.InFlight = e.tracker.InFlight()
	out.Dropped = e.tracker.Dropped()
	out.Budgets = e.budgets.Stats()
	out.Registry = e.registry.Stats()
	out.Kept = KeptDump{
		Prompts: e.keeper.manager.Prompts(),
		Copies:  e.keeper.manager.Copies(),
		Waiting: len(e.keeper.work),
		Homes:   len(e.keeper.members),
		Stats:   e.keeper.manager.Stats(),
		Stores:  e.keeper.manager.Stores(now),
		Teams:   e.keeper.manager.Teams(maxTeamsDumped),
	}
	out.Stores = DirectoryDump{Blocks: e.stores.Len(), Stats: e.stores.Stats()}
	e.dumpUpstreams(now, &out)
	for key, p := range e.pools {
		out.Pools = append(out.Pools, PoolDump{Model: key.model, Service: key.service, Status: p.controller.Status()})
	}
	for cell, directory := range e.cells {
		out.Cells = append(out.Cells, CellDump{
			Cell:      cell.String(),
			Directory: DirectoryDump{Blocks: directory.Len(), Stats: directory.Stats()},
		})
	}
	slices.SortFunc(out.Pools, func(a, b PoolDump) int {
		return strings.Compare(string(a.Model)+string(a.Service), string(b.Model)+string(b.Service))
	})
	slices.SortFunc(out.Cells, func(a, b CellDump) int { return strings.Compare(a.Cell, b.Cell) })
	return out
}

func (e *Entry) dumpUpstreams(now time.Time, out *Dump) {
	for id, f := range e.followed {
		candidate, offered := e.registry.Candidate(now, f.pool, id)
		out.Upstreams = append(out.Upstreams, UpstreamDump{
			Upstream:      id,
			Incarnation:   f.incarnation,
			Kind:          f.kind,
			Address:       f.address,
			Offered:       offered,
			Load:          candidate.Load,
			Tiers:         f.tiers,
			FetchingBytes: e.fetching.fromStore(id),
		})
	}
	slices.SortFunc(out.Upstreams, func(a, b UpstreamDump) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
}

func (d *drainState) dump() DrainDump {
	d.mu.Lock()
	defer d.mu.Unlock()
	return DrainDump{Open: d.open, Leaving: d.leaving, Closed: d.closed, KeptUntil: d.keptUntil}
}
