package member

// feedHistory is the number of updates that a Feed keeps for deltas.
const feedHistory = 256

// Feed is a relay's copy of the directory. It is a View that also keeps recent
// updates for the views of the relay's children. It is not safe for concurrent
// use.
type Feed struct {
	View
	history []Update
}

// NewFeed returns an empty feed.
func NewFeed() *Feed {
	return &Feed{View: *NewView()}
}

// Apply advances the feed by an update. Errors are those of View.Apply.
func (f *Feed) Apply(update Update) error {
	if err := f.View.Apply(update); err != nil {
		return err
	}
	if update.Snapshot {
		f.history = nil
		return nil
	}
	f.history = append(f.history, update)
	if len(f.history) >= 2*feedHistory {
		f.history = append([]Update(nil), f.history[feedHistory:]...)
	}
	return nil
}

// Since returns the update from the given version to the version of this feed. The
// second result is false if the given version is the same or a later one: a child
// whose previous parent had later changes waits until this feed has them too.
func (f *Feed) Since(have Version) (Update, bool) {
	if have.Compare(f.version) >= 0 {
		return Update{}, false
	}
	for i := range f.history {
		if f.history[i].From == have {
			return f.join(f.history[i:]), true
		}
	}
	return f.snapshot(), true
}

// join combines consecutive deltas into one.
func (f *Feed) join(updates []Update) Update {
	var changes []Member
	for i := range updates {
		changes = append(changes, updates[i].Members...)
	}
	return Update{From: updates[0].From, To: f.version, Members: latestOnly(changes)}
}

func (f *Feed) snapshot() Update {
	all := make([]Member, 0, len(f.members))
	for _, m := range f.members {
		all = append(all, m)
	}
	SortByHost(all)
	return Update{To: f.version, Snapshot: true, Members: all}
}
