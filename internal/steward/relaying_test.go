package steward

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/ident"
)

// followingEntry is an entry's side of the watches, on a real connection.
type followingEntry struct {
	mu       sync.Mutex
	book     *cacheindex.Index
	document catalog.Version
	parts    int
	complete bool
	through  ident.Host
}

func (f *fleet) followAs(ctx context.Context, name string) *followingEntry {
	follower, err := NewEntryFollower(EntryOptions{
		Cluster: "test", Key: []byte("a key of the test processes"), Host: ident.Host(name), DataCentre: "north",
		Seeds: []ident.Host{hostName(1), hostName(2), hostName(3)}, PeerPort: f.port, Log: log.New(io.Discard),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	e := &followingEntry{book: cacheindex.NewIndex(false)}
	go follower.Run(ctx, func() *WatchRequest {
		e.mu.Lock()
		defer e.mu.Unlock()
		question := e.book.Ask()
		return &WatchRequest{
			Entry: &EntryView{Host: name, Ready: true}, Document: e.document, Inventories: &question, Term: follower.term,
		}
	}, func(answer *WatchAnswer, _ time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if answer.Document != nil {
			e.document = max(e.document, answer.Document.Version)
		}
		if answer.Inventories != nil {
			e.complete = e.book.Apply(answer.Inventories)
		}
		e.parts = e.book.Inventory("store:1").Len()
		e.through = follower.asked
	})
	return e
}

func (e *followingEntry) holds(document catalog.Version, parts int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.complete && e.document == document && e.parts == parts
}

// Callers are served by an old configuration for seconds if one host has to
// answer all entries of a large fleet: its answers come later than the entries
// wait for them, each is asked for again, and none of the work comes to an end.
// With many entries the leader passes them on to the other control hosts, and
// does so again after it was lost.
func TestManyEntriesAreAnsweredByAllControlHosts(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.stores.add(cacheindex.Change{Key: cacheindex.Key{Salt: "s", Part: "p0"}, Tokens: 10})
	f.put(1, "one")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var entries []*followingEntry
	for i := range entriesAlone + 4 {
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
		return lead != nil && e.through != "" && e.through != lead.options.Self
	}
	f.await("all entries are told everything", all(func(e *followingEntry) bool { return e.holds(1, 1) }))
	f.await("no entry asks the leader", all(throughOthers))
	f.stores.add(cacheindex.Change{Key: cacheindex.Key{Salt: "s", Part: "p1"}, Tokens: 10})
	f.put(2, "two")
	f.await("news reach all entries", all(func(e *followingEntry) bool { return e.holds(2, 2) }))
	lost := f.leader()
	f.kill(lost.options.Self)
	f.stores.add(cacheindex.Change{Key: cacheindex.Key{Salt: "s", Part: "p2"}, Tokens: 10})
	f.put(3, "three")
	f.await("news reach all entries after the leader was lost", all(func(e *followingEntry) bool { return e.holds(3, 3) }))
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
