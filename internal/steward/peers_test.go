package steward

import (
	"slices"
	"testing"
)

// Guards against entries without upstreams that are sent to others without any, or whose addresses
// callers are given while others reach the upstreams; and against a directory without addresses
// when all entries are alike.
func TestPeersAndDirectoryPreferEntriesThatReachUpstreams(t *testing.T) {
	views := func(unreached ...int) []EntryView {
		list := make([]EntryView, len(unreached))
		for i := range list {
			list[i] = readyEntry(i)
			list[i].Unreached = unreached[i]
		}
		return list
	}
	for _, test := range []struct {
		name           string
		views          []EntryView
		listed, helped int
	}{
		{"half of the entries are cut", views(0, 100, 0, 100), 2, 2},
		{"all are cut", views(90, 100, 100, 90), 4, 0},
		{"upstreams crashed, at slightly different moments", views(40, 50, 30, 50), 4, 0},
		{"one entry reaches a few more than the rest", views(70, 100, 100, 90), 2, 1},
		{"all but one are cut", views(100, 100, 0, 100), 1, 1},
	} {
		if got := chooseAddresses(test.views, "north", 64); len(got) != test.listed {
			t.Errorf("%s: callers are given %v", test.name, got)
		}
		peers := choosePeers(test.views, &test.views[1])
		if len(peers) != test.helped || slices.ContainsFunc(peers, func(p PeerView) bool { return p.Host == test.views[1].Host }) {
			t.Errorf("%s: requests are forwarded to %v", test.name, peers)
		}
	}
	leaving := views(0, 100)
	leaving[0].Ready = false
	if len(choosePeers(leaving, &leaving[1])) != 0 || len(chooseAddresses(leaving, "north", 64)) != 1 {
		t.Error("an entry that leaves is used")
	}
}
