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
	// retireEvery is the interval at which superseded parts are looked for.
	retireEvery = 500 * time.Millisecond
	// retireThreshold is the used share of a store from which such parts are freed. Below it
	// their space is not needed.
	retireThreshold = 0.4
	// freeDelay is the time between retiring a part and freeing it: an entry may act on its
	// earlier state for up to staleViewLifetime.
	freeDelay = staleViewLifetime
	// freeWithin bounds the time in which an order to free takes effect. It is shorter than
	// electionMin: a host that led until the order was sent has no successor before that time
	// has passed, so entries receive no other state.
	freeWithin = 250 * time.Millisecond
	// maxFreedParts bounds the parts of one order.
	maxFreedParts = 500
)

// retirer frees the parts that superseded weights, former pools and teams that are isolated no more left
// in the stores. A store evicts nothing by itself: after one or two new versions it would have no capacity
// for new parts.
//
// A part is retired first: entries are notified that it may not be read any more. It is freed
// once every fetch that any entry may have permitted has ended. The wait counts from this
// leadership's own retirement, since an earlier leader may have sent entries another state.
type retirer struct {
	leadership *leadership
	// config is the index of the configuration at the latest check.
	config *catalog.Index
	// retiredAt holds the time at which each part was retired, by store.
	retiredAt map[string]map[cacheindex.Key]time.Time
	// permitExtension is the time by which fetches that an entry has permitted may outlast
	// FetchPermit.
	permitExtension time.Duration
}

func newRetirer(l *leadership) *retirer {
	return &retirer{leadership: l, retiredAt: make(map[string]map[cacheindex.Key]time.Time)}
}

func (o *retirer) run(ctx context.Context) {
	s := o.leadership.steward
	for wait.For(ctx, retireEvery) {
		d := s.machine.Document()
		if d == nil {
			continue
		}
		if o.config == nil || o.config.Document() != d {
			o.config = catalog.NewIndex(d)
		}
		superseded := supersededShare(o.config, s.machine.live())
		for i := range d.Services {
			if store := d.Services[i].Store; store != nil && store.Managed {
				o.maintain(ctx, store, superseded)
			}
		}
	}
}

// supersededShare returns a function for the share of a scope's prompts that use another one by now:
// all of them if the pool is a former one or the team is not isolated.
func supersededShare(index *catalog.Index, live []roster.Upstream) func(cacheindex.Scope) float64 {
	upgraded := upgradedShare(live)
	return func(scope cacheindex.Scope) float64 {
		if scope.Team != "" && !index.Isolated(scope.Team) || scope.Team == "" && scope.Pool != uint64(index.Document().CachePool()) {
			return 1
		}
		return upgraded(scope.Model, scope.Version)
	}
}

// upgradedShare returns a function for the share of a model's runners with weights newer than a
// version.
func upgradedShare(live []roster.Upstream) func(model string, version uint64) float64 {
	return func(model string, version uint64) float64 {
		runners, newer := 0, 0
		for i := range live {
			has := live[i].VersionOf(model)
			if has == 0 {
				continue
			}
			runners++
			if has > version {
				newer++
			}
		}
		if runners == 0 {
			return 0
		}
		return float64(newer) / float64(runners)
	}
}

// maintain retires and frees parts of one store.
func (o *retirer) maintain(ctx context.Context, store *catalog.Store, superseded func(cacheindex.Scope) float64) {
	s := o.leadership.steward
	parts, incarnation := s.index.list(store.Address)
	now := time.Now()
	o.permitExtension = o.leadership.inventories.permitExtension(now)
	due := o.due(store.Address, parts, now)
	if len(due) > 0 {
		o.free(ctx, store.Address, incarnation, due)
	}
	used := 0
	for _, part := range parts {
		used += max(part.Tokens, -part.Tokens)
	}
	if float64(used) < retireThreshold*float64(store.CapacityTokens) {
		return
	}
	outdated := cacheindex.Outdated(parts, superseded)
	s.index.retire(store.Address, outdated)
	for _, part := range outdated {
		o.retiredAt[store.Address][part.Key] = now
	}
	if len(outdated) > 0 {
		s.options.Log.Info("parts retired", "store", store.Address, "parts", len(outdated), "used", used)
	}
}

// due returns the retired parts of a store that may be freed, and drops those that are gone.
// Parts that an earlier leader retired wait as long as others.
func (o *retirer) due(address string, parts []cacheindex.Change, now time.Time) []cacheindex.Key {
	since := make(map[cacheindex.Key]time.Time)
	var due []cacheindex.Key
	for _, part := range parts {
		if part.Tokens > 0 {
			continue
		}
		at, known := o.retiredAt[address][part.Key]
		if !known {
			at = now
		}
		since[part.Key] = at
		if now.Sub(at) >= freeDelay+o.permitExtension && len(due) < maxFreedParts {
			due = append(due, part.Key)
		}
	}
	o.retiredAt[address] = since
	return due
}

// free orders a store to free parts, if this host is certain to lead. A commit proves it: the
// hosts that confirmed it elect no other leader for electionMin.
func (o *retirer) free(ctx context.Context, address string, incarnation uint64, parts []cacheindex.Key) {
	s := o.leadership.steward
	began := time.Now()
	clock := o.leadership.inventories.clock(began)
	if clock == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := s.propose(ctx, command{StoreIncarnation: &storeIncarnation{Address: address, Incarnation: s.machine.incarnationOf(address)}}); err != nil {
		s.options.Log.Info("parts not freed", "store", address, "cause", err)
		return
	}
	detail, err := s.manager.QuorumStatus(group)
	if err != nil || detail.Role != quorum.RoleLeader || detail.Term != o.leadership.elected {
		s.options.Log.Info("parts not freed", "store", address, "cause", "leadership not certain", "err", err)
		return
	}
	if err := s.options.Stores.Free(ctx, address, incarnation, parts, clock+freeWithin.Milliseconds()); err != nil {
		// Parts that the store still holds are ordered again at the next check.
		s.options.Log.Info("parts not freed", "store", address, "parts", len(parts), "cause", err)
		return
	}
	s.options.Log.Info("parts freed", "store", address, "life", incarnation, "parts", len(parts))
}
