package subset

import (
	"fmt"
	"slices"
	"testing"
)

// fleet has so many entries in each of five data centres.
func fleet(each int) []Entry {
	var entries []Entry
	for i := range 5 * each {
		entries = append(entries, Entry{Host: fmt.Sprintf("10.%d.0.%d", i%5, i), DataCentre: fmt.Sprintf("z%d", i%5), Most: 60})
	}
	return entries
}

func hosts(entries []Entry, places []int) []string {
	var names []string
	for _, at := range places {
		names = append(names, entries[at].Host)
	}
	return names
}

// Sixty entries stand in each data centre, and eight serve all that comes there.
// Callers of each are told eight of their own; told the first ones of a list of all,
// they would all use one data centre's.
func TestCallersAreToldTheEntriesOfTheirDataCentre(t *testing.T) {
	entries := fleet(60)
	for zone := range 5 {
		places := Choose(entries, fmt.Sprintf("z%d", zone), 64)
		if len(places) != MinEntries {
			t.Fatalf("%d entries are named", len(places))
		}
		for _, at := range places {
			if entries[at].DataCentre != fmt.Sprintf("z%d", zone) {
				t.Errorf("callers of z%d are told %s", zone, entries[at].Host)
			}
		}
	}
}

// The requests grow to what 20 entries take, then to more than the data centre's take
// together. Each time as many entries are named as the requests need, and those that
// were named before stay.
func TestMoreRequestsNeedMoreEntries(t *testing.T) {
	entries := fleet(30)
	before := hosts(entries, Choose(entries, "z2", 64))
	for _, c := range []struct{ rate, want int }{{40, 20}, {90, 45}, {400, 64}} {
		for i := range entries {
			entries[i].Rate = c.rate
		}
		named := hosts(entries, Choose(entries, "z2", 64))
		if len(named) != c.want || !slices.Equal(named[:len(before)], before) {
			t.Errorf("at %d requests a second each %d entries are named, want %d", c.rate, len(named), c.want)
		}
		before = named
	}
}

// One of the named entries stops. The next in the order takes its place, and the
// others stay; all control hosts say the same, whatever the order of their lists.
func TestALostEntryIsReplacedByTheNext(t *testing.T) {
	entries := fleet(60)
	before := hosts(entries, Choose(entries, "z1", 64))
	lost := before[2]
	slices.Reverse(entries)
	left := slices.DeleteFunc(entries, func(e Entry) bool { return e.Host == lost })
	after := hosts(left, Choose(left, "z1", 64))
	if len(after) != MinEntries || !slices.Equal(after[:MinEntries-1], slices.Delete(before, 2, 3)) {
		t.Errorf("named %v after %s of %v was lost", after, lost, before)
	}
}

// Where few entries stand in a data centre, or none tells what it takes, callers are
// told all: one that is lost would be felt by too many.
func TestFewEntriesAreAllNamed(t *testing.T) {
	few := fleet(3)
	untold := fleet(20)
	for i := range untold {
		untold[i].Most = 0
	}
	if n := len(Choose(few, "z0", 64)); n != 15 {
		t.Errorf("%d of 15 entries are named", n)
	}
	if n := len(Choose(untold, "z0", 64)); n != 64 {
		t.Errorf("%d of 100 entries are named, 64 fit", n)
	}
	if n := len(Choose(few, "elsewhere", 64)); n != 15 {
		t.Errorf("%d of 15 entries are named to callers of another place", n)
	}
	if places := Choose(nil, "z0", 64); len(places) != 0 {
		t.Errorf("%v of no entries are named", places)
	}
}
