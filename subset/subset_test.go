package subset

import (
	"fmt"
	"slices"
	"testing"
)

// fleet returns that many entries in each of five data centres.
func fleet(each int) []Entry {
	var entries []Entry
	for i := range 5 * each {
		entries = append(entries, Entry{Host: fmt.Sprintf("10.%d.0.%d", i%5, i), DataCentre: fmt.Sprintf("z%d", i%5), Capacity: 60})
	}
	return entries
}

func hosts(entries []Entry, indices []int) []string {
	var names []string
	for _, index := range indices {
		names = append(names, entries[index].Host)
	}
	return names
}

// Each data centre has sixty entries, of which eight can serve all requests. Callers of
// each must get eight of their own data centre; given the first ones of a common list, they
// would all use one data centre's.
func TestCallersGetEntriesOfTheirDataCentre(t *testing.T) {
	entries := fleet(60)
	for dataCentre := range 5 {
		indices := Choose(entries, fmt.Sprintf("z%d", dataCentre), 64)
		if len(indices) != MinEntries {
			t.Fatalf("%d entries chosen, want MinEntries", len(indices))
		}
		for _, index := range indices {
			if entries[index].DataCentre != fmt.Sprintf("z%d", dataCentre) {
				t.Errorf("callers of z%d get %s of another data centre", dataCentre, entries[index].Host)
			}
		}
	}
}

// The requests grow to what 20 entries can serve, then to more than those of the data
// centre together can. Each time the number of entries must match the requests, and the
// entries chosen before must stay.
func TestMoreRequestsGetMoreEntries(t *testing.T) {
	entries := fleet(30)
	before := hosts(entries, Choose(entries, "z2", 64))
	for _, c := range []struct{ rate, want int }{{40, 20}, {90, 45}, {400, 64}} {
		for i := range entries {
			entries[i].Rate = c.rate
		}
		chosen := hosts(entries, Choose(entries, "z2", 64))
		if len(chosen) != c.want || !slices.Equal(chosen[:len(before)], before) {
			t.Errorf("at %d requests a second for each entry: %d entries chosen, want %d and all earlier ones", c.rate, len(chosen), c.want)
		}
		before = chosen
	}
}

// One of the chosen entries stops. The next one in the order must replace it and the others
// must stay, and all control hosts must choose the same entries whatever the order of their
// lists.
func TestLostEntryIsReplacedByNext(t *testing.T) {
	entries := fleet(60)
	before := hosts(entries, Choose(entries, "z1", 64))
	lost := before[2]
	slices.Reverse(entries)
	left := slices.DeleteFunc(entries, func(e Entry) bool { return e.Host == lost })
	after := hosts(left, Choose(left, "z1", 64))
	if len(after) != MinEntries || !slices.Equal(after[:MinEntries-1], slices.Delete(before, 2, 3)) {
		t.Errorf("chose %v after %s of %v was lost", after, lost, before)
	}
}

// If a data centre has few entries, or none reports the rate that it can serve, callers
// must get all entries: the loss of one would affect too many callers.
func TestFewEntriesAreAllChosen(t *testing.T) {
	few := fleet(3)
	unreported := fleet(20)
	for i := range unreported {
		unreported[i].Capacity = 0
	}
	if n := len(Choose(few, "z0", 64)); n != 15 {
		t.Errorf("%d of 15 entries chosen, want all", n)
	}
	if n := len(Choose(unreported, "z0", 64)); n != 64 {
		t.Errorf("%d of 100 entries chosen, want the limit of 64", n)
	}
	if n := len(Choose(few, "elsewhere", 64)); n != 15 {
		t.Errorf("%d of 15 entries chosen for callers of another data centre, want all", n)
	}
	if indices := Choose(nil, "z0", 64); len(indices) != 0 {
		t.Errorf("chose %v from no entries", indices)
	}
}
