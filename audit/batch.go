package audit

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// BatchID names a batch of one team.
type BatchID struct {
	Team  ident.Team `cbor:"1,keyasint" json:"team"`
	Batch string     `cbor:"2,keyasint" json:"batch"`
}

// Declaration announces a batch before or while its requests are sent.
type Declaration struct {
	BatchID
	// Expected is how many different items the batch must have.
	Expected int       `cbor:"3,keyasint" json:"expected"`
	Deadline time.Time `cbor:"4,keyasint" json:"deadline"`
}

// BatchState is where a batch stands.
type BatchState string

// The states of a batch.
const (
	BatchOpen     BatchState = "open"
	BatchComplete BatchState = "complete"
	// BatchOverdue: its deadline has passed and items are missing.
	BatchOverdue BatchState = "overdue"
)

// BatchStatus is the account of one batch.
type BatchStatus struct {
	Declaration
	State BatchState `cbor:"5,keyasint" json:"state"`
	// Resolved counts items that are done or failed by the upstream; Open
	// counts items accepted without an outcome; Unsettled counts items whose
	// last outcome is not-run or unknown; Missing counts items never seen.
	Resolved   int `cbor:"6,keyasint" json:"settled"`
	Open       int `cbor:"7,keyasint" json:"open"`
	Unresolved int `cbor:"8,keyasint" json:"unsettled"`
	Missing    int `cbor:"9,keyasint" json:"missing"`
}

// itemState is where one item of a batch stands.
type itemState uint8

const (
	itemOpen itemState = iota + 1
	itemSettled
	itemUnsettled
)

type batch struct {
	declaration Declaration
	items       map[string]itemState
	// counts holds the number of items in each state, so that an account of a
	// large batch costs no walk over it.
	counts [itemUnsettled + 1]int
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

// itemName is the name under which a request counts in its batch: a resent
// item keeps its name, so it is counted once.
func itemName(o Opening) string {
	if o.Item != "" {
		return o.Item
	}
	return o.Request.String()
}

// declare registers a batch; declaring it again in the same way is harmless.
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

// batchOpened notes an accepted item. It reports false when the batch is not
// declared or has no room: an item that isn't counted could be skipped
// unnoticed.
func (t *Trace) batchOpened(o Opening) bool {
	b, known := t.batches[BatchID{Team: o.Team, Batch: o.Batch}]
	if !known {
		return false
	}
	name := itemName(o)
	state, seen := b.items[name]
	if !seen && len(b.items) >= MaxBatchItems {
		return false
	}
	if state != itemSettled {
		b.set(name, itemOpen)
	}
	return true
}

func (t *Trace) batchClosed(r *Record) {
	b, known := t.batches[BatchID{Team: r.Team, Batch: r.Batch}]
	if !known {
		return
	}
	name := itemName(r.Opening)
	if b.items[name] == itemSettled {
		return
	}
	state := itemUnsettled
	if r.Kind == outcome.KindDone || r.Kind == outcome.KindFailed {
		state = itemSettled
	}
	b.set(name, state)
}

// dropOldBatches forgets complete batches some days after their deadline. One
// that is not complete stays until it is.
func (t *Trace) dropOldBatches() {
	if len(t.batches) < MaxBatches/2 {
		return
	}
	now := time.UnixMilli(t.now)
	maps.DeleteFunc(t.batches, func(_ BatchID, b *batch) bool {
		old := b.declaration.Deadline.UnixMilli()+batchKeptMillis < t.now
		return old && b.status(now).State == BatchComplete
	})
}

func (b *batch) status(now time.Time) BatchStatus {
	s := BatchStatus{Declaration: b.declaration, State: BatchOpen}
	s.Resolved = b.counts[itemSettled]
	s.Open = b.counts[itemOpen]
	s.Unresolved = b.counts[itemUnsettled]
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
		if item.State >= itemOpen && item.State <= itemUnsettled {
			b.set(item.Name, item.State)
		}
	}
	return b
}
