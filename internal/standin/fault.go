package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

// FaultKind is a kind of failure that a stand-in simulates.
type FaultKind string

// The fault kinds. The stand-in and the request path determine which apply.
const (
	// FaultLate delays an answer by DelayMillis.
	FaultLate FaultKind = "late"
	// FaultCrossed answers with the content of another request.
	FaultCrossed FaultKind = "crossed"
	// FaultTruncated ends an answer early. Streams end without a connection
	// error; a short answer lacks half of its announced length.
	FaultTruncated FaultKind = "truncated"
	// FaultDuplicated sends every part of an answer twice.
	FaultDuplicated FaultKind = "duplicated"
	// FaultRefused refuses the request with the statement, for this request
	// and attempt, that it did not run.
	FaultRefused FaultKind = "refused"
	// FaultError fails with status 500 after the request has run.
	FaultError FaultKind = "error"
	// FaultUnavailable fails with status 503 without the statement that the
	// request did not run.
	FaultUnavailable FaultKind = "unavailable"
	// FaultHung accepts the request and never answers.
	FaultHung FaultKind = "hung"
	// FaultStalled stops sending in the middle of a stream and keeps it open.
	FaultStalled FaultKind = "stalled"
	// FaultHalfWritten aborts the connection in the middle of an answer's
	// event or body; a store host keeps half of a written slot and reports
	// that the write is complete.
	FaultHalfWritten FaultKind = "half-written"
	// FaultReset runs the request and aborts the connection before the answer.
	FaultReset FaultKind = "reset"
	// FaultDropEvents drops batches of cache events.
	FaultDropEvents FaultKind = "drop-events"
	// FaultRepeatEvents sends batches of cache events twice.
	FaultRepeatEvents FaultKind = "repeat-events"
	// FaultFull makes a store host answer that the tier is full.
	FaultFull FaultKind = "full"
	// FaultSilent stops announcements and reports.
	FaultSilent FaultKind = "silent"
)

var faultKinds = map[FaultKind]bool{
	FaultLate: true, FaultCrossed: true, FaultTruncated: true, FaultDuplicated: true,
	FaultRefused: true, FaultError: true, FaultUnavailable: true, FaultHung: true, FaultStalled: true,
	FaultHalfWritten: true, FaultReset: true, FaultDropEvents: true,
	FaultRepeatEvents: true, FaultFull: true, FaultSilent: true,
}

// Fault is an active fault.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Path limits the fault to requests for this path or, if it ends with a
	// slash, for all paths below it. Empty means all paths.
	Path string `json:"path,omitempty"`
	// Rate is the fraction of requests affected; zero means all.
	Rate float64 `json:"rate,omitempty"`
	// Count is the number of times that the fault takes effect, on a request,
	// an announcement, a report or a batch of cache events, before it is
	// removed; zero means unlimited.
	Count int `json:"count,omitempty"`
	// DelayMillis is the delay of FaultLate in milliseconds.
	DelayMillis int64 `json:"delay_ms,omitempty"`
}

// maxFaults bounds the number of active faults.
const maxFaults = 64

// Validate returns an error for the first invalid field of f.
func (f Fault) Validate() error {
	switch {
	case !faultKinds[f.Kind]:
		return fmt.Errorf("kind: unknown fault %q", f.Kind)
	case f.Rate < 0 || f.Rate > 1:
		return fmt.Errorf("rate: %v is not between 0 and 1", f.Rate)
	case f.Count < 0:
		return fmt.Errorf("count: %d is negative", f.Count)
	case f.DelayMillis < 0:
		return fmt.Errorf("delay_ms: %d is negative", f.DelayMillis)
	}
	return nil
}

// covers reports whether the fault applies to requests for path.
func (f Fault) covers(path string) bool {
	if f.Path == "" || f.Path == path {
		return true
	}
	return strings.HasSuffix(f.Path, "/") && strings.HasPrefix(path, f.Path)
}

// Faults are the active faults of one stand-in. They can be changed while it
// runs. It implements http.Handler for PathFaults.
type Faults struct {
	active atomic.Int64
	mu     sync.Mutex
	random *rand.Rand
	faults []Fault
	struck map[FaultKind]uint64
}

// NewFaults returns an empty set of faults. The seed determines which requests
// a fault with a Rate affects.
func NewFaults(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, 0)), struck: make(map[FaultKind]uint64)}
}

// Add activates a fault.
func (f *Faults) Add(fault Fault) error {
	if err := fault.Validate(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) >= maxFaults {
		return fmt.Errorf("%d faults are on already", maxFaults)
	}
	f.faults = append(f.faults, fault)
	f.active.Store(int64(len(f.faults)))
	return nil
}

// Clear removes all faults.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = nil
	f.active.Store(0)
}

// Take returns an active fault of this kind that applies to a request for path,
// and counts its use. It returns false if there is none. Each call makes a new
// random choice for a fault with a Rate.
func (f *Faults) Take(kind FaultKind, path string) (Fault, bool) {
	if f.active.Load() == 0 {
		return Fault{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, fault := range f.faults {
		if fault.Kind != kind || !fault.covers(path) {
			continue
		}
		if fault.Rate > 0 && f.random.Float64() >= fault.Rate {
			continue
		}
		f.struck[kind]++
		f.countStrike(i)
		return fault, true
	}
	return Fault{}, false
}

// countStrike decrements the Count of the fault at index i and removes the
// fault when it reaches zero.
func (f *Faults) countStrike(i int) {
	if f.faults[i].Count == 0 {
		return
	}
	f.faults[i].Count--
	if f.faults[i].Count == 0 {
		f.faults = append(f.faults[:i], f.faults[i+1:]...)
		f.active.Store(int64(len(f.faults)))
	}
}

// Injected returns the number of uses of each kind. Clear doesn't reset it.
func (f *Faults) Injected() map[FaultKind]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[FaultKind]uint64, len(f.struck))
	for kind, count := range f.struck {
		counts[kind] = count
	}
	return counts
}

// ServeHTTP lists (GET), adds (POST) or clears (DELETE) faults.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		f.mu.Lock()
		list := append([]Fault{}, f.faults...)
		f.mu.Unlock()
		upstreamapi.WriteJSON(w, http.StatusOK, list)
	case http.MethodPost:
		var fault Fault
		err := upstreamapi.DecodeBounded(r.Body, upstreamapi.MaxErrorBytes, &fault)
		if err == nil {
			err = f.Add(fault)
		}
		if err != nil {
			upstreamapi.WriteError(w, http.StatusBadRequest, "invalid_fault", err.Error())
			return
		}
		upstreamapi.WriteJSON(w, http.StatusOK, fault)
	case http.MethodDelete:
		f.Clear()
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// applyBeforeRun applies the faults that take effect before a request runs. It
// returns false if the request must not run.
func (f *Faults) applyBeforeRun(w http.ResponseWriter, r *http.Request) bool {
	if f.active.Load() == 0 {
		return true
	}
	path := r.URL.Path
	if fault, ok := f.Take(FaultLate, path); ok {
		if sleep(r.Context(), time.Duration(fault.DelayMillis)*time.Millisecond) != nil {
			return false
		}
	}
	if _, ok := f.Take(FaultHung, path); ok {
		<-r.Context().Done()
		return false
	}
	if _, ok := f.Take(FaultRefused, path); ok {
		refuse(w, r, http.StatusServiceUnavailable, "refused by a fault")
		return false
	}
	if _, ok := f.Take(FaultUnavailable, path); ok {
		upstreamapi.WriteError(w, http.StatusServiceUnavailable, "unavailable", "unavailable by a fault")
		return false
	}
	return true
}

// refuse answers that the attempt identified by the request's headers has not
// run and will not run.
func refuse(w http.ResponseWriter, r *http.Request, status int, reason string) {
	if request, attempt, err := upstreamapi.ReadAttempt(r.Header); err == nil {
		upstreamapi.SetAttempt(w.Header(), request, attempt)
		w.Header().Set(httpsend.HeaderNotRun, httpsend.RefusalValue(request, attempt))
	}
	upstreamapi.WriteError(w, status, "not_run", reason)
}

// abortConnection closes the connection before the answer is complete. It must
// be called on the goroutine of an HTTP handler.
func abortConnection() { panic(http.ErrAbortHandler) }

// sleep waits for d or until ctx is done; it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
