package audit

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// BatchID identifies a batch of a team.
type BatchID struct {
	Team  ident.Team `cbor:"1,keyasint" json:"team"`
	Batch string     `cbor:"2,keyasint" json:"batch"`
}

// Declaration declares a batch before or while its requests are sent.
type Declaration struct {
	BatchID
	// Expected is the number of different items that the batch must have.
	Expected int       `cbor:"3,keyasint" json:"expected"`
	Deadline time.Time `cbor:"4,keyasint" json:"deadline"`
}

// BatchState is the state of a batch.
type BatchState string

// The states of a batch.
const (
	BatchOpen     BatchState = "open"
	BatchComplete BatchState = "complete"
	// BatchOverdue means that the deadline has passed and the batch is not complete.
	BatchOverdue BatchState = "overdue"
)

// BatchStatus is the status of a batch.
type BatchStatus struct {
	Declaration
	State BatchState `cbor:"5,keyasint" json:"state"`
	// Resolved counts the items that are done or failed by the upstream; Open
	// counts the accepted items without an outcome; Unresolved counts the items whose
	// last outcome is not-run or unknown; Missing counts the items never received.
	Resolved   int `cbor:"6,keyasint" json:"settled"`
	Open       int `cbor:"7,keyasint" json:"open"`
	Unresolved int `cbor:"8,keyasint" json:"unsettled"`
	Missing    int `cbor:"9,keyasint" json:"missing"`
}

// itemState is the state of an item of a batch.
type itemState uint8

const (
	itemOpen itemState = iota + 1
	itemResolved
	itemUnresolved
)

type batch struct {
	declaration Declaration
	items       map[string]itemState
	// counts has the number of items in each state, so that the status of a large
	// batch is computed without a walk over its items.
	counts [itemUnresolved + 1]int
}

func newBatch(d Declaration) *batch {
	return &batch{declaration: d, items: make(map[string]itemState)}
}

func (b *batch) set(name string, state itemState) {
	if old, seen := b.items[name]; seen {
		b.counts[old]--
	}
	b.items[name] = state
	b.counts[state]++
}

// itemName returns the name by which a request counts in its batch. A resent item keeps
// its name, so that it counts once.
func itemName(o Opening) string {
	if o.Item != "" {
		return o.Item
	}
	return o.Request.String()
}

// declare registers a batch and reports whether it succeeded. It is idempotent for
// declarations with the same number of items.
func (t *Trace) declare(d Declaration) bool {
	if known, ok := t.batches[d.BatchID]; ok {
		return known.declaration.Expected == d.Expected
	}
	if d.Batch == "" || len(d.Batch) > MaxItemLength || d.Expected <= 0 || d.Expected > MaxBatchItems || len(t.batches) >= MaxBatches {
		return false
	}
	t.batches[d.BatchID] = newBatch(d)
	return true
}

// openItem records an accepted item. It returns false if the batch is not declared or
// is full: the loss of an item that isn't counted would not be detected.
func (t *Trace) openItem(o Opening) bool {
	b, known := t.batches[BatchID{Team: o.Team, Batch: o.Batch}]
	if !known {
		return false
	}
	name := itemName(o)
	state, seen := b.items[name]
	if !seen && len(b.items) >= MaxBatchItems {
		return false
	}
	if state != itemResolved {
		b.set(name, itemOpen)
	}
	return true
}

// closeItem records the outcome of an item. A resolved item stays resolved.
func (t *Trace) closeItem(r *Record) {
	b, known := t.batches[BatchID{Team: r.Team, Batch: r.Batch}]
	if !known {
		return
	}
	name := itemName(r.Opening)
	if b.items[name] == itemResolved {
		return
	}
	state := itemUnresolved
	if r.Kind == outcome.KindDone || r.Kind == outcome.KindFailed {
		state = itemResolved
	}
	b.set(name, state)
}

// dropOldBatches removes complete batches batchRetentionMillis after their deadline. An
// incomplete batch is kept until it is complete.
func (t *Trace) dropOldBatches() {
	if len(t.batches) < MaxBatches/2 {
		return
	}
	now := time.UnixMilli(t.now)
	maps.DeleteFunc(t.batches, func(_ BatchID, b *batch) bool {
		old := b.declaration.Deadline.UnixMilli()+batchRetentionMillis < t.now
		return old && b.status(now).State == BatchComplete
	})
}

func (b *batch) status(now time.Time) BatchStatus {
	s := BatchStatus{Declaration: b.declaration, State: BatchOpen}
	s.Resolved = b.counts[itemResolved]
	s.Open = b.counts[itemOpen]
	s.Unresolved = b.counts[itemUnresolved]
	s.Missing = max(0, s.Expected-len(b.items))
	switch {
	case s.Missing == 0 && s.Open == 0 && s.Unresolved == 0:
		s.State = BatchComplete
	case now.After(s.Deadline):
		s.State = BatchOverdue
	}
	return s
}

func (t *Trace) batchStatuses(now time.Time, q Query) []BatchStatus {
	if q.Request != nil {
		return nil
	}
	var statuses []BatchStatus
	for id, b := range t.batches {
		if q.Team != "" && q.Team != id.Team || q.Batch != "" && q.Batch != id.Batch {
			continue
		}
		status := b.status(now)
		if q.Open && status.State != BatchOverdue {
			continue
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b BatchStatus) int { return compareBatches(a.BatchID, b.BatchID) })
	return statuses[:min(len(statuses), MaxResults)]
}

type itemImage struct {
	Name  string    `cbor:"1,keyasint"`
	State itemState `cbor:"2,keyasint"`
}

type batchImage struct {
	Declaration
	Items []itemImage `cbor:"5,keyasint"`
}

func (b *batch) image() batchImage {
	img := batchImage{Declaration: b.declaration}
	for _, name := range slices.Sorted(maps.Keys(b.items)) {
		img.Items = append(img.Items, itemImage{Name: name, State: b.items[name]})
	}
	return img
}

func (img *batchImage) restore() *batch {
	b := newBatch(img.Declaration)
	for _, item := range img.Items {
		if item.State >= itemOpen && item.State <= itemUnresolved {
			b.set(item.Name, item.State)
		}
	}
	return b
}
