package config

import (
	"fmt"
	"sort"
)

// deltaLog keeps the latest deltas. Each starts at the revision where the
// previous one ends. items is the sum of the deltas' sizes.
type deltaLog struct {
	kept  ring[Delta]
	items int
}

func newDeltaLog() deltaLog {
	return deltaLog{kept: ring[Delta]{limit: DeltasKept}}
}

func (l *deltaLog) push(delta Delta) {
	l.items += delta.Size()
	for _, evicted := range l.kept.push(delta) {
		l.items -= evicted.Size()
	}
	for l.items > DeltaItemsKept {
		for _, evicted := range l.kept.trim(1) {
			l.items -= evicted.Size()
		}
	}
}

// RangeError is returned if the changes between two revisions are not
// available.
type RangeError struct {
	From, To Revision
	// Oldest and Latest are the bounds of the range that is kept.
	Oldest, Latest Revision
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("the changes from revision %d to %d are not known; those from %d to %d are kept", e.From, e.To, e.Oldest, e.Latest)
}

// between returns the changes from one revision to a later one, which must be
// the end of a kept delta. The result may start before from; it holds the final
// value of every item changed since its own start. The error is a *RangeError.
func (l *deltaLog) between(from, to Revision) (Delta, error) {
	deltas := l.kept.items
	rangeErr := &RangeError{From: from, To: to}
	if len(deltas) == 0 {
		return Delta{}, rangeErr
	}
	rangeErr.Oldest, rangeErr.Latest = deltas[0].From, deltas[len(deltas)-1].To
	if from < rangeErr.Oldest || from >= to || to > rangeErr.Latest {
		return Delta{}, rangeErr
	}
	first := sort.Search(len(deltas), func(i int) bool { return deltas[i].To > from })
	last := sort.Search(len(deltas), func(i int) bool { return deltas[i].To >= to })
	if deltas[last].To != to {
		return Delta{}, rangeErr
	}
	return Merge(deltas[first : last+1]), nil
}

// since returns the update from held to current: empty, a delta, or the full
// revision if the delta is no longer kept or would be as large.
func (l *deltaLog) since(current *Snapshot, held Revision) Update {
	if held >= current.revision {
		return Update{}
	}
	delta, err := l.between(held, current.revision)
	if err != nil || delta.Size() >= current.Items() {
		return Update{Full: &FullRevision{Revision: current.revision, Document: current.Document()}}
	}
	return Update{Delta: &delta}
}
