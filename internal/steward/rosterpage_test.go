package steward

import (
	"reflect"
	"testing"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/roster"
)

// pageBytes bounds one answer about the roster: a tenth of a second of an entry's link.
const pageBytes = 128 << 10

// tellAll tells an entry the roster by pages, each from the next of some hosts, and returns
// what it holds, the pages and the bytes of the largest.
func tellAll(t *testing.T, hosts []*Machine) (held map[string]roster.Upstream, pages, largest int) {
	t.Helper()
	held = make(map[string]roster.Upstream)
	request := &WatchRequest{Entry: &EntryView{Host: "e1"}}
	for more := true; more; pages++ {
		var answer WatchAnswer
		hosts[pages%len(hosts)].fill(request, &answer)
		raw := wire.MustMarshal(answer)
		largest = max(largest, len(raw))
		var told WatchAnswer
		if err := wire.Unmarshal(raw, &told); err != nil {
			t.Fatal(err)
		}
		for _, u := range told.Roster.Upstreams {
			held[u.ID] = u
		}
		request.Roster, request.Listing, more = told.Roster.Revision, told.Roster.More, told.Roster.More
	}
	return held, pages, largest
}

// Guards against control hosts that end for want of memory, and entries whose link is taken
// for a second, while a thousand entries are told ten thousand upstreams: the answer grows
// with the fleet. Pages come from hosts that go on from a snapshot too, in the same order.
func TestARosterIsToldByPages(t *testing.T) {
	for _, n := range []int{100, 2500, 10000} {
		first, second := NewMachine(), NewMachine()
		manyUpstreams(first, n)
		saved, err := first.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := second.Restore(saved); err != nil {
			t.Fatal(err)
		}
		held, pages, largest := tellAll(t, []*Machine{first, second})
		if len(held) != n || largest > pageBytes {
			t.Errorf("%d upstreams: %d told on %d pages of up to %d bytes", n, len(held), pages, largest)
		}
		t.Logf("%d upstreams: %d pages, %d bytes at most", n, pages, largest)
	}
}

// Guards against a page that is written anew for each of the entries that are told it.
func TestEntriesThatAreToldTheSameShareAnEncoding(t *testing.T) {
	m := NewMachine()
	manyUpstreams(m, 2000)
	tell := func(held uint64) *RosterView {
		var answer WatchAnswer
		m.fill(&WatchRequest{Entry: &EntryView{Host: "e1"}, Roster: held, Listing: true}, &answer)
		return answer.Roster
	}
	first, again, next := tell(0), tell(0), tell(500)
	if first != again || first == next {
		t.Error("not shared")
	}
	for held := range uint64(4 * maxPages) {
		tell(held)
	}
	if len(m.pages.bySince) > maxPages {
		t.Errorf("%d pages are kept", len(m.pages.bySince))
	}
	var answer WatchAnswer
	m.fill(&WatchRequest{LastContacts: []LastContact{}}, &answer)
	if len(answer.Roster.Upstreams) != 0 || answer.Roster.Revision != 2000 {
		t.Errorf("a control host is told %d upstreams", len(answer.Roster.Upstreams))
	}
}

// Guards against a configuration that is written anew for each of hundreds of entries: with
// some hundred routes that takes a host half a second, while an operator waits.
func TestAConfigurationIsEncodedOnceForAllEntries(t *testing.T) {
	m := NewMachine()
	tell := func(version catalog.Version) []byte {
		m.applyDocument(testDocument(version, "as the operator wrote it"))
		var first, second WatchAnswer
		m.fill(&WatchRequest{Entry: &EntryView{Host: "e1"}}, &first)
		m.fill(&WatchRequest{Entry: &EntryView{Host: "e2"}}, &second)
		if first.Document != second.Document {
			t.Errorf("version %d is told twice", version)
		}
		return wire.MustMarshal(first)
	}
	for _, version := range []catalog.Version{3, 4} {
		var told WatchAnswer
		if err := wire.Unmarshal(tell(version), &told); err != nil {
			t.Fatal(err)
		}
		want := testDocument(version, "as the operator wrote it")
		want.Source = nil
		if !reflect.DeepEqual(told.Document, want) {
			t.Errorf("told %+v, want %+v", told.Document, want)
		}
	}
	if m.Document().Source == nil {
		t.Error("the operator can't read it back")
	}
}
