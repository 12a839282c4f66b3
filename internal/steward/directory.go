package steward

import (
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/subset"
)

const (
	// addressCacheTTL is the time for which an answer of the directory is reused. Callers keep
	// an answer for seconds, and thousands of them send requests.
	addressCacheTTL = 100 * time.Millisecond
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
}

// addressQuery is a caller's data centre and the number of addresses that it requests.
type addressQuery struct {
	dataCentre string
	limit      int
}

type cachedAddresses struct {
	at        time.Time
	addresses []string
}

// Addresses lists the listeners that callers in a data centre should use, at most limit of
// them. The list must not be changed.
func (s *Steward) Addresses(dataCentre string, limit int) []string {
	d, from, now := &s.directory, addressQuery{dataCentre: dataCentre, limit: limit}, time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, given := d.cached[from]; given && now.Sub(known.at) < addressCacheTTL {
		return known.addresses
	}
	if d.cached == nil || len(d.cached) >= maxCachedQueries {
		d.cached = make(map[addressQuery]cachedAddresses)
	}
	addresses := chooseAddresses(s.entryList(), dataCentre, limit)
	d.cached[from] = cachedAddresses{at: now, addresses: addresses}
	return addresses
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
