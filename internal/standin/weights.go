package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

// PathWeights is the path prefix of weights, followed by model and version.
const PathWeights = "/v1/weights/"

// weightRetryDelay is the delay before an engine retries a failed load.
const weightRetryDelay = 100 * time.Millisecond

// weightStep is the interval at which the speed of a load is recomputed.
const weightStep = 10 * time.Millisecond

// WeightOptions configure a stand-in weight store.
type WeightOptions struct {
	// LoadTime is the time to load a version at full speed.
	LoadTime time.Duration
	// FullSpeedLoads is the number of concurrent loads that run at full speed;
	// more loads share the total speed of these. Zero means 3.
	FullSpeedLoads int
}

// Weights is a stand-in weight store: a server with limited bandwidth from
// which engines load versions.
type Weights struct {
	options WeightOptions
	faults  *Faults

	mu        sync.Mutex
	active    int
	maxActive int
	served    uint64
}

// NewWeights returns a weight store.
func NewWeights(options WeightOptions) *Weights {
	setDefault(&options.FullSpeedLoads, 3)
	return &Weights{options: options, faults: NewFaults(0)}
}

// WeightStats are the counters of a weight store. Most is the highest number of
// concurrent loads.
type WeightStats struct {
	Active int    `json:"active"`
	Most   int    `json:"most_at_once"`
	Served uint64 `json:"served"`
}

// Handler returns the handler of the weight store's HTTP interface.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathWeights+"{model}/{version}", guard(s.faults, s.handleLoad))
	mux.Handle(PathFaults, s.faults)
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) {
		upstreamapi.WriteJSON(w, http.StatusOK, s.Stats())
	})
	return mux
}

// Stats returns the store's counters.
func (s *Weights) Stats() WeightStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return WeightStats{Active: s.active, Most: s.maxActive, Served: s.served}
}

// Faults returns the store's faults.
func (s *Weights) Faults() *Faults { return s.faults }

func (s *Weights) handleLoad(w http.ResponseWriter, r *http.Request) {
	s.begin()
	defer s.end()
	var done time.Duration
	for done < s.options.LoadTime {
		step := max(time.Millisecond, min(weightStep, s.options.LoadTime-done))
		if sleep(r.Context(), step) != nil {
			return
		}
		done += time.Duration(float64(step) * s.speed())
	}
	s.mu.Lock()
	s.served++
	s.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

func (s *Weights) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	s.maxActive = max(s.maxActive, s.active)
}

func (s *Weights) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// speed returns the speed of each load; 1 is full speed.
func (s *Weights) speed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(1, float64(s.options.FullSpeedLoads)/float64(max(1, s.active)))
}
