package standin

import (
	"context"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

// maxRunKeys bounds the number of idempotency keys whose runs a service counts.
const maxRunKeys = 1 << 20

// ServiceOptions configure a replica of a stand-in plain service.
type ServiceOptions struct {
	Upstream   ident.Upstream
	DataCentre ident.DataCentre
	Service    ident.Service
	Announce   AnnounceOptions
	// Slots is the number of calls that run concurrently; zero means 64.
	Slots int
	// RunTime is the run time of a call.
	RunTime time.Duration
	// RunLog records the idempotency keys that the replica runs.
	RunLog *RunLog
	// FaultSeed seeds the choice of the requests that a fault with a Rate
	// affects.
	FaultSeed uint64
}

// Service is a replica of a stand-in plain service. It does not deduplicate
// calls; it counts the runs of each idempotency key, so that a test can detect
// a second run.
type Service struct {
	options     ServiceOptions
	incarnation ident.Incarnation
	faults      *Faults
	announcer   *announcer
	batch       *batch
	leaving     atomic.Bool

	mu      sync.Mutex
	address string
	runs    map[string]int
	total   uint64
}

// NewService returns a replica.
func NewService(options ServiceOptions) *Service {
	setDefault(&options.Slots, 64)
	s := &Service{
		options:     options,
		incarnation: NewIncarnation(time.Now()),
		faults:      NewFaults(options.FaultSeed),
		batch:       newBatch(options.Slots, 4096),
		runs:        make(map[string]int),
	}
	s.announcer = newAnnouncer(options.Announce, s, s.faults)
	return s
}

// Handler implements Upstream. A request for any path other than PathFaults,
// PathRuns and PathStats is a call.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", guard(s.faults, s.handleCall))
	mux.Handle(PathFaults, s.faults)
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		upstreamapi.WriteJSON(w, http.StatusOK, s.runsCopy())
	})
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) {
		upstreamapi.WriteJSON(w, http.StatusOK, s.Stats())
	})
	return mux
}

// SetAddress implements Upstream.
func (s *Service) SetAddress(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
}

// Run implements Upstream.
func (s *Service) Run(ctx context.Context) error { return s.announcer.run(ctx) }

// Leave implements Upstream.
func (s *Service) Leave() {
	s.leaving.Store(true)
	s.announcer.announceNow()
}

// Faults implements Upstream.
func (s *Service) Faults() *Faults { return s.faults }

func (s *Service) announcement() port.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return port.Announcement{
		Upstream:    s.options.Upstream,
		Incarnation: s.incarnation,
		Kind:        port.KindService,
		Address:     s.address,
		DataCentre:  s.options.DataCentre,
		Service:     s.options.Service,
		Leaving:     s.leaving.Load(),
		Slots:       s.options.Slots,
	}
}

func (s *Service) loadReport(now time.Time) port.LoadReport {
	running, queued, _ := s.batch.load()
	return port.LoadReport{
		Upstream:    s.options.Upstream,
		Incarnation: s.incarnation,
		MeasuredAt:  now.UnixMilli(),
		Running:     running,
		Queued:      queued,
	}
}

// ServiceAnswer is the body of an answer. Run is the number of runs of the
// idempotency key so far, including this one.
type ServiceAnswer struct {
	Service  ident.Service  `json:"service"`
	Upstream ident.Upstream `json:"upstream"`
	Request  string         `json:"request_id"`
	Method   string         `json:"method"`
	Path     string         `json:"path"`
	Key      string         `json:"idempotency_key,omitempty"`
	Run      int            `json:"run"`
	Echo     string         `json:"echo"`
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	request, attempt, err := upstreamapi.ReadAttempt(r.Header)
	if err != nil {
		upstreamapi.WriteError(w, http.StatusBadRequest, "invalid_request", "no request identity: "+err.Error())
		return
	}
	body, err := io.ReadAll(r.Body) // size is bounded by guard
	if err != nil {
		refuse(w, r, http.StatusBadRequest, err.Error())
		return
	}
	if err := s.batch.acquire(r.Context(), 0, 0); err != nil {
		refuse(w, r, http.StatusTooManyRequests, err.Error())
		return
	}
	defer s.batch.release()
	key := r.Header.Get(upstreamapi.HeaderIdempotencyKey)
	run := s.countRun(key)
	// A started call completes even if its caller disconnects.
	_ = sleep(context.WithoutCancel(r.Context()), s.options.RunTime)
	upstreamapi.SetAttempt(w.Header(), request, attempt)
	upstreamapi.WriteJSON(w, http.StatusOK, ServiceAnswer{
		Service:  s.options.Service,
		Upstream: s.options.Upstream,
		Request:  request.String(),
		Method:   r.Method,
		Path:     r.URL.RequestURI(),
		Key:      key,
		Run:      run,
		Echo:     string(body),
	})
}

// countRun counts a run of key and returns the number of runs so far. It
// returns 1 if key is empty or can't be counted because of maxRunKeys.
func (s *Service) countRun(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if key == "" {
		return 1
	}
	s.options.RunLog.add(RunKey, key)
	if _, known := s.runs[key]; !known && len(s.runs) >= maxRunKeys {
		return 1
	}
	s.runs[key]++
	return s.runs[key]
}

// Runs returns the number of times that the replica ran key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// ServiceStats are the counters of a replica since its start.
type ServiceStats struct {
	Upstream ident.Upstream `json:"upstream"`
	Runs     uint64         `json:"runs"`
	// Keys is the number of idempotency keys that were run, Doubled the
	// number of those that were run more than once.
	Keys    int                  `json:"keys"`
	Doubled int                  `json:"doubled"`
	Struck  map[FaultKind]uint64 `json:"faults_struck"`
}

// runsCopy returns a copy of the run counts of the keys.
func (s *Service) runsCopy() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Runs{Keys: maps.Clone(s.runs)}
}

// Stats returns the replica's counters.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := ServiceStats{Upstream: s.options.Upstream, Runs: s.total, Keys: len(s.runs), Struck: s.faults.Injected()}
	for _, runs := range s.runs {
		if runs > 1 {
			stats.Doubled++
		}
	}
	return stats
}
