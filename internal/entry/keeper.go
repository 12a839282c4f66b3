package entry

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/cell"
	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
)

// Bounds and intervals of the operations on kept prompts.
const (
	// maxKeepWork bounds the queued operations.
	maxKeepWork = 256
	// keepWorkers bounds the concurrent operations.
	keepWorkers = 4
	// planInterval is the interval at which the manager plans operations.
	planInterval = 100 * time.Millisecond
	// statusInterval is the interval at which store hosts are queried for
	// capacity and link usage.
	statusInterval = time.Second
	// keepTimeout bounds one export, free or prefetch; reservationLifetime is
	// how long a slot stays reserved for an export.
	keepTimeout         = 20 * time.Second
	reservationLifetime = 30 * time.Second
)

// keeper executes the operations planned by package keep. The entry's mutex
// guards manager and homes.
type keeper struct {
	entry   *Entry
	manager *keep.Manager
	homes   *cell.Table
	members []cell.Member
	// proposed are members that differ from the current ones since changed.
	proposed []cell.Member
	changed  time.Time
	work     chan func(context.Context)
	// budgetSnapshot is the configuration whose budgets were given to the
	// manager. Only the planning loop uses it.
	budgetSnapshot *config.Snapshot
}

func newKeeper(e *Entry) (*keeper, error) {
	manager, err := keep.NewManager(e.options.Keep)
	if err != nil {
		return nil, eris.Wrap(err, "entry: keep")
	}
	k := &keeper{
		entry:   e,
		manager: manager,
		homes:   cell.NewTable(cell.Options{Owners: cell.MaxMembers}),
		work:    make(chan func(context.Context), maxKeepWork),
	}
	k.setMembers(time.Now(), []cell.Member{{Host: e.options.Host, DataCentre: e.options.DataCentre}})
	return k, nil
}

// use is the message about one finished prompt that is sent to the prompt's
// home.
type use struct {
	Team        ident.Team        `cbor:"1,keyasint"`
	Model       ident.Model       `cbor:"2,keyasint"`
	Version     ident.Version     `cbor:"3,keyasint"`
	Adapter     ident.Adapter     `cbor:"4,keyasint,omitempty"`
	Class       ident.Class       `cbor:"5,keyasint"`
	Blocks      [][]byte          `cbor:"6,keyasint"`
	Runner      ident.Upstream    `cbor:"7,keyasint"`
	Incarnation ident.Incarnation `cbor:"8,keyasint"`
	DataCentre  ident.DataCentre  `cbor:"9,keyasint"`
	BlockBytes  int64             `cbor:"10,keyasint"`
	SavedMicros int64             `cbor:"11,keyasint"`
}

// reportUse reports a use of the prompt to its home. Only the home decides what
// is kept of a prompt: if two entries counted all its uses, both would export
// it, and if each counted some, both would underestimate its value.
func (k *keeper) reportUse(j *job, p plan, usage port.Usage) {
	blocks := p.chain.blocks
	if len(blocks) == 0 || p.candidate.BlockBytes <= 0 {
		return
	}
	finished := keep.Use{
		Scope:             p.scope(j),
		Class:             j.class.Name,
		Blocks:            blocks,
		Runner:            p.candidate.Upstream,
		RunnerIncarnation: p.candidate.Incarnation,
		RunnerDataCentre:  p.candidate.DataCentre,
		BlockBytes:        p.candidate.BlockBytes,
		Saved:             savedBy(j, usage),
	}
	e := k.entry
	e.mu.Lock()
	home, ok := k.homes.Home(homeCell, homeKey(blocks[0]))
	e.mu.Unlock()
	if ok && home != e.options.Host {
		if e.options.SendUse(home, encodeUse(finished)) {
			return
		}
		// The home can't be reached and will not export the prompt, so this
		// entry records the use itself. That both may keep the prompt is better
		// than that neither does; the store arbitrates between them.
		e.counts.usesDropped.Inc()
	}
	e.mu.Lock()
	k.recordUse(time.Now(), finished)
	e.mu.Unlock()
}

// savedBy returns the time that recomputing one block would take at the rate of
// this request. With the saving of the whole prompt, a block of a long prompt
// would be valued higher than one of a short prompt, although both save the
// same time.
func savedBy(j *job, usage port.Usage) time.Duration {
	computed := usage.PromptTokens - usage.ReusedTokens
	if computed <= 0 || usage.Prefill <= 0 {
		return 0
	}
	perToken := float64(usage.Prefill) / float64(computed)
	return time.Duration(perToken * float64(j.model.BlockTokens))
}

// homeCell is the only cell of the home table: every entry follows all
// upstreams, so a prompt's home may be any entry, independent of the data
// centre that served the prompt.
var homeCell ident.Cell

func homeKey(block prefix.BlockID) uint64 { return binary.BigEndian.Uint64(block[:8]) }

func (p plan) scope(j *job) prefix.Scope {
	return prefix.Scope{
		Team:    j.prompt.Caller.Team(),
		Model:   j.prompt.Model,
		Version: p.version,
		Adapter: j.prompt.Adapter,
	}
}

// recordUse counts a use and adopts known store copies of the prompt, which may
// have been made by another home. The caller holds the mutex.
func (k *keeper) recordUse(now time.Time, finished keep.Use) {
	k.manager.RecordUse(now, finished)
	var copies []prefix.StoredCopy
	for _, block := range finished.Blocks {
		if k.manager.Phase(block) != keep.Absent {
			continue
		}
		copies = k.entry.stores.Copies(block, copies[:0])
		if len(copies) > 0 {
			c := copies[0]
			k.manager.Adopt(now, keep.Source{Block: block, Store: c.Store, Incarnation: c.Incarnation, Copy: c.Copy})
		}
	}
}

func encodeUse(in keep.Use) []byte {
	out := use{
		Team:        in.Scope.Team,
		Model:       in.Scope.Model,
		Version:     in.Scope.Version,
		Adapter:     in.Scope.Adapter,
		Class:       in.Class,
		Runner:      in.Runner,
		Incarnation: in.RunnerIncarnation,
		DataCentre:  in.RunnerDataCentre,
		BlockBytes:  in.BlockBytes,
		SavedMicros: in.Saved.Microseconds(),
	}
	for i := range in.Blocks {
		out.Blocks = append(out.Blocks, in.Blocks[i][:])
	}
	return wire.MustMarshal(out)
}

// ApplyUse applies another entry's report that a prompt whose home is this
// entry was used.
func (e *Entry) ApplyUse(body []byte) error {
	var in use
	if err := wire.Unmarshal(body, &in); err != nil {
		return eris.Wrap(err, "entry: use of a prompt")
	}
	if len(in.Blocks) > keep.MaxPromptBlocks {
		return eris.Errorf("entry: use of a prompt of %d blocks", len(in.Blocks))
	}
	finished := keep.Use{
		Scope:             prefix.Scope{Team: in.Team, Model: in.Model, Version: in.Version, Adapter: in.Adapter},
		Class:             in.Class,
		Runner:            in.Runner,
		RunnerIncarnation: in.Incarnation,
		RunnerDataCentre:  in.DataCentre,
		BlockBytes:        in.BlockBytes,
		Saved:             time.Duration(in.SavedMicros) * time.Microsecond,
	}
	for _, block := range in.Blocks {
		if len(block) != prefix.BlockIDSize {
			return eris.Errorf("entry: a block's identity of %d bytes", len(block))
		}
		finished.Blocks = append(finished.Blocks, prefix.BlockID(block))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keeper.recordUse(time.Now(), finished)
	return nil
}

// setMembers sets the entries over which prompts are distributed. Prompts whose
// home is now another entry are released. The caller holds the mutex.
func (k *keeper) setMembers(now time.Time, members []cell.Member) {
	if err := k.homes.SetMembers(members); err != nil {
		k.entry.options.Log.Error("members of the home table rejected", "err", err)
		return
	}
	k.members = members
	k.manager.SetShare(1 / float64(len(members)))
	k.manager.Rehome(now, func(first prefix.BlockID) bool {
		home, ok := k.homes.Home(homeCell, homeKey(first))
		return !ok || home == k.entry.options.Host
	})
}
