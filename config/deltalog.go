package config

import (
	"fmt"
	"sort"
)

// deltaLog keeps the latest deltas, each of which starts where the one before
// it ended.
type deltaLog struct {
	kept  ring[Delta]
	items int
}

func newDeltaLog() deltaLog {
	return deltaLog{kept: ring[Delta]{limit: DeltasKept}}
}

func (l *deltaLog) push(delta Delta) {
	l.items += delta.Size()
	for _, gone := range l.kept.push(delta) {
		l.items -= gone.Size()
	}
	for l.items > DeltaItemsKept {
		for _, gone := range l.kept.trim(1) {
			l.items -= gone.Size()
		}
	}
}

// RangeError reports that the changes between two revisions are not known.
type RangeError struct {
	From, To Revision
	// Oldest and Latest bound what is kept.
	Oldest, Latest Revision
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("the changes from revision %d to %d are not known; those from %d to %d are kept", e.From, e.To, e.Oldest, e.Latest)
}

// between returns the changes from one revision to a later one, which must be
// the end of a kept delta. The result may start before from: it states the
// final value of every item changed since its own start. Its error is a
// *RangeError.
func (l *deltaLog) between(from, to Revision) (Delta, error) {
	deltas := l.kept.items
	outside := &RangeError{From: from, To: to}
	if len(deltas) == 0 {
		return Delta{}, outside
	}
	outside.Oldest, outside.Latest = deltas[0].From, deltas[len(deltas)-1].To
	if from < outside.Oldest || from >= to || to > outside.Latest {
		return Delta{}, outside
	}
	first := sort.Search(len(deltas), func(i int) bool { return deltas[i].To > from })
	last := sort.Search(len(deltas), func(i int) bool { return deltas[i].To >= to })
	if deltas[last].To != to {
		return Delta{}, outside
	}
	return Merge(deltas[first : last+1]), nil
}

// since returns what brings a follower from held to current: nothing, a delta,
// or the whole document when the delta is no longer kept or would be as large.
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
