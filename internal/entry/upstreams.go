package entry

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/announce"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/upstream"
)

// followed is the entry's state of an upstream in addition to the registry's.
type followed struct {
	incarnation ident.Incarnation
	kind        port.UpstreamKind
	address     string
	pool        upstream.Pool
	blockBytes  int64
	// cells are the cells in whose directories the upstream is a holder. A
	// store host is a holder in the stores' directory instead.
	cells []ident.Cell
	tiers []port.TierStatus
	// announced and load are the latest messages of the upstream.
	announced port.Announcement
	load      port.LoadReport
	// repairing is set while a snapshot is queued or being read.
	repairing bool
	// missed is the number of consecutive ticks at which the registry did not
	// offer the upstream.
	missed int
}

// ErrRefused is returned for an announcement of a previous incarnation, or one
// beyond the bound on upstreams.
var ErrRefused = eris.New("the announcement is refused")

// Announce applies an upstream's announcement and returns to which entries and
// how often the upstream should report.
func (e *Entry) Announce(message port.Announcement) (announce.Assignment, error) {
	now := time.Now()
	var notice departureNotice
	e.mu.Lock()
	result, err := e.registry.Announce(now, announcementOf(message))
	switch result {
	case upstream.Registered:
		e.follow(message)
		e.options.Log.Info("upstream registered", "upstream", string(message.Upstream),
			"kind", string(message.Kind), "address", message.Address, "incarnation", uint64(message.Incarnation))
	case upstream.Renewed:
		e.follow(message)
	case upstream.Departed:
		notice = departureNotice{Upstream: message.Upstream, Incarnation: message.Incarnation}
		e.markLeaving(notice)
		e.departures.add(now, notice)
		e.options.Log.Info("upstream is leaving", "upstream", string(message.Upstream), "heard", "upstream")
	}
	pace := upstream.ReportIntervalsFor(e.registry.Len())
	e.mu.Unlock()
	if result == upstream.Departed {
		e.sendDepartures([]departureNotice{notice})
	}
	if err != nil {
		return announce.Assignment{}, err
	}
	if result == upstream.Refused || result == upstream.Full {
		return announce.Assignment{}, eris.Wrapf(ErrRefused, "upstream %s, incarnation %d", message.Upstream, message.Incarnation)
	}
	return announce.Assignment{Entries: e.announceAddresses(), ReportIntervals: pace}, nil
}

func (e *Entry) announceAddresses() []string {
	peers := e.options.Control.Entries()
	addresses := make([]string, 0, len(peers)+1)
	addresses = append(addresses, e.options.Announce)
	for _, peer := range peers {
		if peer.Announce != "" && !slices.Contains(addresses, peer.Announce) {
			addresses = append(addresses, peer.Announce)
		}
	}
	return addresses
}

func announcementOf(message port.Announcement) upstream.Announcement {
	out := upstream.Announcement{
		Upstream:    message.Upstream,
		Incarnation: message.Incarnation,
		Kind:        kindOf(message.Kind),
		Address:     message.Address,
		DataCentre:  message.DataCentre,
		Service:     message.Service,
		Software:    message.Software,
		Leaving:     message.Leaving,
		Lease:       time.Duration(message.LeaseMillis) * time.Millisecond,
		ChecksFence: message.ChecksFence,
		Slots:       message.Slots,
		BlockBytes:  message.BlockBytes,
	}
	for _, model := range message.Models {
		out.Models = append(out.Models, upstream.Loaded{Model: model.Model, Version: model.Version, Adapters: model.Adapters})
	}
	return out
}

func kindOf(kind port.UpstreamKind) upstream.Kind {
	switch kind {
	case port.KindEngine:
		return upstream.Engine
	case port.KindStore:
		return upstream.Store
	default:
		return upstream.Service
	}
}

// follow updates the entry's state and directories from an accepted
// announcement. The caller holds the mutex.
func (e *Entry) follow(message port.Announcement) {
	f := e.followed[message.Upstream]
	if f != nil && message.Incarnation < f.incarnation {
		// The registry has accepted this as the current incarnation despite its
		// lower number, as after a clock step. The directories and the keeper
		// would discard its messages as outdated.
		e.forget(message.Upstream, f)
		f = nil
	}
	if f == nil {
		f = &followed{}
		e.followed[message.Upstream] = f
	}
	// The cache of a new incarnation is unknown, and an entry that starts late
	// has missed earlier events, so a snapshot is read once.
	fresh := f.incarnation != message.Incarnation
	f.incarnation = message.Incarnation
	e.countSlots(f, -1)
	f.announced = message
	e.countSlots(f, 1)
	f.kind = message.Kind
	f.address = message.Address
	f.blockBytes = message.BlockBytes
	f.missed = 0
	switch message.Kind {
	case port.KindStore:
		f.pool = upstream.StorePool(message.DataCentre, 0)
		e.stores.Follow(message.Upstream, message.Incarnation)
		e.addCentre(poolKey{}, message.DataCentre)
	case port.KindService:
		f.pool = upstream.ServicePool(message.Service, message.DataCentre, 0)
		e.addCentre(poolKey{service: message.Service}, message.DataCentre)
	case port.KindEngine:
		e.followEngine(f, message)
		e.keeper.manager.UpdateRunner(message.Upstream, message.Incarnation)
	}
	if fresh && message.Kind != port.KindService {
		e.requestRepair(message.Upstream, f)
	}
}

func (e *Entry) followEngine(f *followed, message port.Announcement) {
	for _, loaded := range message.Models {
		cell := ident.Cell{Model: loaded.Model, DataCentre: message.DataCentre}
		f.pool = upstream.EnginePool(cell, loaded.Version, "")
		e.addCentre(poolKey{model: loaded.Model}, message.DataCentre)
		directory := e.directoryOf(cell)
		if directory == nil {
			continue
		}
		directory.Follow(message.Upstream, message.Incarnation)
		if !slices.Contains(f.cells, cell) {
			f.cells = append(f.cells, cell)
		}
	}
}

func (e *Entry) addCentre(key poolKey, centre ident.DataCentre) {
	known := e.centres[key]
	if slices.Contains(known, centre) || len(known) >= maxCentres || len(e.centres) >= maxPools {
		return
	}
	e.centres[key] = append(known, centre)
}

// directoryOf returns the directory of a cell, or nil if the bound on cells is
// reached.
func (e *Entry) directoryOf(cell ident.Cell) *prefix.Directory {
	if directory := e.cells[cell]; directory != nil {
		return directory
	}
	if len(e.cells) >= maxCells {
		return nil
	}
	directory, err := prefix.NewDirectory(prefix.Options{})
	if err != nil {
		panic("entry: the default options of a directory are refused: " + err.Error())
	}
	e.cells[cell] = directory
	return directory
}

// eachDirectory calls use for each directory in which the upstream is a holder.
func (e *Entry) eachDirectory(f *followed, use func(*prefix.Directory)) {
	if f.kind == port.KindStore {
		use(e.stores)
		return
	}
	for _, cell := range f.cells {
		if directory := e.cells[cell]; directory != nil {
			use(directory)
		}
	}
}

// Load applies a load report.
func (e *Entry) Load(message port.LoadReport) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	applied := e.registry.Report(time.Now(), upstream.Report{
		Upstream:     message.Upstream,
		Incarnation:  message.Incarnation,
		MeasuredAt:   message.MeasuredTime(),
		Age:          time.Duration(message.Age) * time.Millisecond,
		Running:      message.Running,
		Queued:       message.Queued,
		QueuedTokens: message.QueuedTokens,
		FreeBlocks:   message.FreeBlocks,
		LinkBusy:     message.LinkBusy,
	})
	if !applied {
		e.counts.staleReports.Inc()
		return nil
	}
	if f := e.followed[message.Upstream]; f != nil {
		f.load, f.tiers = message, message.Tiers
	}
	return nil
}

// Events applies a batch of cache events. It reports whether the batch left a
// gap that needs to be repaired by a snapshot.
func (e *Entry) Events(message port.CacheEvents) (bool, error) {
	batch := prefix.Batch{
		Upstream:    message.Upstream,
		Incarnation: message.Incarnation,
		Events:      make([]prefix.Event, 0, len(message.Events)),
	}
	for _, event := range message.Events {
		translated, ok := eventOf(event)
		if !ok {
			e.counts.badEvents.Inc()
			continue
		}
		batch.Events = append(batch.Events, translated)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.followed[message.Upstream]
	if f == nil || f.incarnation != message.Incarnation {
		// Events of an incarnation that is not announced yet will be part of
		// its snapshot.
		return false, nil
	}
	e.recordRemovals(f, batch)
	stale := false
	e.eachDirectory(f, func(directory *prefix.Directory) {
		stale = directory.Apply(batch) == prefix.NeedsSnapshot || stale
	})
	if stale {
		e.requestRepair(message.Upstream, f)
	}
	return stale, nil
}

// recordRemovals reports removed blocks to the manager of kept prompts. The
// caller holds the mutex.
func (e *Entry) recordRemovals(f *followed, batch prefix.Batch) {
	now := time.Now()
	for _, event := range batch.Events {
		if event.Kind != prefix.Removed {
			continue
		}
		if f.kind == port.KindEngine {
			e.keeper.manager.RunnerEvicted(now, batch.Upstream, batch.Incarnation, event.Block)
			continue
		}
		for _, kept := range e.stores.Copies(event.Block, nil) {
			if kept.Store == batch.Upstream {
				e.keeper.manager.CopyRemoved(kept.Store, event.Block, kept.Copy.Generation)
			}
		}
	}
}

func eventOf(event port.CacheEvent) (prefix.Event, bool) {
	out := prefix.Event{Sequence: event.Sequence}
	switch event.Kind {
	case port.CacheCleared:
		out.Kind = prefix.Cleared
		return out, true
	case port.CacheStored:
		out.Kind = prefix.Stored
	case port.CacheRemoved:
		out.Kind = prefix.Removed
	default:
		return out, false
	}
	block, err := prefix.ParseBlockID(string(event.Block))
	if err != nil {
		return out, false
	}
	out.Block = block
	if event.State != nil {
		out.Copy = copyOf(*event.State)
	}
	return out, true
}

// copyOf converts a committed slot to a copy. It returns nil for any other
// phase, since a slot that is being written must not be read.
func copyOf(state port.SlotState) *prefix.Copy {
	if state.Phase != port.SlotCommitted {
		return nil
	}
	tier := prefix.Memory
	if state.Tier == port.TierDisk {
		tier = prefix.Disk
	}
	return &prefix.Copy{
		Slot:       state.Slot,
		Generation: state.Generation,
		Bytes:      state.Bytes,
		Checksum:   state.Checksum,
		Tier:       tier,
	}
}
