package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagereach/lovagereach/outcome"
)

// Address implements Service.
//
// The answer is the same at every entry and does not change while the set of
// entries stays the same: it is chosen by rendezvous hashing of team and caller
// over the entries. Callers that are all configured with the same entry are
// thereby spread over all entries. Entries that have left or have no serving
// lease are never named.
func (e *Entry) Address(caller Caller, from string) (AddressAnswer, error) {
	now := time.Now()
	peers := e.usableEntries(now)
	if len(peers) == 0 {
		return AddressAnswer{}, &outcome.NotRun{
			Reason:     outcome.ReasonDraining,
			Detail:     "this entry takes no new callers and knows no other",
			RetryAfter: time.Second,
		}
	}
	first := e.preferredEntry(caller, from, peers)
	answer := AddressAnswer{Address: peers[first].Callers, Keep: e.options.KeepAddress}
	for i, peer := range peers {
		if i != first && len(answer.Alternates) < maxAlternates {
			answer.Alternates = append(answer.Alternates, peer.Callers)
		}
	}
	if e.includesSelf(answer) {
		e.drain.extendKeptUntil(now.Add(answer.Keep))
	}
	return answer, nil
}

// usableEntries lists the entries that callers may be directed to.
func (e *Entry) usableEntries(now time.Time) []Peer {
	self := Peer{Host: e.options.Host, DataCentre: e.options.DataCentre, Callers: e.options.Callers}
	var peers []Peer
	if !e.drain.isLeaving() && e.options.Control.Serving(now) {
		peers = append(peers, self)
	}
	for _, peer := range e.options.Control.Entries() {
		if peer.Host != self.Host && peer.Callers != "" {
			peers = append(peers, peer)
		}
	}
	return peers
}

// preferredEntry returns the index in peers of the entry that a caller should
// use.
func (e *Entry) preferredEntry(caller Caller, from string, peers []Peer) int {
	key := xxhash.Sum64String(string(caller.Team()) + "\x00" + from)
	e.mu.Lock()
	home, ok := e.keeper.homes.Home(homeCell, key)
	e.mu.Unlock()
	if !ok {
		return 0
	}
	return max(0, slices.IndexFunc(peers, func(peer Peer) bool { return peer.Host == home }))
}

// includesSelf reports whether an answer names this entry.
func (e *Entry) includesSelf(answer AddressAnswer) bool {
	return answer.Address == e.options.Callers || slices.Contains(answer.Alternates, e.options.Callers)
}

// maxAlternates is the maximum number of other entries in one answer.
const maxAlternates = 8

// listAlternates returns the addresses of other entries as a suffix for the
// detail of a refusal, empty if there are none.
func (e *Entry) listAlternates() string {
	var names []string
	for _, peer := range e.options.Control.Entries() {
		if peer.Host != e.options.Host && peer.Callers != "" && len(names) < maxAlternates {
			names = append(names, peer.Callers)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return ": " + strings.Join(names, ", ")
}
