// Package subset chooses the entries that callers are given to use.
//
// An entry knows the state of upstreams from its own requests, and keeps the connections
// that these have opened. If requests are spread over all entries of a large fleet, a
// request arrives at an entry that has sent nothing to its runner for seconds: its state is
// stale, and it has to open a connection. Callers are therefore given no more entries than
// their requests need, from their own data centre, so that a request crosses between data
// centres at most once.
//
// Designed for a fleet with many more entries than its requests need, whose callers pick an
// entry at random for each connection. All control hosts choose the same entries without
// communicating, and a lost entry is replaced by the next one in the order while the others
// stay.
package subset

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MinEntries is the minimum number of entries given to callers of one data centre: the loss
// of one affects an eighth of the callers.
const MinEntries = 8

// Entry is an entry that accepts new callers.
type Entry struct {
	// Host is the name of the entry, and DataCentre its data centre.
	Host, DataCentre string
	// Rate is the requests a second that the entry serves. Most is the number that it can
	// serve well, or 0 if it does not report one.
	Rate, Capacity int
}

// Choose returns the indices of up to limit entries that callers in a data centre are to
// use. If their data centre has fewer than MinEntries, or none of its entries reports the
// rate that it can serve, Choose returns all entries up to limit, those in the callers' own
// data centre first.
func Choose(entries []Entry, dataCentre string, limit int) []int {
	order := make([]int, len(entries))
	keys := make([]uint64, len(entries))
	rate, capacity, reporting, own := 0, 0, 0, 0
	for i := range entries {
		e := &entries[i]
		order[i], keys[i] = i, xxhash.Sum64String(dataCentre+"/"+e.Host)
		if e.DataCentre != dataCentre {
			continue
		}
		own++
		rate += e.Rate
		if e.Capacity > 0 {
			capacity += e.Capacity
			reporting++
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		if isLocal := entries[a].DataCentre == dataCentre; isLocal != (entries[b].DataCentre == dataCentre) {
			if isLocal {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(keys[b], keys[a]), cmp.Compare(entries[a].Host, entries[b].Host))
	})
	wanted := len(entries)
	if own >= MinEntries && reporting > 0 {
		// The number of entries that serves the requests if each has the average capacity.
		wanted = max(MinEntries, int(math.Ceil(float64(rate*reporting)/float64(capacity))))
	}
	return order[:min(wanted, limit, len(entries))]
}
