package steward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/ident"
)

// followingEntry is an entry's side of the watches, on a real connection.
type followingEntry struct {
	mu       sync.Mutex
	index    *cacheindex.Index
	document catalog.Version
	parts    int
	complete bool
	via      ident.Host
}

func (f *testGroup) followAs(ctx context.Context, name string) *followingEntry {
	follower := f.newFollower(ident.Host(name), 0)
	e := &followingEntry{index: cacheindex.NewIndex(false)}
	go follower.Run(ctx, func() *WatchRequest {
		e.mu.Lock()
		defer e.mu.Unlock()
		query := e.index.NextQuery()
		return &WatchRequest{
			Entry: &EntryView{Host: name, Ready: true}, Document: e.document, Inventories: &query, Term: follower.term,
		}
	}, func(answer *WatchAnswer, _ time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if answer.Document != nil {
			e.document = max(e.document, answer.Document.Version)
		}
		if answer.Inventories != nil {
			e.complete = e.index.Apply(answer.Inventories)
		}
		e.parts = e.index.Inventory("store:1").Len()
		e.via = follower.lastHost
	})
	return e
}

func (e *followingEntry) holds(document catalog.Version, parts int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.complete && e.document == document && e.parts == parts
}

// Guards against callers that are served by an old configuration for seconds because one host
// answers all entries of a large fleet: its answers arrive after their timeouts, each request
// is sent again, and none of the work completes. With many entries the leader redirects them to
// the other control hosts, also after the loss of a leader.
func TestManyEntriesAreAnsweredByAllControlHosts(t *testing.T) {
	for _, handover := range []bool{false, true} {
		t.Run(fmt.Sprintf("handover %v", handover), func(t *testing.T) { testManyEntries(t, handover) })
	}
}

func testManyEntries(t *testing.T, handover bool) {
	f := newTestGroup(t)
	f.handover = handover
	f.startThree()
	f.stores.add(cacheindex.Change{Key: cacheindex.Key{Salt: "s", Part: "p0"}, Tokens: 10})
	f.put(1, "one")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var entries []*followingEntry
	for i := range maxDirectEntries + 4 {
		entries = append(entries, f.followAs(ctx, fmt.Sprint("e", i)))
	}
	all := func(holds func(*followingEntry) bool) func() bool {
		return func() bool {
			for _, e := range entries {
				if !holds(e) {
					return false
				}
			}
			return true
		}
	}
	throughOthers := func(e *followingEntry) bool {
		lead := f.leader()
		e.mu.Lock()
		defer e.mu.Unlock()
		return lead != nil && e.via != "" && e.via != lead.options.Self
	}
	f.await("all entries have the complete state", all(func(e *followingEntry) bool { return e.holds(1, 1) }))
	f.await("no entry watches the leader", all(throughOthers))
	f.stores.add(cacheindex.Change{Key: cacheindex.Key{Salt: "s", Part: "p1"}, Tokens: 10})
	f.put(2, "two")
	f.await("changes reach all entries", all(func(e *followingEntry) bool { return e.holds(2, 2) }))
	lost := f.leader()
	f.kill(lost.options.Self)
	f.stores.add(cacheindex.Change{Key: cacheindex.Key{Salt: "s", Part: "p2"}, Tokens: 10})
	f.put(3, "three")
	f.await("changes reach all entries after the loss of the leader", all(func(e *followingEntry) bool { return e.holds(3, 3) }))
	f.await("every control host lists the entries", func() bool {
		for i := 1; i <= 3; i++ {
			f.mu.Lock()
			m := f.running[hostName(i)]
			f.mu.Unlock()
			if m != nil && len(m.steward.Addresses("", len(entries))) != len(entries) {
				return false
			}
		}
		return true
	})
}
