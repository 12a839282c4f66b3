package standin

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

// EngineOptions configure a stand-in engine. A zero rate means unlimited, a
// zero time no delay.
type EngineOptions struct {
	Upstream   ident.Upstream
	DataCentre ident.DataCentre
	Models     []port.LoadedVersion
	Announce   AnnounceOptions
	// Slots is the number of requests that run concurrently; zero means 8.
	Slots int
	// MaxQueued bounds the number of queued requests; zero means 4096.
	MaxQueued int
	// PrefillRate is in prompt tokens per second, shared by all requests.
	PrefillRate float64
	// DecodeInterval is the time between two tokens of an answer.
	DecodeInterval time.Duration
	// KeepAlive is the interval of the comments sent to the caller of a
	// queued request; zero means 5 s.
	KeepAlive time.Duration
	// BlockTokens is the number of tokens in a block; zero means 1000.
	BlockTokens int
	// BlockBytes is the size of a block of KV cache in bytes; zero means
	// 64 KiB.
	BlockBytes int64
	// CacheBlocks is the capacity of the cache in blocks; zero means 256.
	CacheBlocks int
	// LinkRate is the bandwidth to store hosts in bytes per second.
	LinkRate float64
	// Software is the version of the engine's software that it announces.
	Software string
	// ChecksFence makes the engine refuse orders with a fencing token lower
	// than the highest one accepted.
	ChecksFence bool
	// LoadTime is the time to load a version without a weight store.
	LoadTime time.Duration
	// WeightStore is the address of the weight store, empty for none.
	WeightStore string
	// RunLog records the requests that the engine starts.
	RunLog *RunLog
	// FaultSeed seeds the choice of the requests that a fault with a Rate
	// affects.
	FaultSeed uint64
}

func (o *EngineOptions) setDefaults() {
	setDefault(&o.Slots, 8)
	setDefault(&o.MaxQueued, 4096)
	setDefault(&o.KeepAlive, 5*time.Second)
	setDefault(&o.BlockTokens, 1000)
	setDefault(&o.BlockBytes, 64<<10)
	setDefault(&o.CacheBlocks, 256)
}

// Engine is a stand-in model engine with continuous batching, a prefix cache
// and KV transfer.
type Engine struct {
	options     EngineOptions
	incarnation ident.Incarnation
	faults      *Faults
	announcer   *announcer
	client      *httpsend.Transport
	batch       *batch
	prefill     rateQueue
	link        rateQueue
	orders      *orderTracker
	leaving     atomic.Bool
	counters    engineCounters
	begun       requestRing

	mu      sync.Mutex
	address string
	cache   *blockCache
	models  *modelSet
	runCtx  context.Context // context of Run; cancels loads in progress
}

type engineCounters struct {
	requests, finished, cancelled, refused atomic.Uint64
	promptTokens, reusedTokens             atomic.Uint64
	computedTokens, outputTokens           atomic.Uint64
	importedBytes, exportedBytes           atomic.Uint64
	importsRejected                        atomic.Uint64
}

// NewEngine returns an engine on which options.Models are loaded.
func NewEngine(options EngineOptions) *Engine {
	options.setDefaults()
	e := &Engine{
		options:     options,
		incarnation: NewIncarnation(time.Now()),
		faults:      NewFaults(options.FaultSeed),
		client:      httpsend.NoRetryTransport(),
		batch:       newBatch(options.Slots, options.MaxQueued),
		prefill:     rateQueue{rate: options.PrefillRate},
		link:        rateQueue{rate: options.LinkRate},
		orders:      newOrderTracker(options.ChecksFence),
		models:      newModelSet(options.Models),
		runCtx:      context.Background(),
	}
	e.announcer = newAnnouncer(options.Announce, e, e.faults)
	e.announcer.startIncarnation(e.incarnation)
	e.cache = newBlockCache(options.CacheBlocks, e.announcer.record)
	return e
}

// Handler implements Upstream.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstreamapi.PathCompletions, e.handleCompletion)
	mux.HandleFunc("POST "+upstreamapi.PathImport, e.guard(e.handleImport))
	mux.HandleFunc("POST "+upstreamapi.PathExport, e.guard(e.handleExport))
	mux.HandleFunc("POST "+upstreamapi.PathOrders, e.guard(e.handleOrder))
	mux.HandleFunc("GET "+upstreamapi.PathState, e.guard(e.handleState))
	mux.HandleFunc("GET "+upstreamapi.PathBlocks, e.guard(e.handleBlocks))
	mux.Handle(PathFaults, e.faults)
	mux.Handle("POST "+PathLink, &e.link)
	mux.HandleFunc("POST "+PathEvict, func(w http.ResponseWriter, _ *http.Request) {
		e.Evict()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		upstreamapi.WriteJSON(w, http.StatusOK, Runs{Begun: e.begun.list()})
	})
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) {
		upstreamapi.WriteJSON(w, http.StatusOK, e.Stats())
	})
	return mux
}

func (e *Engine) guard(next http.HandlerFunc) http.HandlerFunc {
	return guard(e.faults, next)
}

// SetAddress implements Upstream.
func (e *Engine) SetAddress(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = address
}

// Run implements Upstream.
func (e *Engine) Run(ctx context.Context) error {
	e.mu.Lock()
	e.runCtx = ctx
	e.mu.Unlock()
	return e.announcer.run(ctx)
}

// Leave implements Upstream.
func (e *Engine) Leave() {
	e.leaving.Store(true)
	e.announcer.announceNow()
}

// PathEvict is the path that empties an engine's cache.
const PathEvict = "/evict"

// Evict empties the engine's cache, as memory pressure does between requests
// that are far apart.
func (e *Engine) Evict() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear()
}

// Faults implements Upstream.
func (e *Engine) Faults() *Faults { return e.faults }

func (e *Engine) announcement() port.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return port.Announcement{
		Upstream:    e.options.Upstream,
		Incarnation: e.incarnation,
		Kind:        port.KindEngine,
		Address:     e.address,
		DataCentre:  e.options.DataCentre,
		Models:      e.models.loaded(),
		Leaving:     e.leaving.Load(),
		ChecksFence: e.options.ChecksFence,
		Software:    e.options.Software,
		Slots:       e.options.Slots,
		BlockBytes:  e.options.BlockBytes,
	}
}

func (e *Engine) loadReport(now time.Time) port.LoadReport {
	running, queued, tokens := e.batch.load()
	e.mu.Lock()
	free := e.cache.free()
	e.mu.Unlock()
	return port.LoadReport{
		Upstream:     e.options.Upstream,
		Incarnation:  e.incarnation,
		MeasuredAt:   now.UnixMilli(),
		Running:      running,
		Queued:       queued,
		QueuedTokens: tokens,
		FreeBlocks:   int64(free),
		LinkBusy:     e.link.utilization(now),
	}
}

// EngineStats are the counters of an engine since its start.
type EngineStats struct {
	Upstream       ident.Upstream `json:"upstream"`
	Requests       uint64         `json:"requests"`
	Finished       uint64         `json:"finished"`
	Cancelled      uint64         `json:"cancelled"`
	Refused        uint64         `json:"refused"`
	PromptTokens   uint64         `json:"prompt_tokens"`
	ReusedTokens   uint64         `json:"reused_tokens"`
	ComputedTokens uint64         `json:"computed_tokens"`
	OutputTokens   uint64         `json:"output_tokens"`
	ImportedBytes  uint64         `json:"imported_bytes"`
	ExportedBytes  uint64         `json:"exported_bytes"`
	// ImportsRejected counts blocks that failed verification.
	ImportsRejected uint64 `json:"imports_rejected"`
	// WrongBlocks counts the cached blocks that a request named although they
	// belong to another prompt, version or adapter. They are never used.
	WrongBlocks  uint64               `json:"wrong_blocks"`
	CachedBlocks int                  `json:"cached_blocks"`
	Running      int                  `json:"running"`
	Queued       int                  `json:"queued"`
	Struck       map[FaultKind]uint64 `json:"faults_struck"`
}

// Stats returns the engine's counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	wrong, cached := e.cache.wrong, e.cache.len()
	e.mu.Unlock()
	running, queued, _ := e.batch.load()
	c := &e.counters
	return EngineStats{
		Running:         running,
		Queued:          queued,
		Upstream:        e.options.Upstream,
		Requests:        c.requests.Load(),
		Finished:        c.finished.Load(),
		Cancelled:       c.cancelled.Load(),
		Refused:         c.refused.Load(),
		PromptTokens:    c.promptTokens.Load(),
		ReusedTokens:    c.reusedTokens.Load(),
		ComputedTokens:  c.computedTokens.Load(),
		OutputTokens:    c.outputTokens.Load(),
		ImportedBytes:   c.importedBytes.Load(),
		ExportedBytes:   c.exportedBytes.Load(),
		ImportsRejected: c.importsRejected.Load(),
		WrongBlocks:     wrong,
		CachedBlocks:    cached,
		Struck:          e.faults.Injected(),
	}
}
