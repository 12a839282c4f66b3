package steward

import (
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
)

// sharedBook is this host's book of shelves: written from the sources while it
// leads, and from the leader's answers otherwise. A host that comes to lead goes
// on from what it holds, so that an election makes nobody read listings again.
type sharedBook struct {
	mu   sync.Mutex
	book *cacheindex.Index
	// leads tells that this host writes the book from the sources. An answer of
	// a leader before, or of a source to a leadership that ended, comes too late.
	leads bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newSharedBook() *sharedBook {
	return &sharedBook{book: cacheindex.NewIndex(true), changed: make(chan struct{})}
}

// notify wakes those who wait for a change. The caller holds the lock.
func (b *sharedBook) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// news returns a channel that is closed at the next change.
func (b *sharedBook) news() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *sharedBook) ask() *cacheindex.Query {
	b.mu.Lock()
	defer b.mu.Unlock()
	question := b.book.Ask()
	return &question
}

// take takes in the leader's answer and reports whether the book is complete.
func (b *sharedBook) take(update *cacheindex.Update) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leads {
		return false
	}
	complete := b.book.Apply(update)
	if len(update.Batches) > 0 || !complete {
		b.notify()
	}
	return complete
}

// answer returns what a watcher lacks, and whether that is anything.
func (b *sharedBook) answer(question *cacheindex.Query) (*cacheindex.Update, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lacking(question)
}

// answerWithStates also tells which of the stores may be used at the moment that
// the answer stands for.
func (b *sharedBook) answerWithStates(question *cacheindex.Query, stores []string, now time.Time) (*cacheindex.Update, bool, []StoreState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	update, found := b.lacking(question)
	return update, found, b.states(stores, now)
}

// lacking is answer for a caller that holds the lock.
func (b *sharedBook) lacking(question *cacheindex.Query) (*cacheindex.Update, bool) {
	update := b.book.Answer(question)
	return &update, len(update.Batches) > 0 || update.Unknown
}

// lead begins the term of this host. What it held of the stores is not known to
// hold until each has been asked.
func (b *sharedBook) lead(term uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leads = true
	b.book.StartTerm(term)
	for _, address := range b.book.Addresses() {
		b.book.Inventory(address).Close()
	}
	b.notify()
}

// stepDown ends the term of this host.
func (b *sharedBook) stepDown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leads = false
}

// states tells which of the stores may be used. The caller holds the lock.
func (b *sharedBook) states(stores []string, now time.Time) []StoreState {
	states := make([]StoreState, 0, len(stores))
	for _, address := range stores {
		shelf := b.book.Inventory(address)
		// A store that was never listed would look open and empty: entries that have
		// just started would take that for the first word on it.
		states = append(states, StoreState{Address: address, Incarnation: shelf.Incarnation(), Open: shelf.Incarnation() != 0 && shelf.Open(now)})
	}
	return states
}

// place is how far a source's events are followed, and in which life; life 0 if
// they are not.
func (b *sharedBook) place(address string) (next, life uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, known := b.book.Next(address)
	if !known {
		return 0, 0
	}
	return next, b.book.Inventory(address).Incarnation()
}

// add takes in the latest events of a source.
func (b *sharedBook) add(address string, events StoreEvents) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leads {
		return
	}
	b.write(address, events.Changes, events.Next, nil)
}

// replace takes in a listing of a source. In the same life only the differences
// are told on.
func (b *sharedBook) replace(address string, listing StoreEvents) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leads {
		return
	}
	shelf := b.book.Inventory(address)
	if listing.Incarnation == 0 || listing.Incarnation != shelf.Incarnation() {
		b.write(address, listing.Changes, listing.Next, []cacheindex.Record{{Address: address, Cleared: true, Incarnation: listing.Incarnation}})
		return
	}
	listed := make(map[cacheindex.Key]bool, len(listing.Changes))
	var differences []cacheindex.Change
	for _, change := range listing.Changes {
		listed[change.Key] = true
		if shelf.ReadableTokens(change.Key) != change.Tokens && !shelf.Retired(change.Key) {
			differences = append(differences, change)
		}
	}
	for _, held := range shelf.All() {
		if !listed[held.Key] {
			differences = append(differences, cacheindex.Change{Key: held.Key})
		}
	}
	b.write(address, differences, listing.Next, nil)
}

// write adds changes to records and writes them all, up to next. The end of a
// part that is not held is left out. The caller holds the lock.
func (b *sharedBook) write(address string, changes []cacheindex.Change, next uint64, records []cacheindex.Record) {
	shelf := b.book.Inventory(address)
	told := make(map[cacheindex.Key]bool)
	for _, change := range changes {
		if change.Tokens == 0 && !shelf.Holds(change.Key) && !told[change.Key] {
			continue
		}
		told[change.Key] = true
		records = append(records, cacheindex.Record{Address: address, Change: change})
	}
	if len(records) == 0 {
		b.book.Advance(address, next)
		return
	}
	records[len(records)-1].Next = next
	b.book.Write(records...)
	b.notify()
}

// closed reports whether a store is closed because it could not be asked.
func (b *sharedBook) closed(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.book.Inventory(address).Closed()
}

// close closes a store's shelf and reports whether it was not closed before.
func (b *sharedBook) close(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	shelf := b.book.Inventory(address)
	if !b.leads || shelf.Closed() {
		return false
	}
	shelf.Close()
	b.notify()
	return true
}

// reopen opens a store's shelf, pause from now.
func (b *sharedBook) reopen(address string, now time.Time, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leads {
		b.book.Inventory(address).Reopen(now, pause)
		b.notify()
	}
}

// forget drops a source that has begun another life.
func (b *sharedBook) forget(address string) {
	b.keepOnly(func(other string) bool { return other != address })
}

// keepOnly drops the sources that are not wanted.
func (b *sharedBook) keepOnly(wanted func(address string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, address := range b.book.Addresses() {
		if b.leads && !wanted(address) {
			b.book.Forget(address)
			b.notify()
		}
	}
}

// list returns the parts of a store with their tokens, and its life; nothing
// while this host does not lead or the store can't be asked.
func (b *sharedBook) list(address string) (parts []cacheindex.Change, life uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	shelf := b.book.Inventory(address)
	if !b.leads || shelf.Closed() {
		return nil, 0
	}
	return shelf.All(), shelf.Incarnation()
}

// retire marks parts of a store that are about to be freed.
func (b *sharedBook) retire(address string, parts []cacheindex.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, known := b.book.Next(address)
	if !b.leads || !known || len(parts) == 0 {
		return
	}
	records := make([]cacheindex.Record, len(parts))
	for i, part := range parts {
		part.Tokens = -part.Tokens
		records[i] = cacheindex.Record{Address: address, Change: part}
	}
	records[len(records)-1].Next = next
	b.book.Write(records...)
	b.notify()
}
