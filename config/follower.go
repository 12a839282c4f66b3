package config

import (
	"errors"
	"fmt"
)

// Update brings a follower forward. At most one field is set; none means that
// the follower holds the latest revision.
type Update struct {
	Delta *Delta        `cbor:"1,keyasint,omitempty" json:"delta,omitempty"`
	Full  *FullRevision `cbor:"2,keyasint,omitempty" json:"full,omitempty"`
}

// FullRevision is a whole revision.
type FullRevision struct {
	Revision Revision `cbor:"1,keyasint" json:"revision"`
	Document Document `cbor:"2,keyasint" json:"document"`
}

// Empty reports whether the update changes nothing.
func (u *Update) Empty() bool { return u.Delta == nil && u.Full == nil }

// ErrGap reports a delta that starts after the revision held. The follower
// subscribes again with the revision it holds.
var ErrGap = errors.New("config: delta starts after the revision held")

// Follower is an entry's view of the configuration. It only moves forward: an
// update that is late, repeated or from a host that lags changes nothing. It
// is not safe for concurrent use; the snapshots it returns are.
type Follower struct {
	current *Snapshot
}

// NewFollower returns a follower that holds nothing yet.
func NewFollower() *Follower {
	return &Follower{current: Empty()}
}

// Current returns the revision held.
func (f *Follower) Current() *Snapshot { return f.current }

// Apply takes an update and reports whether it moved the follower forward.
//
// A delta that starts before the revision held is as good as one that starts
// there: it states the final value of every item changed since its start.
func (f *Follower) Apply(update Update) (bool, error) {
	if update.Full != nil {
		return f.applyFull(update.Full)
	}
	if update.Delta == nil {
		return false, nil
	}
	return f.applyDelta(update.Delta)
}

func (f *Follower) applyFull(full *FullRevision) (bool, error) {
	if full.Revision <= f.current.revision {
		return false, nil
	}
	next, err := NewSnapshot(full.Revision, full.Document)
	if err != nil {
		return false, fmt.Errorf("config: revision %d: %w", full.Revision, err)
	}
	f.current = next
	return true, nil
}

func (f *Follower) applyDelta(delta *Delta) (bool, error) {
	if delta.To <= f.current.revision {
		return false, nil
	}
	if delta.From > f.current.revision {
		return false, ErrGap
	}
	next, err := f.current.advance(*delta)
	if err != nil {
		return false, fmt.Errorf("config: delta to revision %d: %w", delta.To, err)
	}
	f.current = next
	return true, nil
}
