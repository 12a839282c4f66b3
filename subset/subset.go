// Package subset chooses the entries that callers are told to use.
//
// An entry knows of upstreams what its own requests have shown it, and holds the
// connections that these have opened. Spread over all entries of a large fleet, a
// request meets an entry that has sent nothing to its runner for seconds: what it
// knows is old, and it opens a connection. Callers are therefore told no more entries
// than their requests need, those of their own data centre, so that a request crosses
// between data centres once at most.
//
// The load pattern is a fleet with many more entries than its requests need, whose
// callers pick one at random for each connection. All control hosts choose the same
// entries without a word between them, and one that is lost is replaced by the next
// in the order while the others stay.
package subset

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MinEntries is the number of entries that callers of one data centre are told at least:
// the loss of one is felt by an eighth of them.
const MinEntries = 8

// Entry is one entry that takes new callers.
type Entry struct {
	// Host names the entry, and DataCentre where it stands.
	Host, DataCentre string
	// Rate are the requests a second that it serves, and Most those that it serves
	// well, 0 if it does not tell.
	Rate, Most int
}

// Choose returns the places in entries of those that callers in a data centre are to
// use, limit at most. Where fewer than Least stand in their data centre, or none
// tells what it takes, all are named, the callers' own data centre first.
func Choose(entries []Entry, dataCentre string, limit int) []int {
	order := make([]int, len(entries))
	keys := make([]uint64, len(entries))
	rate, most, told, own := 0, 0, 0, 0
	for i := range entries {
		e := &entries[i]
		order[i], keys[i] = i, xxhash.Sum64String(dataCentre+"/"+e.Host)
		if e.DataCentre != dataCentre {
			continue
		}
		own++
		rate += e.Rate
		if e.Most > 0 {
			most += e.Most
			told++
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		if near := entries[a].DataCentre == dataCentre; near != (entries[b].DataCentre == dataCentre) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(keys[b], keys[a]), cmp.Compare(entries[a].Host, entries[b].Host))
	})
	wanted := len(entries)
	if own >= MinEntries && told > 0 {
		// As many as serve the requests if each takes what is usual.
		wanted = max(MinEntries, int(math.Ceil(float64(rate*told)/float64(most))))
	}
	return order[:min(wanted, limit, len(entries))]
}
