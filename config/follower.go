package config

import (
	"errors"
	"fmt"
)

// Update advances a follower. At most one field is set; none means that the
// follower has the latest revision.
type Update struct {
	Delta *Delta        `cbor:"1,keyasint,omitempty" json:"delta,omitempty"`
	Full  *FullRevision `cbor:"2,keyasint,omitempty" json:"full,omitempty"`
}

// FullRevision is a complete revision.
type FullRevision struct {
	Revision Revision `cbor:"1,keyasint" json:"revision"`
	Document Document `cbor:"2,keyasint" json:"document"`
}

// Empty reports whether the update has no content.
func (u *Update) Empty() bool { return u.Delta == nil && u.Full == nil }

// ErrGap is returned for a delta that starts after the follower's revision. The
// follower subscribes again from its current revision.
var ErrGap = errors.New("config: delta starts after the current revision")

// Follower is an entry's view of the configuration. Its revision only
// increases: an update that is late, repeated or from a lagging host has no
// effect. It is not safe for concurrent use; the snapshots it returns are.
type Follower struct {
	current *Snapshot
}

// NewFollower returns a follower at revision zero.
func NewFollower() *Follower {
	return &Follower{current: Empty()}
}

// Current returns the follower's revision.
func (f *Follower) Current() *Snapshot { return f.current }

// Apply applies an update and reports whether it advanced the follower.
//
// A delta that starts before the current revision is applied like one that
// starts at it: it contains the final value of every item changed since its
// start.
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
