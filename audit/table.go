package audit

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Options are the limits of a Table.
type Options struct {
	// MaxOpen is the maximum number of open requests.
	MaxOpen int
	// MaxClosed is the number of closed records that are retained.
	MaxClosed int
	// SampleEvery is the sampling interval: one in SampleEvery closed records of
	// sampled classes is retained.
	SampleEvery uint64
}

// DefaultOptions returns the options of an entry host.
func DefaultOptions() Options {
	return Options{MaxOpen: 1 << 16, MaxClosed: 1 << 14, SampleEvery: 16}
}

// ErrFull reports that too many requests are open. The request must be refused as
// not run, since its loss would not be detected.
var ErrFull = errors.New("audit: too many open requests")

// ErrDuplicate reports a request identity that is already open.
var ErrDuplicate = errors.New("audit: request is open already")

// Counts are totals since the creation of the table.
type Counts struct {
	Opened  uint64
	Closed  uint64
	Overdue uint64
	// Unmatched counts closings of requests that were not open.
	Unmatched uint64
}

// Table tracks the requests of one entry host. It is not safe for concurrent use.
type Table struct {
	options Options
	open    map[ident.Request]*openEntry
	ring    []Record
	next    int
	counts  Counts
	sampled uint64
}

type openEntry struct {
	Opening
	reported bool
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	return &Table{options: options, open: make(map[ident.Request]*openEntry)}
}

// Open registers an accepted request.
func (t *Table) Open(o Opening) error {
	if _, known := t.open[o.Request]; known {
		return ErrDuplicate
	}
	if len(t.open) >= t.options.MaxOpen {
		return ErrFull
	}
	t.open[o.Request] = &openEntry{Opening: o}
	t.counts.Opened++
	return nil
}

// Close closes an open request with its outcome and returns its record. It returns
// false for a request that is not open.
func (t *Table) Close(request ident.Request, c Closing) (Record, bool) {
	entry, known := t.open[request]
	if !known {
		t.counts.Unmatched++
		return Record{}, false
	}
	delete(t.open, request)
	t.counts.Closed++
	c.truncate()
	record := Record{Opening: entry.Opening, Closing: c, Closed: true}
	if t.retains(entry.Mode) {
		t.keep(record)
	}
	return record, true
}

// retains reports whether the closed record of a request with this audit mode is retained.
func (t *Table) retains(mode Mode) bool {
	if mode == ModeFull {
		return true
	}
	t.sampled++
	return t.options.SampleEvery <= 1 || t.sampled%t.options.SampleEvery == 0
}

// keep adds a record to the ring, in place of the oldest one if the ring is full.
func (t *Table) keep(record Record) {
	if t.options.MaxClosed <= 0 {
		return
	}
	if len(t.ring) < t.options.MaxClosed {
		t.ring = append(t.ring, record)
		return
	}
	t.ring[t.next] = record
	t.next = (t.next + 1) % t.options.MaxClosed
}

// NewlyOverdue returns the requests that became overdue since the last call, each
// once, for the log.
func (t *Table) NewlyOverdue(now time.Time) []Opening {
	var overdue []Opening
	for _, entry := range t.open {
		if !entry.reported && now.After(entry.Deadline) {
			entry.reported = true
			t.counts.Overdue++
			overdue = append(overdue, entry.Opening)
		}
	}
	slices.SortFunc(overdue, compareOpenings)
	return overdue
}

func compareOpenings(a, b Opening) int {
	return cmp.Or(a.Deadline.Compare(b.Deadline), slices.Compare(a.Request[:], b.Request[:]))
}

// Counts returns the totals.
func (t *Table) Counts() Counts { return t.counts }

// OpenCount returns the number of open requests.
func (t *Table) OpenCount() int { return len(t.open) }
