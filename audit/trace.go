package audit

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// Limits of a Trace. They must be equal on all hosts of a group, or their states diverge.
const (
	MaxTraceOpen         = 1 << 17
	MaxTraceClosed       = 1 << 14
	MaxBatches           = 1 << 12
	MaxBatchItems        = 1 << 16
	MaxItemLength        = 128
	MaxTraceSources      = 1 << 14
	batchRetentionMillis = 7 * 24 * 60 * 60 * 1000
	overdueRetention     = 30 * 24 * time.Hour
)

// Source is an incarnation of an entry host that reports to a trace.
type Source struct {
	Host        ident.Host        `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
}

// TracedClosing closes a traced request.
type TracedClosing struct {
	Request ident.Request `cbor:"1,keyasint"`
	Closing Closing       `cbor:"2,keyasint"`
}

// TraceCommand is an entry of the replicated log: one report of a source.
type TraceCommand struct {
	NowMillis int64  `cbor:"1,keyasint"`
	Source    Source `cbor:"2,keyasint"`
	// Sequence grows by one with each report of a source. Without it, a duplicate
	// that arrives late would reopen closed requests.
	Sequence uint64          `cbor:"3,keyasint"`
	Open     []Opening       `cbor:"4,keyasint,omitempty"`
	Close    []TracedClosing `cbor:"5,keyasint,omitempty"`
	Declare  []Declaration   `cbor:"6,keyasint,omitempty"`
}

// Encode returns the command in the encoding of the log.
func (c TraceCommand) Encode() []byte { return wire.MustMarshal(c) }

// TraceResult is the result of a command.
type TraceResult struct {
	// Applied is false for a report that arrives after a later one, or that belongs to
	// a previous incarnation.
	Applied bool `cbor:"1,keyasint"`
	// Full lists the requests that could not be opened because of a limit or an
	// undeclared batch; they must be refused as not run.
	Full []ident.Request `cbor:"2,keyasint,omitempty"`
	// Refused lists the batches that can't be declared.
	Refused []BatchID `cbor:"3,keyasint,omitempty"`
	// Unmatched counts closings of requests that were not open.
	Unmatched int `cbor:"4,keyasint,omitempty"`
}

// Trace is the replicated record of fully audited requests and of batches. It is
// deterministic and not safe for concurrent use.
type Trace struct {
	now     int64
	open    map[ident.Request]Opening
	closed  []Record
	oldest  int
	batches map[BatchID]*batch
	sources map[ident.Host]sourceState
}

type sourceState struct {
	incarnation ident.Incarnation
	sequence    uint64
	// last is the result of the latest report, returned again if the report is resent.
	last TraceResult
}

// NewTrace returns an empty trace.
func NewTrace() *Trace {
	return &Trace{
		open:    make(map[ident.Request]Opening),
		batches: make(map[BatchID]*batch),
		sources: make(map[ident.Host]sourceState),
	}
}

// Execute applies a command. A resent latest report returns its first result.
func (t *Trace) Execute(c TraceCommand) TraceResult {
	t.now = max(t.now, c.NowMillis)
	t.dropOldBatches()
	if state := t.sources[c.Source.Host]; state.isRepeat(c) {
		return state.last
	}
	if !t.admit(c.Source, c.Sequence) {
		return TraceResult{}
	}
	result := TraceResult{Applied: true}
	for _, declaration := range c.Declare {
		if !t.declare(declaration) {
			result.Refused = append(result.Refused, declaration.BatchID)
		}
	}
	for _, opening := range c.Open {
		if !t.openRequest(opening) {
			result.Full = append(result.Full, opening.Request)
		}
	}
	for _, closing := range c.Close {
		if !t.closeRequest(closing) {
			result.Unmatched++
		}
	}
	state := t.sources[c.Source.Host]
	state.last = result
	t.sources[c.Source.Host] = state
	return result
}

// isRepeat reports whether c is the latest applied report, resent.
func (s sourceState) isRepeat(c TraceCommand) bool {
	return s.incarnation == c.Source.Incarnation && s.sequence == c.Sequence && s.last.Applied
}

// admit reports whether a report is to be applied: each report of a source's latest
// incarnation is admitted once.
func (t *Trace) admit(source Source, sequence uint64) bool {
	state, known := t.sources[source.Host]
	switch {
	case !known && len(t.sources) >= MaxTraceSources:
		return false
	case source.Incarnation < state.incarnation:
		return false
	case source.Incarnation == state.incarnation && sequence <= state.sequence:
		return false
	}
	t.sources[source.Host] = sourceState{incarnation: source.Incarnation, sequence: sequence}
	return true
}

func (t *Trace) openRequest(o Opening) bool {
	if _, known := t.open[o.Request]; known {
		return true
	}
	if len(t.open) >= MaxTraceOpen {
		t.dropLongOverdue()
	}
	if len(t.open) >= MaxTraceOpen || len(o.Item) > MaxItemLength {
		return false
	}
	if o.Batch != "" && !t.openItem(o) {
		return false
	}
	t.open[o.Request] = o
	return true
}

// dropLongOverdue frees capacity by removing requests that are overdue for so long
// that they can no longer be acted on.
func (t *Trace) dropLongOverdue() {
	horizon := time.UnixMilli(t.now).Add(-overdueRetention)
	maps.DeleteFunc(t.open, func(_ ident.Request, o Opening) bool {
		return o.Deadline.Before(horizon)
	})
}

func (t *Trace) closeRequest(c TracedClosing) bool {
	opening, known := t.open[c.Request]
	if !known {
		return false
	}
	delete(t.open, c.Request)
	c.Closing.truncate()
	record := Record{Opening: opening, Closing: c.Closing, Closed: true}
	if opening.Batch != "" {
		t.closeItem(&record)
	}
	if len(t.closed) < MaxTraceClosed {
		t.closed = append(t.closed, record)
		return true
	}
	t.closed[t.oldest] = record
	t.oldest = (t.oldest + 1) % MaxTraceClosed
	return true
}

// Query returns the open and the retained closed requests that q selects, with the
// status of the batches that it selects.
func (t *Trace) Query(now time.Time, q Query) Result {
	var found []Record
	for _, opening := range t.open {
		record := Record{Opening: opening}
		if q.matches(now, &record) {
			found = append(found, record)
		}
	}
	for i := range t.closed {
		if q.matches(now, &t.closed[i]) {
			found = append(found, t.closed[i])
		}
	}
	result := cut(found, q.limit())
	result.Batches = t.batchStatuses(now, q)
	return result
}

// OpenCount returns the number of open requests.
func (t *Trace) OpenCount() int { return len(t.open) }

type traceImage struct {
	Now     int64         `cbor:"1,keyasint"`
	Open    []Opening     `cbor:"2,keyasint"`
	Closed  []Record      `cbor:"3,keyasint"`
	Oldest  int           `cbor:"4,keyasint"`
	Batches []batchImage  `cbor:"5,keyasint"`
	Sources []sourceImage `cbor:"6,keyasint"`
}

type sourceImage struct {
	Source   Source      `cbor:"1,keyasint"`
	Sequence uint64      `cbor:"2,keyasint"`
	Last     TraceResult `cbor:"3,keyasint"`
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (t *Trace) Snapshot() ([]byte, error) {
	img := traceImage{Now: t.now, Closed: t.closed, Oldest: t.oldest}
	img.Open = slices.SortedFunc(maps.Values(t.open), func(a, b Opening) int {
		return slices.Compare(a.Request[:], b.Request[:])
	})
	for _, id := range slices.SortedFunc(maps.Keys(t.batches), compareBatches) {
		img.Batches = append(img.Batches, t.batches[id].image())
	}
	for _, host := range slices.Sorted(maps.Keys(t.sources)) {
		state := t.sources[host]
		source := Source{Host: host, Incarnation: state.incarnation}
		img.Sources = append(img.Sources, sourceImage{Source: source, Sequence: state.sequence, Last: state.last})
	}
	return wire.Marshal(img)
}

func compareBatches(a, b BatchID) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Batch, b.Batch))
}

var errTraceImage = errors.New("audit: the trace in the snapshot is corrupt")

// Restore replaces the state by that of a snapshot.
func (t *Trace) Restore(snapshot []byte) error {
	var img traceImage
	if err := wire.Unmarshal(snapshot, &img); err != nil {
		return err
	}
	if len(img.Closed) > MaxTraceClosed || img.Oldest < 0 || img.Oldest >= max(1, len(img.Closed)) {
		return errTraceImage
	}
	*t = *NewTrace()
	t.now, t.closed, t.oldest = img.Now, img.Closed, img.Oldest
	for _, opening := range img.Open {
		t.open[opening.Request] = opening
	}
	for _, b := range img.Batches {
		t.batches[b.BatchID] = b.restore()
	}
	for _, s := range img.Sources {
		t.sources[s.Source.Host] = sourceState{incarnation: s.Source.Incarnation, sequence: s.Sequence, last: s.Last}
	}
	return nil
}
