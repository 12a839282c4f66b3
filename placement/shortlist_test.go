package placement

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against requests with one key that meet at no runner, because entries that know
// a few runners less or more weigh others; and against a list that misses who can be
// chosen.
func TestShortlistsOfOneKeyAgree(t *testing.T) {
	id := func(i int) string { return fmt.Sprint("u", i) }
	any := func(int) bool { return true }
	all := Shortlist("k", 10000, 100, id, any)
	if len(all) != 100 || !slices.IsSorted(all) {
		t.Fatalf("%d places", len(all))
	}
	fewer := Shortlist("k", 9900, 100, id, any)
	for _, at := range all {
		if at < 9900 && !slices.Contains(fewer, at) {
			t.Errorf("%d is on one list only", at)
		}
	}
	others := 0
	for _, at := range Shortlist("another", 10000, 100, id, any) {
		if slices.Contains(all, at) {
			others++
		}
	}
	if others > 10 {
		t.Errorf("two keys share %d of 100", others)
	}
	odd := func(i int) bool { return i%2 == 1 }
	for _, n := range []int{60, 10000} {
		got := Shortlist("k", n, 100, id, odd)
		if want := min(n/2, 100); len(got) != want || slices.ContainsFunc(got, func(i int) bool { return !odd(i) }) {
			t.Errorf("of %d: %d places", n, len(got))
		}
	}
}
