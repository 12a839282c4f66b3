package steward

import (
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/subset"
)

const (
	// addressesKept is how long an answer of the directory is given again. Callers keep it
	// for seconds, and thousands of them ask.
	addressesKept = 100 * time.Millisecond
	// maxPlaces bounds the data centres whose answers are kept: callers may name any.
	maxPlaces = 64
)

// entryList returns the entries as this host knows them.
func (s *Steward) entryList() []EntryView {
	if l := s.leading.Load(); l != nil {
		return l.watchers.recentEntries(time.Now())
	}
	return s.branch.entries(s.branch.now())
}

// directory keeps the answers that callers are given, by data centre.
type directory struct {
	mu    sync.Mutex
	given map[place]givenAddresses
}

// place is where a caller asks from, and for how many addresses.
type place struct {
	dataCentre string
	limit      int
}

type givenAddresses struct {
	at        time.Time
	addresses []string
}

// Addresses lists the listeners that callers in a data centre are to use, limit at
// most. The list must not be changed.
func (s *Steward) Addresses(dataCentre string, limit int) []string {
	d, from, now := &s.directory, place{dataCentre: dataCentre, limit: limit}, time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, given := d.given[from]; given && now.Sub(known.at) < addressesKept {
		return known.addresses
	}
	if d.given == nil || len(d.given) >= maxPlaces {
		d.given = make(map[place]givenAddresses)
	}
	addresses := chooseAddresses(s.entryList(), dataCentre, limit)
	d.given[from] = givenAddresses{at: now, addresses: addresses}
	return addresses
}

func chooseAddresses(views []EntryView, dataCentre string, limit int) []string {
	var ready []subset.Entry
	var callers []string
	for _, view := range views {
		if view.Ready {
			ready = append(ready, subset.Entry{Host: view.Host, DataCentre: view.DataCentre, Rate: view.Rate, Most: view.Most})
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
