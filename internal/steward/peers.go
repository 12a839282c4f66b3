package steward

import "math/rand/v2"

const (
	// maxPeers is the number of entries that one entry without upstreams may forward to.
	maxPeers = 8
	// reachMargin is the difference in percent from which on an entry reaches clearly more
	// upstreams than another. Upstreams that crash are lost to all entries, at different moments.
	reachMargin = 30
)

// choosePeers chooses entries that reach clearly more upstreams than the given one, at random.
func choosePeers(views []EntryView, entry *EntryView) []PeerView {
	var list []PeerView
	for _, i := range rand.Perm(len(views)) {
		view := &views[i]
		if len(list) >= maxPeers {
			break
		}
		if view.Ready && view.Host != entry.Host && view.Unreached+reachMargin <= entry.Unreached {
			list = append(list, PeerView{Host: view.Host, DataCentre: view.DataCentre, Callers: view.Callers})
		}
	}
	return list
}

// leastUnreached returns the lowest share of unreached upstreams of the ready entries.
func leastUnreached(views []EntryView) int {
	least := 100
	for _, view := range views {
		if view.Ready {
			least = min(least, view.Unreached)
		}
	}
	return least
}
