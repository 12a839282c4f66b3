package steward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/wait"
)

const (
	// storeWait is how long a store may keep a question for events open.
	storeWait = 400 * time.Millisecond
	// storeSilence is when a store that does not answer counts as away.
	storeSilence = storeWait + 500*time.Millisecond
	// clockLag is how much older than its answer the clock in it may be.
	clockLag = storeWait + 100*time.Millisecond
	// unreachedAfter is when a store that this leader has never reached counts as lost.
	unreachedAfter = 3 * time.Second
	// storeRetry is the pause after a failed question.
	storeRetry = 100 * time.Millisecond
	// beliefLasts is how long after a change of a store somebody may still act on
	// what was told before it: an entry relies on that for ShelfTrust, what it
	// sends then may fetch for FetchPermit, and the rest is for the difference of
	// clocks and for answers on their way.
	beliefLasts = InventoryMaxAge + FetchPermit + 400*time.Millisecond
	// shelfPause keeps a store closed at the start of another life of it, while
	// an entry may still read what it knew of the life before.
	shelfPause = beliefLasts
	// runnerPause is the time between two questions to a runner. Its cache
	// changes with every request, so that each question is answered at once.
	runnerPause = 150 * time.Millisecond
	// cacheWatchers is up to how many entries the runners' caches are followed.
	// Each change of a cache goes to every entry: with many of them the control hosts
	// have no time left when hosts are lost.
	cacheWatchers = 16
	// adoptEvery is how often it is looked at whom to follow, besides at each
	// change of the configuration or the roster.
	adoptEvery = time.Second
	// runnerLeast is the least size in tokens of a cached part that is passed
	// on. Smaller ones are read sooner than they are looked up, and are most of
	// the changes: some 1,700 of 1,900 a second at 340 prompts a second, worked
	// out from two to three changed parts a prompt.
	runnerLeast = 1000
)

// InventoryMaxAge is how long after asking an entry may rely on what it was told of
// the stores.
const InventoryMaxAge = time.Second

// FetchPermit is how long after a send a runner may read from a store.
const FetchPermit = 2500 * time.Millisecond

// shelves follows all stores, and in a small fleet the runners' caches, for the
// leader.
type shelves struct {
	leadership *leadership
	book       *sharedBook

	mu sync.Mutex
	// byStore and byRunner end the following of one address each.
	byStore, byRunner map[string]following
	// clockTold is the upstreams' clock in milliseconds as told at clockAt.
	clockTold int64
	clockAt   time.Time
	// stepped is by how much that clock was last found to have stepped back, at steppedAt.
	stepped   time.Duration
	steppedAt time.Time
}

// following is what follows one address, in one life of a runner.
type following struct {
	born uint64
	end  context.CancelFunc
}

func newShelves(l *leadership) *shelves {
	return &shelves{
		leadership: l, book: l.steward.book,
		byStore: make(map[string]following), byRunner: make(map[string]following),
	}
}

// run follows the stores of the present configuration.
func (k *shelves) run(ctx context.Context) {
	for ctx.Err() == nil {
		news := k.leadership.steward.machine.news()
		d := k.leadership.steward.machine.Document()
		k.adopt(ctx, d)
		again := adoptEvery
		if !k.leadership.knowsSize(time.Now()) {
			again = watchWait
		}
		select {
		case <-news:
		case <-time.After(again):
		case <-ctx.Done():
		}
		wait.For(ctx, gather)
	}
}

// adopt follows what the configuration and the roster name, and drops the rest.
func (k *shelves) adopt(ctx context.Context, d *catalog.Document) {
	if d == nil {
		return
	}
	stores, runners := k.wanted(d)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.follow(ctx, k.byStore, stores, k.followStore)
	before := len(k.byRunner)
	k.follow(ctx, k.byRunner, runners, k.followRunner)
	if len(k.byRunner) > 0 != (before > 0) {
		k.leadership.steward.options.Log.Info("runners' caches", "followed", len(k.byRunner), "entries", k.leadership.entryCount(time.Now()))
	}
	k.book.keepOnly(func(address string) bool {
		_, store := stores[address]
		_, runner := runners[address]
		return store || runner
	})
}

// wanted lists the addresses of the stores, and of the model runners whose
// caches are worth following, with the runners' births.
func (k *shelves) wanted(d *catalog.Document) (stores, runners map[string]uint64) {
	stores, runners = make(map[string]uint64), make(map[string]uint64)
	engines := make(map[string]bool)
	for i := range d.Services {
		engines[d.Services[i].Name] = d.Services[i].Engine != nil
		if store := d.Services[i].Store; store != nil {
			stores[store.Address] = 0
		}
	}
	// A leader that read all caches of a large fleet before it knows that it is one
	// would lose the lead over it.
	now := time.Now()
	if !k.leadership.knowsSize(now) || k.leadership.entryCount(now) > cacheWatchers {
		return stores, runners
	}
	// What a silent runner did last may never be known here, though entries know it;
	// they would be told of no shelf for as long as its one is held.
	for _, u := range k.leadership.heard(k.leadership.steward.machine.live(), time.Now()) {
		if engines[u.Service] {
			runners[u.Address] = max(runners[u.Address], u.StartedMs)
		}
	}
	return stores, runners
}

// follow starts and ends what follows one address each. What a runner's former
// life held is forgotten at once: a cache that can't be asked would else draw
// prompts to a runner that holds nothing. The caller holds the lock.
func (k *shelves) follow(ctx context.Context, followed map[string]following, wanted map[string]uint64, run func(context.Context, string)) {
	for address, f := range followed {
		born, still := wanted[address]
		if still && born == f.born {
			continue
		}
		f.end()
		delete(followed, address)
		if still {
			k.book.forget(address)
		}
	}
	for address, born := range wanted {
		if _, known := followed[address]; !known {
			ctx, cancel := context.WithCancel(ctx)
			followed[address] = following{born: born, end: cancel}
			go run(ctx, address)
		}
	}
}

// followRunner keeps track of the large parts that a runner has cached, until
// ctx ends. Nothing depends on it but the choice of the runner: a part that is
// gone meanwhile is read again. A runner is told to entries once it is caught up
// with: a new leader begins with its oldest events, and an entry that knows later
// ones would get no answer on any shelf before the leader knows them too.
func (k *shelves) followRunner(ctx context.Context, address string) {
	var behind *cacheindex.Inventory
	var from uint64
	for wait.For(ctx, runnerPause) {
		next, life := k.book.place(address)
		if behind != nil {
			next, life = from, behind.Incarnation()
		}
		events, err := k.ask(ctx, func(ctx context.Context) (StoreEvents, error) {
			return k.stores().Events(ctx, address, next, storeWait)
		})
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			wait.For(ctx, storeRetry)
			continue
		}
		k.noteClock(events.Clock)
		caughtUp := events.caughtUp()
		events.Changes = large(events.Changes)
		if events.Lost || events.Incarnation != life {
			behind = cacheindex.NewInventory()
			behind.Clear(events.Incarnation)
		}
		if behind == nil {
			k.book.add(address, events)
			continue
		}
		for _, change := range events.Changes {
			behind.Apply(change)
		}
		from = events.Next
		if caughtUp {
			events.Changes = behind.All()
			k.book.replace(address, events)
			behind = nil
		}
	}
}

// large leaves out the parts that are read sooner than they are looked up. What
// became of them is told as their end, in case they were larger before.
func large(changes []cacheindex.Change) []cacheindex.Change {
	kept := changes[:0]
	for _, change := range changes {
		if change.Tokens < runnerLeast {
			change.Tokens = 0
		}
		kept = append(kept, change)
	}
	return kept
}

// followStore keeps one shelf up to date until ctx ends. A store that could not
// be asked for a while is asked for what was missed, and listed only if it
// knows that no more: a listing is large, and each entry may be told all of it.
func (k *shelves) followStore(ctx context.Context, address string) {
	began, reached := time.Now(), false
	for ctx.Err() == nil {
		err := k.catchUp(ctx, address)
		reached = reached || err == nil
		if err != nil && ctx.Err() == nil {
			k.lose(address, err)
			if !reached && time.Since(began) > unreachedAfter {
				// Entries may know more of it than this leader, and would be told of
				// no other store meanwhile.
				k.book.forget(address)
			}
			wait.For(ctx, storeRetry)
		}
	}
}

// catchUp asks a store once for its latest events, or lists it.
func (k *shelves) catchUp(ctx context.Context, address string) error {
	next, life := k.book.place(address)
	if life != 0 {
		events, err := k.ask(ctx, func(ctx context.Context) (StoreEvents, error) {
			return k.stores().Events(ctx, address, next, k.patience(address))
		})
		if err != nil {
			return err
		}
		if events.Incarnation != life {
			k.lose(address, errAnotherLife)
		}
		// What was missed may be the end of a part; only a listing tells.
		if !events.Lost && events.Incarnation == life {
			k.noteClock(events.Clock)
			k.book.add(address, events)
			if events.caughtUp() {
				k.reopen(ctx, address, life)
			}
			return nil
		}
	}
	listing, err := k.ask(ctx, func(ctx context.Context) (StoreEvents, error) {
		return k.stores().List(ctx, address)
	})
	if err != nil {
		return err
	}
	if listing.Incarnation != life {
		k.lose(address, errAnotherLife)
	}
	k.noteClock(listing.Clock)
	k.askClock(ctx, address, listing.Next)
	k.book.replace(address, listing)
	k.leadership.steward.meter.listings.Inc()
	k.leadership.steward.options.Log.Info("store listed", "store", address, "life", listing.Incarnation, "parts", len(listing.Changes))
	k.reopen(ctx, address, listing.Incarnation)
	return nil
}

// errAnotherLife is why a store is closed that has restarted.
var errAnotherLife = errors.New("the store has restarted")

// patience is how long a store may keep a question open: not at all while it is
// closed, for the entries wait for its word.
func (k *shelves) patience(address string) time.Duration {
	if k.book.closed(address) {
		return 0
	}
	return storeWait
}

func (k *shelves) stores() Stores { return k.leadership.steward.options.Stores }

func (k *shelves) ask(ctx context.Context, question func(context.Context) (StoreEvents, error)) (StoreEvents, error) {
	ctx, cancel := context.WithTimeout(ctx, storeSilence)
	defer cancel()
	return question(ctx)
}

func (k *shelves) lose(address string, cause error) {
	if k.book.close(address) {
		k.leadership.steward.meter.storesLost.Inc()
		k.leadership.steward.options.Log.Warn("store lost", "store", address, "cause", cause)
	}
}

// reopen opens a store's shelf, if it is closed. A life other than the one that
// entries may know opens after shelfPause, and is written to the log first.
func (k *shelves) reopen(ctx context.Context, address string, life uint64) {
	if !k.book.closed(address) {
		return
	}
	s := k.leadership.steward
	pause := time.Duration(0)
	if s.machine.lifeOf(address) != life {
		pause = shelfPause + k.lingering(time.Now())
		if _, err := s.propose(ctx, command{Life: &storeLife{Address: address, Life: life}}); err != nil {
			s.options.Log.Warn("store's life not recorded", "store", address, "err", err)
		}
	}
	k.book.reopen(address, time.Now(), pause)
	s.options.Log.Info("store opens", "store", address, "life", life, "opens_in", pause)
}

// askClock asks for the upstreams' clock where it is not known yet. Listings don't
// tell it, and a question for events is kept open for storeWait: entries that
// started with all other hosts would know what the stores hold and could permit no
// fetch.
func (k *shelves) askClock(ctx context.Context, address string, next uint64) {
	if k.clock(time.Now()) != 0 {
		return
	}
	events, err := k.ask(ctx, func(ctx context.Context) (StoreEvents, error) {
		return k.stores().Events(ctx, address, next, 0)
	})
	if err == nil {
		k.noteClock(events.Clock)
	}
}

// noteClock keeps what is known of the upstreams' clock.
func (k *shelves) noteClock(told int64) {
	if told <= 0 {
		return
	}
	longest := longestTimeout(k.leadership.steward.machine.Document())
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	back := time.Duration(k.clockTold+now.Sub(k.clockAt).Milliseconds()-told) * time.Millisecond
	if k.clockTold > 0 && back > clockLag {
		// No request, and so none of its fetches, outlasts its route's timeout.
		if back = min(back, longest); back >= k.lingeringAt(now) {
			k.stepped, k.steppedAt = back, now
		}
	}
	k.clockTold, k.clockAt = told, now
}

// lingering is how much longer than FetchPermit fetches may last that were permitted
// before the upstreams' clock stepped back.
func (k *shelves) lingering(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lingeringAt(now)
}

// lingeringAt is lingering for a caller that holds the lock.
func (k *shelves) lingeringAt(now time.Time) time.Duration {
	if now.Sub(k.steppedAt) >= beliefLasts+k.stepped {
		return 0
	}
	return k.stepped
}

func longestTimeout(d *catalog.Document) time.Duration {
	longest := time.Duration(0)
	if d != nil {
		for i := range d.Routes {
			longest = max(longest, d.Routes[i].Timeout)
		}
	}
	return longest
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

// fill adds what a watcher lacks of the shelves and reports whether that is
// anything.
func (k *shelves) fill(request *WatchRequest, answer *WatchAnswer) bool {
	if request.Inventories == nil {
		return false
	}
	k.mu.Lock()
	stores := slices.Sorted(maps.Keys(k.byStore))
	k.mu.Unlock()
	var found bool
	answer.Inventories, found, answer.StoreStates = k.book.answerWithStates(request.Inventories, stores, time.Now())
	return found
}
