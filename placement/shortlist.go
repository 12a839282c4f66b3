package placement

import (
	"cmp"
	"slices"
)

// Shortlist returns the places of the candidates that come first by hash for a key, most
// at most, in the order in which they stand. id names a candidate, and fit tells whether
// it can be chosen; it is asked only of those that may come first.
//
// The load pattern is a fleet of thousands of candidates that are idle nearly always.
// Weighing all of them takes an entry's processor longer than the rest of a request, and
// the best of the first hundred are as good. All entries draw up the same list: requests
// with the same key meet where their parts are kept.
func Shortlist(key string, n, most int, id func(int) string, fit func(int) bool) []int {
	if n <= most {
		var all []int
		for i := range n {
			if fit(i) {
				all = append(all, i)
			}
		}
		return all
	}
	type ranked struct {
		score uint64
		at    int
	}
	// The first so far, the last of them in front.
	first := make([]ranked, 0, most+1)
	for i := range n {
		score := hash(id(i), key)
		if len(first) == most && score <= first[0].score || !fit(i) {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, score, func(r ranked, score uint64) int { return cmp.Compare(r.score, score) })
		first = slices.Insert(first, at, ranked{score: score, at: i})
		if len(first) > most {
			first = slices.Delete(first, 0, 1)
		}
	}
	places := make([]int, len(first))
	for i, r := range first {
		places[i] = r.at
	}
	slices.Sort(places)
	return places
}
