package standin

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

// PathRestart is the path that simulates a restart of a store host; see
// StoreRestart.
const PathRestart = "/restart"

// StoreOptions configure a stand-in store host.
type StoreOptions struct {
	Upstream   ident.Upstream
	DataCentre ident.DataCentre
	Announce   AnnounceOptions
	// MemoryBytes and DiskBytes are the capacities of the tiers; zero means
	// 64 MiB and 256 MiB.
	MemoryBytes int64
	DiskBytes   int64
	// LinkRate is the host's network bandwidth in bytes per second; zero means
	// unlimited.
	LinkRate float64
	// DiskRate is the disk's bandwidth for reads and writes together, in bytes
	// per second; zero means unlimited.
	DiskRate float64
	// FaultSeed seeds the choice of the requests that a fault with a Rate
	// affects.
	FaultSeed uint64
}

// Store is a stand-in store host.
type Store struct {
	options   StoreOptions
	faults    *Faults
	announcer *announcer
	link      rateQueue
	disk      rateQueue
	leaving   atomic.Bool
	counters  storeCounters

	mu      sync.Mutex
	address string
	slots   *slotTable
}

type storeCounters struct {
	written, read             atomic.Uint64
	refusedReads, badCommits  atomic.Uint64
	reservations, fullAnswers atomic.Uint64
}

// NewStore returns an empty store host.
func NewStore(options StoreOptions) *Store {
	setDefault(&options.MemoryBytes, 64<<20)
	setDefault(&options.DiskBytes, 256<<20)
	s := &Store{
		options: options,
		faults:  NewFaults(options.FaultSeed),
		link:    rateQueue{rate: options.LinkRate},
		disk:    rateQueue{rate: options.DiskRate},
	}
	s.announcer = newAnnouncer(options.Announce, s, s.faults)
	incarnation := NewIncarnation(time.Now())
	s.slots = newSlotTable(options.MemoryBytes, options.DiskBytes, incarnation, s.announcer.record)
	s.announcer.startIncarnation(incarnation)
	return s
}

// Handler implements Upstream.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, handler := range map[string]http.HandlerFunc{
		"POST " + upstreamapi.PathReserve:         s.handleReserve,
		"POST " + upstreamapi.PathCommit:          s.handleCommit,
		"POST " + upstreamapi.PathStat:            s.handleStat,
		"POST " + upstreamapi.PathFree:            s.handleFree,
		"GET " + upstreamapi.PathStatus:           s.handleStatus,
		"GET " + upstreamapi.PathBlocks:           s.handleBlocks,
		"PUT " + upstreamapi.PathSlots + "{slot}": s.handleWrite,
		"GET " + upstreamapi.PathSlots + "{slot}": s.handleRead,
	} {
		mux.HandleFunc(pattern, guard(s.faults, handler))
	}
	mux.Handle(PathFaults, s.faults)
	mux.Handle("POST "+PathLink, &s.link)
	mux.HandleFunc("POST "+PathRestart, s.handleRestart)
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) {
		upstreamapi.WriteJSON(w, http.StatusOK, s.Stats())
	})
	return mux
}

// SetAddress implements Upstream.
func (s *Store) SetAddress(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
}

// Run implements Upstream.
func (s *Store) Run(ctx context.Context) error { return s.announcer.run(ctx) }

// Leave implements Upstream.
func (s *Store) Leave() {
	s.leaving.Store(true)
	s.announcer.announceNow()
}

// Faults implements Upstream.
func (s *Store) Faults() *Faults { return s.faults }

// SetLinkRate sets the host's network bandwidth in bytes per second.
func (s *Store) SetLinkRate(rate float64) { s.link.setRate(rate) }

func (s *Store) announcement() port.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return port.Announcement{
		Upstream:    s.options.Upstream,
		Incarnation: s.slots.incarnation,
		Kind:        port.KindStore,
		Address:     s.address,
		DataCentre:  s.options.DataCentre,
		Leaving:     s.leaving.Load(),
	}
}

func (s *Store) loadReport(now time.Time) port.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.expire(now)
	return port.LoadReport{
		Upstream:    s.options.Upstream,
		Incarnation: s.slots.incarnation,
		MeasuredAt:  now.UnixMilli(),
		LinkBusy:    s.link.utilization(now),
		Tiers:       s.slots.status(),
	}
}

func (s *Store) handleStatus(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	busy := 0.0
	if s.link.backlog(now) > 0 {
		busy = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.expire(now)
	upstreamapi.WriteJSON(w, http.StatusOK, port.StoreStatus{
		Upstream:           s.options.Upstream,
		Incarnation:        s.slots.incarnation,
		Tiers:              s.slots.status(),
		LinkBytesPerSecond: int64(s.options.LinkRate),
		LinkBusy:           busy,
	})
}

func (s *Store) handleBlocks(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	snapshot := port.BlockSnapshot{
		Incarnation: s.slots.incarnation,
		Sequence:    s.announcer.lastSequence(),
		Blocks:      s.slots.committed(),
	}
	s.mu.Unlock()
	upstreamapi.WriteJSON(w, http.StatusOK, snapshot)
}

// StoreRestart selects the content that a store host keeps over a restart.
type StoreRestart struct {
	// Keep is "none", "disk" (the disk tier under new generations) or "stale"
	// (everything under the old generations, as a host restored from an old
	// image keeps it without detecting the restore).
	Keep string `json:"keep"`
}

// Restart simulates a restart: the host has a new incarnation.
func (s *Store) Restart(restart StoreRestart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation := NewIncarnation(time.Now())
	s.slots.restart(incarnation, restart.Keep)
	s.announcer.startIncarnation(incarnation)
	s.announcer.announceNow()
}

func (s *Store) handleRestart(w http.ResponseWriter, r *http.Request) {
	var restart StoreRestart
	err := upstreamapi.DecodeBounded(r.Body, upstreamapi.MaxErrorBytes, &restart)
	if err != nil || !restartKeeps[restart.Keep] {
		upstreamapi.WriteError(w, http.StatusBadRequest, "invalid_restart", `keep: want "none", "disk" or "stale"`)
		return
	}
	s.Restart(restart)
	w.WriteHeader(http.StatusNoContent)
}

// StoreStats are the counters of a store host since its start.
type StoreStats struct {
	Upstream     ident.Upstream       `json:"upstream"`
	WrittenBytes uint64               `json:"written_bytes"`
	ReadBytes    uint64               `json:"read_bytes"`
	RefusedReads uint64               `json:"refused_reads"`
	BadCommits   uint64               `json:"bad_commits"`
	Reservations uint64               `json:"reservations"`
	FullAnswers  uint64               `json:"full_answers"`
	Tiers        []port.TierStatus    `json:"tiers"`
	Struck       map[FaultKind]uint64 `json:"faults_struck"`
}

// Stats returns the host's counters.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	tiers := s.slots.status()
	s.mu.Unlock()
	c := &s.counters
	return StoreStats{
		Upstream:     s.options.Upstream,
		WrittenBytes: c.written.Load(),
		ReadBytes:    c.read.Load(),
		RefusedReads: c.refusedReads.Load(),
		BadCommits:   c.badCommits.Load(),
		Reservations: c.reservations.Load(),
		FullAnswers:  c.fullAnswers.Load(),
		Tiers:        tiers,
		Struck:       s.faults.Injected(),
	}
}
