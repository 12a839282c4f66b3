package steward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/holdings"
	"github.com/lovagereach/lovagereach/internal/wait"
)

const (
	// storeWait is how long a store may keep a question for events open.
	storeWait = 400 * time.Millisecond
	// storeSilence is when a store that does not answer counts as away.
	storeSilence = storeWait + 500*time.Millisecond
	// storeRetry is the pause after a failed question.
	storeRetry = 100 * time.Millisecond
	// shelfPause keeps a store closed at the start of another life of it. Until
	// then an entry may read what it knew of the life before: its knowledge
	// lasts ShelfTrust, and a fetch that it permitted ends FetchPermit later.
	shelfPause = ShelfTrust + FetchPermit + 400*time.Millisecond
	// runnerPause is the time between two questions to a runner. Its cache
	// changes with every request, so that each question is answered at once.
	runnerPause = 150 * time.Millisecond
	// cacheWatchers is up to how many entries the runners' caches are followed.
	// Each change of a cache goes to every entry, so that the leader's work
	// grows with entries times changes, and configurations come into force late.
	cacheWatchers = 16
	// adoptEvery is how often it is looked at whom to follow, besides at each
	// change of the configuration or the roster.
	adoptEvery = time.Second
	// runnerLeast is the least size in tokens of a cached part that is passed
	// on. Smaller ones are read sooner than they are looked up, and are most of
	// the changes: some 1,700 of 1,900 a second at 340 prompts a second, worked
	// out from two to three changed parts a prompt.
	runnerLeast = 1000
	// journalLength bounds the changes kept for watchers that lag. At 400
	// changes a second it covers 20 s.
	journalLength = 8192
)

// ShelfTrust is how long after asking an entry may rely on what it was told of
// the stores.
const ShelfTrust = time.Second

// FetchPermit is how long after a send a runner may read from a store.
const FetchPermit = 2500 * time.Millisecond

// shelves follows all stores for the leader.
type shelves struct {
	leadership *leadership

	mu sync.Mutex
	// byStore are the stores in use by address.
	byStore map[string]*followedStore
	// byRunner are the runners whose caches are followed, by address.
	byRunner map[string]*followedStore
	// journal holds the changes from position base on.
	journal []ShelfChange
	base    uint64
	changed chan struct{}
	// clockTold is the upstreams' clock in milliseconds as told at clockAt.
	clockTold int64
	clockAt   time.Time
}

type followedStore struct {
	shelf  *holdings.Shelf
	cancel context.CancelFunc
}

func newShelves(l *leadership) *shelves {
	return &shelves{leadership: l, byStore: make(map[string]*followedStore), byRunner: make(map[string]*followedStore), changed: make(chan struct{})}
}

// run follows the stores of the present configuration.
func (k *shelves) run(ctx context.Context) {
	for ctx.Err() == nil {
		news := k.leadership.steward.machine.news()
		d := k.leadership.steward.machine.Document()
		k.adopt(ctx, d)
		k.adoptRunners(ctx, d)
		select {
		case <-news:
		case <-time.After(adoptEvery):
		case <-ctx.Done():
		}
		wait.For(ctx, gather)
	}
}

func (k *shelves) adopt(ctx context.Context, d *catalog.Document) {
	wanted := make(map[string]bool)
	if d != nil {
		for i := range d.Services {
			if store := d.Services[i].Store; store != nil {
				wanted[store.Address] = true
			}
		}
	}
	k.follow(ctx, k.byStore, wanted, k.followStore)
}

// adoptRunners follows the caches of the model runners.
func (k *shelves) adoptRunners(ctx context.Context, d *catalog.Document) {
	engines := make(map[string]bool)
	if d != nil {
		for i := range d.Services {
			engines[d.Services[i].Name] = d.Services[i].Engine != nil
		}
	}
	wanted := make(map[string]bool)
	follows := k.leadership.entryCount() <= cacheWatchers
	for _, u := range k.leadership.steward.machine.live() {
		if follows && engines[u.Service] {
			wanted[u.Address] = true
		}
	}
	k.follow(ctx, k.byRunner, wanted, k.followRunner)
}

// follow starts and ends what follows one address each.
func (k *shelves) follow(ctx context.Context, followed map[string]*followedStore, wanted map[string]bool, run func(context.Context, string, *followedStore)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for address, store := range followed {
		if !wanted[address] {
			store.cancel()
			delete(followed, address)
			k.record(ShelfChange{Address: address, Cleared: true})
		}
	}
	for address := range wanted {
		if followed[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		store := &followedStore{shelf: holdings.NewShelf(), cancel: cancel}
		followed[address] = store
		go run(ctx, address, store)
	}
}

// followRunner keeps track of the large parts that a runner has cached, until
// ctx ends. Nothing depends on it but the choice of the runner: a part that is
// gone meanwhile is read again.
func (k *shelves) followRunner(ctx context.Context, address string, runner *followedStore) {
	var next, life uint64
	for wait.For(ctx, runnerPause) {
		events, err := k.ask(ctx, func(ctx context.Context) (StoreEvents, error) {
			return k.stores().Events(ctx, address, next, storeWait)
		})
		if err != nil {
			wait.For(ctx, storeRetry)
			continue
		}
		k.applyRunner(address, runner, events, events.Lost || events.Life != life)
		next, life = events.Next, events.Life
	}
}

func (k *shelves) applyRunner(address string, runner *followedStore, events StoreEvents, anew bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteClock(events.Clock)
	if anew {
		runner.shelf = holdings.NewShelf()
		k.record(ShelfChange{Address: address, Cleared: true})
	}
	for _, change := range events.Changes {
		if change.Tokens < runnerLeast {
			if runner.shelf.Whole(change.Key) == 0 {
				continue
			}
			change.Tokens = 0
		}
		runner.shelf.Apply(change)
		k.record(ShelfChange{Address: address, Change: change})
	}
}

// followStore keeps one shelf up to date until ctx ends.
func (k *shelves) followStore(ctx context.Context, address string, store *followedStore) {
	listed := false
	var next uint64
	for ctx.Err() == nil {
		var events StoreEvents
		var err error
		if listed {
			events, err = k.ask(ctx, func(ctx context.Context) (StoreEvents, error) {
				return k.stores().Events(ctx, address, next, storeWait)
			})
		} else {
			events, err = k.ask(ctx, func(ctx context.Context) (StoreEvents, error) {
				return k.stores().List(ctx, address)
			})
		}
		switch {
		case err != nil:
			k.lose(address, store, err)
			listed = false
			wait.For(ctx, storeRetry)
			continue
		case listed && (events.Lost || events.Life != store.shelf.Life()):
			// What was missed may be the end of a part; only a listing tells.
			listed = false
			continue
		case listed:
			k.apply(address, store, events)
		default:
			k.begin(ctx, address, store, events)
			listed = true
		}
		next = events.Next
	}
}

func (k *shelves) stores() Stores { return k.leadership.steward.options.Stores }

func (k *shelves) ask(ctx context.Context, question func(context.Context) (StoreEvents, error)) (StoreEvents, error) {
	ctx, cancel := context.WithTimeout(ctx, storeSilence)
	defer cancel()
	return question(ctx)
}

func (k *shelves) lose(address string, store *followedStore, cause error) {
	k.mu.Lock()
	wasOpen := store.shelf.Open(time.Now())
	store.shelf.Close()
	k.mu.Unlock()
	if wasOpen {
		k.leadership.steward.options.Log.Warn("store lost", "store", address, "cause", cause)
	}
}

// begin takes in a listing. A life other than the one that entries may know
// opens after shelfPause, and is written to the log first.
func (k *shelves) begin(ctx context.Context, address string, store *followedStore, events StoreEvents) {
	s := k.leadership.steward
	pause := time.Duration(0)
	if s.machine.lifeOf(address) != events.Life {
		pause = shelfPause
		if _, err := s.propose(ctx, command{Life: &storeLife{Address: address, Life: events.Life}}); err != nil {
			s.options.Log.Warn("store's life not recorded", "store", address, "err", err)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	store.shelf.Begin(events.Life, events.Changes, time.Now(), pause)
	k.noteClock(events.Clock)
	k.record(ShelfChange{Address: address, Cleared: true})
	for _, change := range events.Changes {
		k.record(ShelfChange{Address: address, Change: change})
	}
	s.options.Log.Info("store listed", "store", address, "life", events.Life, "parts", len(events.Changes), "opens_in", pause)
}

func (k *shelves) apply(address string, store *followedStore, events StoreEvents) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteClock(events.Clock)
	for _, change := range events.Changes {
		store.shelf.Apply(change)
		k.record(ShelfChange{Address: address, Change: change})
	}
}

// noteClock keeps what is known of the upstreams' clock. The caller holds the
// lock.
func (k *shelves) noteClock(told int64) {
	if told > 0 {
		k.clockTold, k.clockAt = told, time.Now()
	}
}

// clock returns the earliest that the upstreams' clock can show, 0 if unknown.
func (k *shelves) clock(now time.Time) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.clockTold == 0 {
		return 0
	}
	return k.clockTold + now.Sub(k.clockAt).Milliseconds()
}

// record adds to the journal and wakes the watchers. The caller holds the lock.
func (k *shelves) record(change ShelfChange) {
	k.journal = append(k.journal, change)
	if len(k.journal) > 2*journalLength {
		drop := len(k.journal) - journalLength
		k.journal = slices.Clone(k.journal[drop:])
		k.base += uint64(drop)
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *shelves) news() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// fill adds what a watcher lacks and reports whether that is anything.
func (k *shelves) fill(request *WatchRequest, answer *WatchAnswer) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	answer.States = answer.States[:0]
	for _, address := range slices.Sorted(maps.Keys(k.byStore)) {
		shelf := k.byStore[address].shelf
		answer.States = append(answer.States, ShelfState{Address: address, Life: shelf.Life(), Open: shelf.Open(now)})
	}
	end := k.base + uint64(len(k.journal))
	answer.Shelves = Position{Term: k.leadership.term, Next: end}
	if request.Entry == nil {
		return false
	}
	from := request.Shelves
	if from.Term != k.leadership.term || from.Next < k.base || from.Next > end {
		answer.Reset = true
		answer.Changes = k.all()
		return true
	}
	answer.Changes = k.journal[from.Next-k.base:]
	return len(answer.Changes) > 0
}

// all lists every part of every shelf. The caller holds the lock.
func (k *shelves) all() []ShelfChange {
	var list []ShelfChange
	for _, followed := range []map[string]*followedStore{k.byStore, k.byRunner} {
		for address, store := range followed {
			for _, change := range store.shelf.All() {
				list = append(list, ShelfChange{Address: address, Change: change})
			}
		}
	}
	return list
}
