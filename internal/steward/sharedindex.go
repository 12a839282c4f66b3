package steward

import (
	"slices"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
)

// sharedIndex is this host's cache index of inventories: written from the sources while the
// host leads, and from the leader's answers otherwise. A new leader continues with the index
// that it holds, so that an election causes no listing to be read again.
type sharedIndex struct {
	mu    sync.Mutex
	index *cacheindex.Index
	// leads is set while this host writes the index from the sources. An answer of an earlier
	// leader, or of a source to a leadership that has ended, is discarded.
	leads bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newSharedIndex() *sharedIndex {
	return &sharedIndex{index: cacheindex.NewIndex(true), changed: make(chan struct{})}
}

// notify wakes the waiters for a change. The caller holds the lock.
func (b *sharedIndex) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// changes returns a channel that is closed at the next change.
func (b *sharedIndex) changes() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *sharedIndex) query() *cacheindex.Query {
	b.mu.Lock()
	defer b.mu.Unlock()
	query := b.index.NextQuery()
	return &query
}

// apply applies the leader's answer and reports whether the index is complete.
func (b *sharedIndex) apply(update *cacheindex.Update) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leads {
		return false
	}
	complete := b.index.Apply(update)
	if len(update.Batches) > 0 || !complete {
		b.notify()
	}
	return complete
}

// answer returns what a watcher lacks, and whether there is any.
func (b *sharedIndex) answer(query *cacheindex.Query) (*cacheindex.Update, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answerLocked(query)
}

// answerWithStates is answer, with the states of the stores at the same moment.
func (b *sharedIndex) answerWithStates(query *cacheindex.Query, stores []string, now time.Time) (*cacheindex.Update, bool, []StoreState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	update, found := b.answerLocked(query)
	return update, found, b.states(stores, now)
}

// answerLocked is answer for a caller that holds the lock.
func (b *sharedIndex) answerLocked(query *cacheindex.Query) (*cacheindex.Update, bool) {
	update := b.index.Answer(query)
	return &update, len(update.Batches) > 0 || update.Unknown
}

// lead begins the term of this host. The contents held for a store are unconfirmed until the
// store has been queried, so all stores are closed.
func (b *sharedIndex) lead(term uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leads = true
	b.index.StartTerm(term)
	for _, address := range b.index.Addresses() {
		b.index.Inventory(address).Close()
	}
	b.notify()
}

// stepDown ends the term of this host.
func (b *sharedIndex) stepDown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leads = false
}

// states returns the states of the stores. The caller holds the lock.
func (b *sharedIndex) states(stores []string, now time.Time) []StoreState {
	states := make([]StoreState, 0, len(stores))
	for _, address := range stores {
		inventory := b.index.Inventory(address)
		// A store that was never listed would look open and empty: entries that have just
		// started would take that for its first state.
		states = append(states, StoreState{Address: address, Incarnation: inventory.Incarnation(), Open: inventory.Incarnation() != 0 && inventory.Open(now)})
	}
	return states
}

// position returns the position up to which a source's events are followed, and the
// incarnation; incarnation 0 if they are not followed.
func (b *sharedIndex) position(address string) (next, incarnation uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, known := b.index.Next(address)
	if !known {
		return 0, 0
	}
	return next, b.index.Inventory(address).Incarnation()
}

// add applies the latest events of a source.
func (b *sharedIndex) add(address string, events StoreEvents) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leads {
		return
	}
	b.write(address, events.Changes, events.Next, nil)
}

// replace applies a listing of a source. In the same incarnation only the differences are
// written, unless the readers' position is beyond that of the listing.
func (b *sharedIndex) replace(address string, listing StoreEvents) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leads {
		return
	}
	inventory := b.index.Inventory(address)
	if listing.Incarnation == 0 || listing.Incarnation != inventory.Incarnation() {
		b.write(address, listing.Changes, listing.Next, []cacheindex.Record{{Address: address, Cleared: true, Incarnation: listing.Incarnation}})
		return
	}
	if next, _ := b.index.Next(address); listing.Next < next {
		b.write(address, keepRetired(listing.Changes, inventory), listing.Next, []cacheindex.Record{{Address: address, Cleared: true, Incarnation: listing.Incarnation}})
		return
	}
	listed := make(map[cacheindex.Key]bool, len(listing.Changes))
	var differences []cacheindex.Change
	for _, change := range listing.Changes {
		listed[change.Key] = true
		if inventory.ReadableTokens(change.Key) != change.Tokens && !inventory.Retired(change.Key) {
			differences = append(differences, change)
		}
	}
	for _, held := range inventory.All() {
		if !listed[held.Key] {
			differences = append(differences, cacheindex.Change{Key: held.Key})
		}
	}
	b.write(address, differences, listing.Next, nil)
}

// keepRetired returns a listing in which the parts stay retired that are so in an inventory.
func keepRetired(listed []cacheindex.Change, inventory *cacheindex.Inventory) []cacheindex.Change {
	kept := slices.Clone(listed)
	for i := range kept {
		if inventory.Retired(kept[i].Key) {
			kept[i].Tokens = -kept[i].Tokens
		}
	}
	return kept
}

// write adds changes to records and writes them all, up to next. The removal of a part that is
// not held is left out. The caller holds the lock.
func (b *sharedIndex) write(address string, changes []cacheindex.Change, next uint64, records []cacheindex.Record) {
	inventory := b.index.Inventory(address)
	written := make(map[cacheindex.Key]bool)
	for _, change := range changes {
		if change.Tokens == 0 && !inventory.Holds(change.Key) && !written[change.Key] {
			continue
		}
		written[change.Key] = true
		records = append(records, cacheindex.Record{Address: address, Change: change})
	}
	if len(records) == 0 {
		b.index.Advance(address, next)
		return
	}
	records[len(records)-1].Next = next
	b.index.Write(records...)
	b.notify()
}

// closed reports whether a store is closed because it didn't answer.
func (b *sharedIndex) closed(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.index.Inventory(address).Closed()
}

// close closes a store's inventory and reports whether it was open before.
func (b *sharedIndex) close(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	inventory := b.index.Inventory(address)
	if !b.leads || inventory.Closed() {
		return false
	}
	inventory.Close()
	b.notify()
	return true
}

// reopen opens a store's inventory, pause from now.
func (b *sharedIndex) reopen(address string, now time.Time, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leads {
		b.index.Inventory(address).Reopen(now, pause)
		b.notify()
	}
}

// forget drops a source whose incarnation has changed.
func (b *sharedIndex) forget(address string) {
	b.keepOnly(func(other string) bool { return other != address })
}

// keepOnly drops the sources that are not wanted.
func (b *sharedIndex) keepOnly(wanted func(address string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, address := range b.index.Addresses() {
		if b.leads && !wanted(address) {
			b.index.Forget(address)
			b.notify()
		}
	}
}

// list returns the parts of a store with their tokens, and its incarnation; nothing while this
// host doesn't lead or the store doesn't answer.
func (b *sharedIndex) list(address string) (parts []cacheindex.Change, incarnation uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	inventory := b.index.Inventory(address)
	if !b.leads || inventory.Closed() {
		return nil, 0
	}
	return inventory.All(), inventory.Incarnation()
}

// retire marks parts of a store that are about to be freed.
func (b *sharedIndex) retire(address string, parts []cacheindex.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, known := b.index.Next(address)
	if !b.leads || !known || len(parts) == 0 {
		return
	}
	records := make([]cacheindex.Record, len(parts))
	for i, part := range parts {
		part.Tokens = -part.Tokens
		records[i] = cacheindex.Record{Address: address, Change: part}
	}
	records[len(records)-1].Next = next
	b.index.Write(records...)
	b.notify()
}
