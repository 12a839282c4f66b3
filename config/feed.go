package config

// Feed is a follower that serves other followers: a relay's copy of the
// configuration. It is not safe for concurrent use.
type Feed struct {
	follower *Follower
	deltas   deltaLog
}

// NewFeed returns a feed at revision zero.
func NewFeed() *Feed {
	return &Feed{follower: NewFollower(), deltas: newDeltaLog()}
}

// Current returns the feed's revision.
func (f *Feed) Current() *Snapshot { return f.follower.Current() }

// Apply applies an update and reports whether it advanced the feed.
func (f *Feed) Apply(update Update) (bool, error) {
	held := f.follower.Current().revision
	moved, err := f.follower.Apply(update)
	if err != nil || !moved {
		return moved, err
	}
	f.recordDelta(held, update)
	return true, nil
}

// recordDelta stores the delta with which the feed advanced from revision held.
// A delta that starts before held is stored as one that starts at held: it
// contains the final value of every item changed since its own start. A full
// revision clears the log, because no kept delta leads to the new revision.
func (f *Feed) recordDelta(held Revision, update Update) {
	if update.Delta == nil {
		f.deltas = newDeltaLog()
		return
	}
	delta := *update.Delta
	delta.From = held
	f.deltas.push(delta)
}

// Since returns the update that takes a follower from revision held to the
// feed's revision.
func (f *Feed) Since(held Revision) Update {
	return f.deltas.since(f.follower.Current(), held)
}
