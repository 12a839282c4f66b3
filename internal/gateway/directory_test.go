package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
)

// Guards against callers that wait for a control host that is lost or suspended: an entry tells them
// the addresses that it was given last, unless it shouldn't be used itself.
func TestEntryAnswersCallersWhileControlIsLost(t *testing.T) {
	g, _ := testGateway(t, nil)
	g.state.directory = true
	if !g.NextRequest().Directory || g.Addresses("a", 64) != nil {
		t.Error("an entry without addresses doesn't ask for them, or answers")
	}
	apply := func(revision uint64, addresses ...string) {
		g.ApplyAnswer(&steward.WatchAnswer{Term: 1, Addresses: addresses, AddressesRevision: revision}, time.Now())
	}
	g.options.DataCentre, g.options.Regions = "a", map[string]string{"a": "north", "b": "north", "c": "south"}
	apply(7, "e1:80", "e2:80")
	apply(7)
	if got := g.Addresses("a", 64); !slices.Equal(got, []string{"e1:80", "e2:80"}) || g.NextRequest().AddressesRevision != 7 {
		t.Errorf("callers are given %v", got)
	}
	if got := g.Addresses("a", 1); len(got) != 1 {
		t.Errorf("%d addresses of at most one", len(got))
	}
	g.state.addressesAt = time.Now().Add(-addressesMaxAge - time.Second)
	if g.Addresses("a", 64) != nil {
		t.Error("an entry that is cut off from control answers for good")
	}
	apply(0)
	apply(8)
	if g.Addresses("a", 64) != nil {
		t.Error("a control host that knows no list, or another one, confirms the one that is held")
	}
	apply(7)
	if g.Addresses("b", 64) == nil || g.Addresses("c", 64) != nil {
		t.Error("callers of another region are told this region's entries, or others of this one are not")
	}
	expired := false
	g.options.ConfigExpired = func(time.Time) bool { return expired }
	for _, unusable := range []func(){func() { expired = true }, func() { expired = false; g.Leave(time.Time{}) }} {
		if unusable(); g.Addresses("a", 64) != nil {
			t.Error("an entry that takes no callers answers")
		}
	}
}
