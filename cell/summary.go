package cell

import (
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// MaxSummaries is the maximum number of cells in a Directory.
const MaxSummaries = 4096

// SummaryLifetime is how long a summary is valid. Owners send one per second; three may be
// lost before the cell counts as unreachable.
const SummaryLifetime = 4 * time.Second

// Summary describes a cell to entries that do not own it.
type Summary struct {
	Cell      ident.Cell `cbor:"1,keyasint"`
	Upstreams int        `cbor:"2,keyasint"`
	// FreeSlots is how many more requests the cell's upstreams can run concurrently.
	FreeSlots int `cbor:"3,keyasint"`
	// QueueWait is the predicted queueing time of a new request.
	QueueWait time.Duration `cbor:"4,keyasint"`
	// PrefillRate is the mean prefill rate of an upstream in tokens per second.
	PrefillRate float64 `cbor:"5,keyasint"`
	// LinkBusy is the mean utilization of the store links, 0 to 1.
	LinkBusy float64 `cbor:"6,keyasint"`
	// Sequence grows with each summary of one incarnation of an owner.
	Sequence uint64 `cbor:"7,keyasint"`
	// From is the owner that sent the summary.
	From ident.Host `cbor:"8,keyasint"`
}

// Directory holds the summaries of the cells that an entry does not own. It is not safe for
// concurrent use.
type Directory struct {
	byCell  map[ident.Cell]*record
	byModel map[ident.Model][]ident.Cell
}

// record is a cell's latest summary and the time at which it was received.
type record struct {
	summary    Summary
	receivedAt time.Time
	// sent is the number of requests sent to the cell since the summary. It is counted so
	// that not all requests between two summaries go to the same cell.
	sent int
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	return &Directory{
		byCell:  make(map[ident.Cell]*record),
		byModel: make(map[ident.Model][]ident.Cell),
	}
}

// Put stores a summary. It returns false if the summary is not newer than the stored one
// from the same owner, or if the Directory is full.
func (d *Directory) Put(now time.Time, s Summary) bool {
	r := d.byCell[s.Cell]
	if r == nil {
		if len(d.byCell) >= MaxSummaries {
			return false
		}
		r = &record{}
		d.byCell[s.Cell] = r
		d.byModel[s.Cell.Model] = append(d.byModel[s.Cell.Model], s.Cell)
	} else if r.summary.From == s.From && s.Sequence <= r.summary.Sequence {
		return false
	}
	*r = record{summary: s, receivedAt: now}
	return true
}

// Get returns the summary of a cell, and false if there is none or it is older than
// SummaryLifetime.
func (d *Directory) Get(now time.Time, c ident.Cell) (Summary, bool) {
	r := d.byCell[c]
	if r == nil || now.Sub(r.receivedAt) > SummaryLifetime {
		return Summary{}, false
	}
	return r.summary, true
}

// sampledCells is how many cells Pick compares. Two random choices already keep the fullest
// cell within a small constant of the mean; four allow for cells with expired summaries.
const sampledCells = 4

// Pick returns the cell of the model with the shortest wait among sampledCells random ones,
// and counts the request as sent there. It returns false if the sample has no valid summary.
// Its cost does not depend on the number of cells.
func (d *Directory) Pick(now time.Time, model ident.Model, random *rand.Rand) (ident.Cell, bool) {
	cells := d.byModel[model]
	if len(cells) == 0 {
		return ident.Cell{}, false
	}
	var best *record
	for range sampledCells {
		r := d.byCell[cells[random.IntN(len(cells))]]
		if now.Sub(r.receivedAt) > SummaryLifetime {
			continue
		}
		if best == nil || r.betterThan(best) {
			best = r
		}
	}
	if best == nil {
		return ident.Cell{}, false
	}
	best.sent++
	return best.summary.Cell, true
}

// betterThan reports whether the cell has a shorter wait than other or, if equal, more free
// slots.
func (r *record) betterThan(other *record) bool {
	if r.summary.QueueWait != other.summary.QueueWait {
		return r.summary.QueueWait < other.summary.QueueWait
	}
	return r.summary.FreeSlots-r.sent > other.summary.FreeSlots-other.sent
}

// Expire removes cells without a summary for expireAfter.
func (d *Directory) Expire(now time.Time) {
	for model, cells := range d.byModel {
		kept := cells[:0]
		for _, c := range cells {
			if now.Sub(d.byCell[c].receivedAt) > expireAfter {
				delete(d.byCell, c)
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(d.byModel, model)
			continue
		}
		d.byModel[model] = kept
	}
}

// expireAfter is how long a cell is kept without a summary. It exceeds a partition of a
// region for an hour, after which the cell most likely becomes reachable again.
const expireAfter = 2 * time.Hour
