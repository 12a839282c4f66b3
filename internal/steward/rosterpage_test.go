package steward

import (
	"reflect"
	"testing"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/roster"
)

// pageBytes bounds one answer with the roster: a tenth of a second of an entry's link.
const pageBytes = 128 << 10

// readRoster reads the roster page by page, each page from the next of some hosts, and returns
// the upstreams, the number of pages and the size of the largest answer.
func readRoster(t *testing.T, hosts []*Machine) (held map[string]roster.Upstream, pages, largest int) {
	t.Helper()
	held = make(map[string]roster.Upstream)
	request := &WatchRequest{Entry: &EntryView{Host: "e1"}}
	for more := true; more; pages++ {
		var answer WatchAnswer
		hosts[pages%len(hosts)].fill(request, &answer)
		raw := wire.MustMarshal(answer)
		largest = max(largest, len(raw))
		var received WatchAnswer
		if err := wire.Unmarshal(raw, &received); err != nil {
			t.Fatal(err)
		}
		for _, u := range received.Roster.Upstreams {
			held[u.ID] = u
		}
		request.Roster, request.ReadingRoster, more = received.Roster.Revision, received.Roster.More, received.Roster.More
	}
	return held, pages, largest
}

// Guards against control hosts that run out of memory, and entries whose link is occupied for a
// second, while a thousand entries receive ten thousand upstreams: without pages the answer
// grows with the fleet. Pages come in the same order from hosts that were restored from a
// snapshot.
func TestRosterIsSentInPages(t *testing.T) {
	for _, n := range []int{100, 2500, 10000} {
		first, second := NewMachine(), NewMachine()
		announceUpstreams(first, n)
		saved, err := first.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := second.Restore(saved); err != nil {
			t.Fatal(err)
		}
		held, pages, largest := readRoster(t, []*Machine{first, second})
		if len(held) != n || largest > pageBytes {
			t.Errorf("%d upstreams: %d received on %d pages of up to %d bytes", n, len(held), pages, largest)
		}
		t.Logf("%d upstreams: %d pages, %d bytes at most", n, pages, largest)
	}
}

// Guards against a page that is encoded again for each of the entries that receive it.
func TestRosterPageEncodingIsShared(t *testing.T) {
	m := NewMachine()
	announceUpstreams(m, 2000)
	page := func(held uint64) *RosterView {
		var answer WatchAnswer
		m.fill(&WatchRequest{Entry: &EntryView{Host: "e1"}, Roster: held, ReadingRoster: true}, &answer)
		return answer.Roster
	}
	first, again, next := page(0), page(0), page(500)
	if first != again || first == next {
		t.Error("not shared")
	}
	for held := range uint64(4 * maxPages) {
		page(held)
	}
	if len(m.pages.bySince) > maxPages {
		t.Errorf("%d pages are kept", len(m.pages.bySince))
	}
	var answer WatchAnswer
	m.fill(&WatchRequest{LastContacts: []LastContact{}}, &answer)
	if len(answer.Roster.Upstreams) != 0 || answer.Roster.Revision != 2000 {
		t.Errorf("a control host received %d upstreams", len(answer.Roster.Upstreams))
	}
}

// Guards against a configuration that is encoded again for each of hundreds of entries: with
// some hundred routes that takes a host half a second, while an operator waits.
func TestEntryDocumentIsShared(t *testing.T) {
	m := NewMachine()
	send := func(version catalog.Version) []byte {
		m.applyDocument(testDocument(version, "as the operator wrote it"))
		var first, second WatchAnswer
		m.fill(&WatchRequest{Entry: &EntryView{Host: "e1"}}, &first)
		m.fill(&WatchRequest{Entry: &EntryView{Host: "e2"}}, &second)
		if first.Document != second.Document {
			t.Errorf("version %d has two encodings", version)
		}
		return wire.MustMarshal(first)
	}
	for _, version := range []catalog.Version{3, 4} {
		var received WatchAnswer
		if err := wire.Unmarshal(send(version), &received); err != nil {
			t.Fatal(err)
		}
		want := testDocument(version, "as the operator wrote it")
		want.Source = nil
		if !reflect.DeepEqual(received.Document, want) {
			t.Errorf("received %+v, want %+v", received.Document, want)
		}
	}
	if m.Document().Source == nil {
		t.Error("the operator can't read it back")
	}
}
