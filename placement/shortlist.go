package placement

import (
	"cmp"
	"slices"
)

// Shortlist returns the indices, in ascending order, of the up to limit candidates that
// rank highest by hash for a key. id returns a candidate's name. eligible reports whether a
// candidate can be chosen; it is called only for those that may rank high enough.
//
// Designed for a fleet of thousands of candidates that are idle nearly always. Evaluating
// all of them takes more of an entry's CPU time than the rest of a request, and the best of
// the first hundred are as good. All entries compute the same list, so that requests with
// the same key go to the runners that cache their parts.
func Shortlist(key string, n, limit int, id func(int) string, eligible func(int) bool) []int {
	if n <= limit {
		var all []int
		for i := range n {
			if eligible(i) {
				all = append(all, i)
			}
		}
		return all
	}
	type ranked struct {
		score uint64
		index int
	}
	// top holds the best candidates so far in ascending order of score.
	top := make([]ranked, 0, limit+1)
	for i := range n {
		score := hash(id(i), key)
		if len(top) == limit && score <= top[0].score || !eligible(i) {
			continue
		}
		index, _ := slices.BinarySearchFunc(top, score, func(r ranked, score uint64) int { return cmp.Compare(r.score, score) })
		top = slices.Insert(top, index, ranked{score: score, index: i})
		if len(top) > limit {
			top = slices.Delete(top, 0, 1)
		}
	}
	indices := make([]int, len(top))
	for i, r := range top {
		indices[i] = r.index
	}
	slices.Sort(indices)
	return indices
}
