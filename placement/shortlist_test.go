package placement

import (
	"fmt"
	"slices"
	"testing"
)

// Requests with one key must reach the same runners although entries know slightly
// different sets of runners, and a shortlist must contain only eligible candidates.
func TestShortlistsOfOneKeyAgree(t *testing.T) {
	id := func(i int) string { return fmt.Sprint("u", i) }
	any := func(int) bool { return true }
	all := Shortlist("k", 10000, 100, id, any)
	if len(all) != 100 || !slices.IsSorted(all) {
		t.Fatalf("%d candidates, want 100 in ascending order", len(all))
	}
	fewer := Shortlist("k", 9900, 100, id, any)
	for _, at := range all {
		if at < 9900 && !slices.Contains(fewer, at) {
			t.Errorf("candidate %d is on the longer fleet's list only", at)
		}
	}
	others := 0
	for _, at := range Shortlist("another", 10000, 100, id, any) {
		if slices.Contains(all, at) {
			others++
		}
	}
	if others > 10 {
		t.Errorf("the lists of two keys share %d of 100 candidates, want at most 10", others)
	}
	odd := func(i int) bool { return i%2 == 1 }
	for _, n := range []int{60, 10000} {
		got := Shortlist("k", n, 100, id, odd)
		if want := min(n/2, 100); len(got) != want || slices.ContainsFunc(got, func(i int) bool { return !odd(i) }) {
			t.Errorf("of %d candidates: a list of %d, or one with ineligible candidates", n, len(got))
		}
	}
}
