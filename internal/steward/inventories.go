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
	// storeWait is the longest time that a store may keep a query for events open.
	storeWait = 400 * time.Millisecond
	// storeTimeout is the time after which a store without an answer counts as lost.
	storeTimeout = storeWait + 500*time.Millisecond
	// clockLag is the maximum age of the clock value in an answer.
	clockLag = storeWait + 100*time.Millisecond
	// maxClockLead is by how much a clock value may be ahead of the known clock without another one
	// that agrees: both may be old.
	maxClockLead = 2 * clockLag
	// unreachedAfter is the time after which a store that this leader has never reached is
	// dropped from the index.
	unreachedAfter = 3 * time.Second
	// storeRetry is the pause after a failed query.
	storeRetry = 100 * time.Millisecond
	// staleViewLifetime is the time after a change of a store within which a process may still
	// act on the state before it: an entry relies on that state for InventoryMaxAge, requests
	// that it sends then may fetch for FetchPermit, and the rest is for clock differences and
	// answers in flight.
	staleViewLifetime = InventoryMaxAge + FetchPermit + 400*time.Millisecond
	// reopenDelay is the time for which a store stays closed at the start of a new incarnation,
	// while an entry may still read by its state of the previous one.
	reopenDelay = staleViewLifetime
	// runnerInterval is the time between two queries to a runner. Its cache changes with every
	// request, so that each query is answered immediately.
	runnerInterval = 150 * time.Millisecond
	// maxCacheWatchers is the number of entries up to which the runners' caches are followed.
	// Each change of a cache goes to every entry: with many entries the control hosts have no
	// time left when hosts are lost.
	maxCacheWatchers = 16
	// reconcileEvery is the interval at which the set of followed addresses is reconciled,
	// besides at each change of the configuration or the roster.
	reconcileEvery = time.Second
	// minCachedTokens is the minimum size in tokens of a cached part that is forwarded. Smaller
	// parts are recomputed faster than they are looked up, and cause most of the changes: some
	// 1,700 of 1,900 a second at 340 prompts a second, calculated from two to three changed
	// parts a prompt.
	minCachedTokens = 1000
)

// InventoryMaxAge is the time after its request for which an entry may rely on the received
// state of the stores.
const InventoryMaxAge = time.Second

// FetchPermit is the time after a send within which a runner may read from a store.
const FetchPermit = 2500 * time.Millisecond

// inventoryFollower follows all stores, and in a small fleet the runners' caches, for the
// leader.
type inventoryFollower struct {
	leadership *leadership
	index      *sharedIndex

	mu sync.Mutex
	// byStore and byRunner hold the running followers, by address.
	byStore, byRunner map[string]following
	// clockMs is the upstreams' clock in milliseconds as received at clockAt.
	clockMs int64
	clockAt time.Time
	// aheadMs is a value far ahead of that clock as received at aheadAt, 0 if none is.
	aheadMs int64
	aheadAt time.Time
	// clockStep is the size of the latest backward step of that clock, found at clockSteppedAt.
	clockStep      time.Duration
	clockSteppedAt time.Time
}

// following is the goroutine that follows one address, for one incarnation of a runner.
type following struct {
	startedMs uint64
	cancel    context.CancelFunc
}

func newInventoryFollower(l *leadership) *inventoryFollower {
	return &inventoryFollower{
		leadership: l, index: l.steward.index,
		byStore: make(map[string]following), byRunner: make(map[string]following),
	}
}

// run follows the stores of the current configuration.
func (k *inventoryFollower) run(ctx context.Context) {
	k.leadership.awaitControlHosts(ctx)
	for ctx.Err() == nil {
		changes := k.leadership.steward.machine.changes()
		d := k.leadership.steward.machine.Document()
		k.reconcile(ctx, d)
		again := reconcileEvery
		if !k.leadership.knowsSize(time.Now()) {
			again = watchWait
		}
		select {
		case <-changes:
		case <-time.After(again):
		case <-ctx.Done():
		}
		wait.For(ctx, gatherDelay)
	}
}

// reconcile follows the addresses in the configuration and the roster, and stops following the
// others.
func (k *inventoryFollower) reconcile(ctx context.Context, d *catalog.Document) {
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
		k.leadership.steward.options.Log.Info("runner caches followed", "followed", len(k.byRunner), "entries", k.leadership.entryCount(time.Now()))
	}
	k.index.keepOnly(func(address string) bool {
		_, store := stores[address]
		_, runner := runners[address]
		return store || runner
	})
}

// wanted lists the addresses of the stores, and of the model runners whose caches should be
// followed, with the runners' start times.
func (k *inventoryFollower) wanted(d *catalog.Document) (stores, runners map[string]uint64) {
	stores, runners = make(map[string]uint64), make(map[string]uint64)
	engines := make(map[string]bool)
	for i := range d.Services {
		engines[d.Services[i].Name] = d.Services[i].Engine != nil
		if store := d.Services[i].Store; store != nil {
			stores[store.Address] = 0
		}
	}
	// A leader that read all caches of a large fleet before it knows the fleet's size would
	// lose its leadership over the work.
	now := time.Now()
	if !k.leadership.knowsSize(now) || k.leadership.entryCount(now) > maxCacheWatchers {
		return stores, runners
	}
	// A silent runner's latest changes may never be received here, though entries know them;
	// while its inventory is held, they would receive no inventory at all.
	for _, u := range k.leadership.current(k.leadership.steward.machine.live(), time.Now()) {
		if engines[u.Service] {
			runners[u.Address] = max(runners[u.Address], u.StartedMs)
		}
	}
	return stores, runners
}

// follow starts and stops the followers of the addresses. The contents of a runner's previous
// incarnation are dropped immediately: otherwise a cache that can't be queried would attract
// prompts to a runner that holds nothing. The caller holds the lock.
func (k *inventoryFollower) follow(ctx context.Context, followed map[string]following, wanted map[string]uint64, run func(context.Context, string)) {
	for address, f := range followed {
		startedMs, still := wanted[address]
		if still && startedMs == f.startedMs {
			continue
		}
		f.cancel()
		delete(followed, address)
		if still {
			k.index.forget(address)
		}
	}
	for address, startedMs := range wanted {
		if _, known := followed[address]; !known {
			ctx, cancel := context.WithCancel(ctx)
			followed[address] = following{startedMs: startedMs, cancel: cancel}
			go run(ctx, address)
		}
	}
}

// followRunner keeps track of the large parts that a runner has cached, until ctx ends. Only
// the choice of the runner depends on it: a part that is gone meanwhile is recomputed. A runner
// is sent to entries once this host has caught up with it: a new leader begins with the
// runner's oldest events, and an entry that holds later ones would get no answer on any
// inventory before the leader holds them too.
func (k *inventoryFollower) followRunner(ctx context.Context, address string) {
	var behind *cacheindex.Inventory
	var from uint64
	for wait.For(ctx, runnerInterval) {
		next, incarnation := k.index.position(address)
		if behind != nil {
			next, incarnation = from, behind.Incarnation()
		}
		events, err := k.call(ctx, func(ctx context.Context) (StoreEvents, error) {
			return k.stores().Events(ctx, address, next, storeWait)
		})
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			wait.For(ctx, storeRetry)
			continue
		}
		if events.Incarnation == incarnation && !events.follows(next) {
			k.index.forget(address)
			behind = nil
			wait.For(ctx, storeRetry)
			continue
		}
		k.recordClock(events.Clock)
		caughtUp := events.caughtUp()
		events.Changes = dropSmall(events.Changes)
		if events.Lost || events.Incarnation != incarnation {
			behind = cacheindex.NewInventory()
			behind.Clear(events.Incarnation)
		}
		if behind == nil {
			k.index.add(address, events)
			continue
		}
		for _, change := range events.Changes {
			behind.Apply(change)
		}
		from = events.Next
		if caughtUp {
			events.Changes = behind.All()
			k.index.replace(address, events)
			behind = nil
		}
	}
}

// dropSmall sets the size of parts below minCachedTokens to 0, which records their removal, in
// case they were larger before.
func dropSmall(changes []cacheindex.Change) []cacheindex.Change {
	kept := changes[:0]
	for _, change := range changes {
		if change.Tokens < minCachedTokens {
			change.Tokens = 0
		}
		kept = append(kept, change)
	}
	return kept
}

// followStore keeps one inventory up to date until ctx ends. A store that was unreachable is
// queried for the missed events, and listed only if it no longer has them: a listing is large,
// and each entry may receive all of it.
func (k *inventoryFollower) followStore(ctx context.Context, address string) {
	began, reached := time.Now(), false
	for ctx.Err() == nil {
		err := k.catchUp(ctx, address)
		reached = reached || err == nil
		if err != nil && ctx.Err() == nil {
			k.closeStore(address, err)
			if !reached && time.Since(began) > unreachedAfter {
				// Entries may hold later state of it than this leader, and would receive no
				// other store's state meanwhile.
				k.index.forget(address)
			}
			wait.For(ctx, storeRetry)
		}
	}
}

// catchUp queries a store once for its latest events, or lists it.
func (k *inventoryFollower) catchUp(ctx context.Context, address string) error {
	next, incarnation := k.index.position(address)
	if incarnation != 0 {
		events, err := k.call(ctx, func(ctx context.Context) (StoreEvents, error) {
			return k.stores().Events(ctx, address, next, k.eventWait(address))
		})
		if err != nil {
			return err
		}
		if events.Incarnation != incarnation {
			k.closeStore(address, errStoreRestarted)
		}
		// The missed events may include the removal of a part; only a listing shows that, and at
		// which position the store is.
		if !events.Lost && events.Incarnation == incarnation && events.follows(next) {
			k.recordClock(events.Clock)
			k.index.add(address, events)
			if events.caughtUp() {
				k.reopen(ctx, address, incarnation)
			}
			return nil
		}
	}
	listing, err := k.call(ctx, func(ctx context.Context) (StoreEvents, error) {
		return k.stores().List(ctx, address)
	})
	if err != nil {
		return err
	}
	if listing.Incarnation != incarnation {
		k.closeStore(address, errStoreRestarted)
	}
	k.recordClock(listing.Clock)
	k.requestClock(ctx, address, listing.Next)
	k.index.replace(address, listing)
	k.leadership.steward.counters.listings.Inc()
	k.leadership.steward.options.Log.Info("store listed", "store", address, "life", listing.Incarnation, "parts", len(listing.Changes))
	k.reopen(ctx, address, listing.Incarnation)
	return nil
}

// errStoreRestarted is the cause for closing a store that has restarted.
var errStoreRestarted = errors.New("the store has restarted")

// eventWait is the time for which a store may keep a query open: none while it is closed, since
// the entries wait for its state.
func (k *inventoryFollower) eventWait(address string) time.Duration {
	if k.index.closed(address) {
		return 0
	}
	return storeWait
}

func (k *inventoryFollower) stores() Stores { return k.leadership.steward.options.Stores }

func (k *inventoryFollower) call(ctx context.Context, query func(context.Context) (StoreEvents, error)) (StoreEvents, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return query(ctx)
}

func (k *inventoryFollower) closeStore(address string, cause error) {
	if k.index.close(address) {
		k.leadership.steward.counters.storesLost.Inc()
		k.leadership.steward.options.Log.Warn("store lost", "store", address, "cause", cause)
	}
}

// reopen opens a store's inventory, if it is closed. An incarnation other than the one that
// entries may know opens after reopenDelay, and is written to the log first.
func (k *inventoryFollower) reopen(ctx context.Context, address string, incarnation uint64) {
	if !k.index.closed(address) {
		return
	}
	s := k.leadership.steward
	pause := time.Duration(0)
	if s.machine.incarnationOf(address) != incarnation {
		pause = reopenDelay + k.permitExtension(time.Now())
		if _, err := s.propose(ctx, command{StoreIncarnation: &storeIncarnation{Address: address, Incarnation: incarnation}}); err != nil {
			s.options.Log.Warn("store incarnation not recorded", "store", address, "err", err)
		}
	}
	k.index.reopen(address, time.Now(), pause)
	s.options.Log.Info("store opens", "store", address, "life", incarnation, "opens_in", pause)
}

// requestClock queries the upstreams' clock if it is unknown. Listings don't contain it, and a
// query for events is kept open for storeWait: entries that started together with all other
// hosts would know the stores' contents and couldn't permit any fetch.
func (k *inventoryFollower) requestClock(ctx context.Context, address string, next uint64) {
	if k.clock(time.Now()) != 0 {
		return
	}
	events, err := k.call(ctx, func(ctx context.Context) (StoreEvents, error) {
		return k.stores().Events(ctx, address, next, 0)
	})
	if err == nil {
		k.recordClock(events.Clock)
	}
}

// recordClock records a value of the upstreams' clock. One far ahead of it, which would permit fetches for
// longer, counts only if the next value agrees.
func (k *inventoryFollower) recordClock(clockMs int64) {
	if clockMs <= 0 {
		return
	}
	longest := longestTimeout(k.leadership.steward.machine.Document())
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	backMs := k.clockMs + now.Sub(k.clockAt).Milliseconds() - clockMs
	if k.clockMs > 0 && -backMs > maxClockLead.Milliseconds() && !k.agreesAhead(clockMs, now) {
		k.aheadMs, k.aheadAt = clockMs, now
		return
	}
	k.aheadMs = 0
	if k.clockMs > 0 && backMs > clockLag.Milliseconds() {
		// No request, and so none of its fetches, outlasts its route's timeout.
		if back := time.Duration(min(backMs, longest.Milliseconds())) * time.Millisecond; back >= k.permitExtensionLocked(now) {
			k.clockStep, k.clockSteppedAt = back, now
		}
	}
	k.clockMs, k.clockAt = clockMs, now
}

// agreesAhead reports whether the value before was as far ahead of the known clock. The caller holds the lock.
func (k *inventoryFollower) agreesAhead(clockMs int64, now time.Time) bool {
	difference := clockMs - k.aheadMs - now.Sub(k.aheadAt).Milliseconds()
	return k.aheadMs > 0 && max(difference, -difference) <= clockLag.Milliseconds()
}

// permitExtension returns the time by which fetches may outlast FetchPermit that were permitted
// before the upstreams' clock stepped back.
func (k *inventoryFollower) permitExtension(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.permitExtensionLocked(now)
}

// permitExtensionLocked is permitExtension for a caller that holds the lock.
func (k *inventoryFollower) permitExtensionLocked(now time.Time) time.Duration {
	if now.Sub(k.clockSteppedAt) >= staleViewLifetime+k.clockStep {
		return 0
	}
	return k.clockStep
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

// clock returns the earliest time that the upstreams' clock can show, 0 if unknown.
func (k *inventoryFollower) clock(now time.Time) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.clockMs == 0 {
		return 0
	}
	return k.clockMs + now.Sub(k.clockAt).Milliseconds()
}

// fill adds what a watcher lacks of the inventories and reports whether there is any.
func (k *inventoryFollower) fill(request *WatchRequest, answer *WatchAnswer) bool {
	if request.Inventories == nil {
		return false
	}
	k.mu.Lock()
	stores := slices.Sorted(maps.Keys(k.byStore))
	k.mu.Unlock()
	var found bool
	answer.Inventories, found, answer.StoreStates = k.index.answerWithStates(request.Inventories, stores, time.Now())
	return found
}
