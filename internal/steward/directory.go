package steward

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagereach/lovagereach/subset"
)

const (
	// addressCacheTTL is the time for which an answer of the directory is reused. Callers keep
	// an answer for seconds, and thousands of them send requests.
	addressCacheTTL = 100 * time.Millisecond
	// maxEntryAddresses bounds the addresses that an entry is given for its callers.
	maxEntryAddresses = 64
	// settleWithin is how long, from the first query in a term, a list is withheld that has less than
	// half of the entries known before: callers keep an answer for seconds, and would share the few that
	// called first.
	settleWithin = time.Second
	// maxCachedQueries bounds the cached answers: callers may name any data centre.
	maxCachedQueries = 64
)

// entryList returns this host's current list of entries.
func (s *Steward) entryList() []EntryView {
	if l := s.leading.Load(); l != nil {
		return l.watchers.recentEntries(time.Now())
	}
	return s.relay.entries(s.relay.now())
}

// directory caches the answers to callers, by data centre and limit.
type directory struct {
	mu     sync.Mutex
	cached map[addressQuery]cachedAddresses
	// term is that of the latest query, termAt the time of the first one in it. complete is set once
	// the list was.
	term     uint64
	termAt   time.Time
	complete bool
}

// settled reports whether a list of so many entries is given to callers, of those that were known
// before a restart. The caller holds the lock.
func (d *directory) settled(listed, before int, term uint64, now time.Time) bool {
	if d.term != term || d.termAt.IsZero() {
		d.term, d.termAt, d.complete = term, now, false
	}
	d.complete = d.complete || 2*listed >= before
	return d.complete || now.Sub(d.termAt) >= settleWithin
}

// currentTerm returns the term whose entries this host lists.
func (s *Steward) currentTerm() uint64 {
	if l := s.leading.Load(); l != nil {
		return l.elected
	}
	return s.relay.term()
}

// addressQuery is a caller's data centre and the number of addresses that it requests.
type addressQuery struct {
	dataCentre string
	limit      int
}

type cachedAddresses struct {
	at        time.Time
	addresses []string
	// revision identifies the addresses.
	revision uint64
}

// Addresses lists the listeners that callers in a data centre should use, at most limit of
// them. The list must not be changed.
func (s *Steward) Addresses(dataCentre string, limit int) []string {
	return s.addressesFor(dataCentre, limit).addresses
}

// addAddresses adds the addresses that an entry tells callers of its data centre. They wake no
// watch: an entry gets them with its next answer.
func (s *Steward) addAddresses(request *WatchRequest, answer *WatchAnswer) {
	if request.Entry == nil || !request.Directory {
		return
	}
	list := s.addressesFor(request.Entry.DataCentre, maxEntryAddresses)
	if len(list.addresses) == 0 {
		return
	}
	answer.AddressesRevision = list.revision
	if list.revision != request.AddressesRevision {
		answer.Addresses = list.addresses
	}
}

func (s *Steward) addressesFor(dataCentre string, limit int) cachedAddresses {
	d, from, now := &s.directory, addressQuery{dataCentre: dataCentre, limit: limit}, time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, given := d.cached[from]; given && now.Sub(known.at) < addressCacheTTL {
		return known
	}
	if d.cached == nil || len(d.cached) >= maxCachedQueries {
		d.cached = make(map[addressQuery]cachedAddresses)
	}
	// With the term of before an election, the list of after it is judged once more.
	term := s.currentTerm()
	views := s.entryList()
	var addresses []string
	if d.complete && d.term == term || d.settled(usable(views), s.learnedEntries(), term, now) {
		addresses = chooseAddresses(views, dataCentre, limit)
	}
	list := cachedAddresses{at: now, addresses: addresses, revision: xxhash.Sum64String(strings.Join(addresses, " "))}
	d.cached[from] = list
	return list
}

// usable counts the entries that callers may use.
func usable(views []EntryView) int {
	n := 0
	for i := range views {
		if views[i].Ready || views[i].Starting {
			n++
		}
	}
	return n
}

func chooseAddresses(views []EntryView, dataCentre string, limit int) []string {
	var ready []subset.Entry
	var callers []string
	least := leastUnreached(views)
	for _, view := range views {
		// Callers of an entry that others outdo are served through those, by a longer way.
		if (view.Ready || view.Starting) && view.Unreached < least+reachMargin {
			ready = append(ready, subset.Entry{Host: view.Host, DataCentre: view.DataCentre, Rate: view.Rate, Capacity: view.Most})
			callers = append(callers, view.Callers)
		}
	}
	places := subset.Choose(ready, dataCentre, limit)
	addresses := make([]string, len(places))
	for i, at := range places {
		addresses[i] = callers[at]
	}
	return addresses
}
