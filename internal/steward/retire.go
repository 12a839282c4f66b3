package steward

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/quorum"
	"github.com/lovagereach/lovagereach/roster"
)

const (
	// retireEvery is how often parts of former weights are looked for.
	retireEvery = 500 * time.Millisecond
	// retireFrom is the filled share of a store from which they are freed. What
	// lies below it is in nobody's way.
	retireFrom = 0.4
	// retirePause is the time between the retiring of a part and its freeing: an
	// entry may go by what it knew before for as long as beliefLasts.
	retirePause = beliefLasts
	// freeWithin bounds the time in which an order to free takes effect. It is
	// shorter than electionMin: a host that led until the order was given has no
	// successor before that time is over, and entries are told nothing else.
	freeWithin = 250 * time.Millisecond
	// freeAtOnce bounds the parts of one order.
	freeAtOnce = 500
)

// retirer frees the parts that former weights left in the stores. A store drops
// nothing by itself: after one or two new versions it would have no room for
// what is read now.
//
// A part is retired first: entries are told that it may not be read any more.
// It is freed once every fetch that any entry may have permitted has ended. The
// wait counts from this leadership's own retiring, since a leader before may
// have told entries something else.
type retirer struct {
	leadership *leadership
	// since is when each part was retired, by store.
	since map[string]map[cacheindex.Key]time.Time
	// linger is how much longer than usual fetches last that an entry has permitted.
	linger time.Duration
}

func newRetirer(l *leadership) *retirer {
	return &retirer{leadership: l, since: make(map[string]map[cacheindex.Key]time.Time)}
}

func (o *retirer) run(ctx context.Context) {
	s := o.leadership.steward
	for wait.For(ctx, retireEvery) {
		d := s.machine.Document()
		if d == nil {
			continue
		}
		passed := passedBy(s.machine.live())
		for i := range d.Services {
			if store := d.Services[i].Store; store != nil && store.Managed {
				o.tend(ctx, store, passed)
			}
		}
	}
}

// passedBy returns the share of a model's runners that have gone on to weights
// later than a version.
func passedBy(live []roster.Upstream) func(model string, version uint64) float64 {
	return func(model string, version uint64) float64 {
		runners, later := 0, 0
		for i := range live {
			has := live[i].VersionOf(model)
			if has == 0 {
				continue
			}
			runners++
			if has > version {
				later++
			}
		}
		if runners == 0 {
			return 0
		}
		return float64(later) / float64(runners)
	}
}

// tend retires and frees parts of one store.
func (o *retirer) tend(ctx context.Context, store *catalog.Store, passed func(string, uint64) float64) {
	s := o.leadership.steward
	parts, life := s.book.list(store.Address)
	now := time.Now()
	o.linger = o.leadership.shelves.lingering(now)
	due := o.due(store.Address, parts, now)
	if len(due) > 0 {
		o.free(ctx, store.Address, life, due)
	}
	used := 0
	for _, part := range parts {
		used += max(part.Tokens, -part.Tokens)
	}
	if float64(used) < retireFrom*float64(store.CapacityTokens) {
		return
	}
	outdated := cacheindex.Outdated(parts, passed)
	s.book.retire(store.Address, outdated)
	for _, part := range outdated {
		o.since[store.Address][part.Key] = now
	}
	if len(outdated) > 0 {
		s.options.Log.Info("parts retired", "store", store.Address, "parts", len(outdated), "used", used)
	}
}

// due returns the retired parts of a store that may be freed, and forgets those
// that are gone. Parts that a leader before retired wait as long as others.
func (o *retirer) due(address string, parts []cacheindex.Change, now time.Time) []cacheindex.Key {
	since := make(map[cacheindex.Key]time.Time)
	var due []cacheindex.Key
	for _, part := range parts {
		if part.Tokens > 0 {
			continue
		}
		at, known := o.since[address][part.Key]
		if !known {
			at = now
		}
		since[part.Key] = at
		if now.Sub(at) >= retirePause+o.linger && len(due) < freeAtOnce {
			due = append(due, part.Key)
		}
	}
	o.since[address] = since
	return due
}

// free orders a store to free parts, if this host leads for certain. A commit
// proves it: those who confirmed it elect nobody else for electionMin.
func (o *retirer) free(ctx context.Context, address string, life uint64, parts []cacheindex.Key) {
	s := o.leadership.steward
	began := time.Now()
	clock := o.leadership.shelves.clock(began)
	if clock == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := s.propose(ctx, command{Life: &storeLife{Address: address, Life: s.machine.lifeOf(address)}}); err != nil {
		s.options.Log.Info("parts not freed", "store", address, "cause", err)
		return
	}
	detail, err := s.manager.QuorumStatus(group)
	if err != nil || detail.Role != quorum.RoleLeader || detail.Term != o.leadership.elected {
		s.options.Log.Info("parts not freed", "store", address, "cause", "leadership not certain", "err", err)
		return
	}
	if err := s.options.Stores.Free(ctx, address, life, parts, clock+freeWithin.Milliseconds()); err != nil {
		// They are ordered again at the next look, if they still stand there.
		s.options.Log.Info("parts not freed", "store", address, "parts", len(parts), "cause", err)
		return
	}
	s.options.Log.Info("parts freed", "store", address, "life", life, "parts", len(parts))
}
