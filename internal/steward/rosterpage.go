package steward

import (
	"time"

	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/roster"
)

const (
	// rosterPage is how many upstreams one answer tells at most, some 50 KB. Thousands in
	// one answer take an entry's link for a second, and a host that answers hundreds of
	// entries after a restart the memory of all those answers at once.
	rosterPage = 500
	// pageKept is how long a page is told again after the roster has changed.
	pageKept = 50 * time.Millisecond
	// maxPages bounds the pages that are kept, some 3 MB.
	maxPages = 64
)

// rosterAfter is what the caller of a watch lacks of the roster: the next page of it.
// Who holds a revision after which not all changes are known, is told the roster from
// the start. The caller holds the lock.
func (m *Machine) rosterAfter(request *WatchRequest, now time.Time) *RosterView {
	if request.Entry == nil {
		return &RosterView{Revision: m.roster.Revision()}
	}
	since := uint64(0)
	if request.Listing || m.roster.Covers(request.Roster) {
		since = request.Roster
	}
	return m.pages.after(m.roster, since, now)
}

// rosterPages are pages of the roster as they were told lately. Entries that are told the
// same are told it by one encoding: after a restart hundreds are told each page.
type rosterPages struct {
	bySince map[uint64]rosterPageTold
}

type rosterPageTold struct {
	at time.Time
	// revision is that of the roster then.
	revision uint64
	view     *RosterView
}

// after returns the page of the changes after a revision.
func (p *rosterPages) after(r *roster.Roster, since uint64, now time.Time) *RosterView {
	if told, known := p.bySince[since]; known && (told.revision == r.Revision() || now.Sub(told.at) < pageKept) {
		return told.view
	}
	if p.bySince == nil || len(p.bySince) >= maxPages {
		p.bySince = make(map[uint64]rosterPageTold)
	}
	view := &RosterView{Since: since}
	view.Upstreams, view.Revision = r.Page(since, rosterPage)
	view.More = view.Revision < r.Revision()
	view.encoded = wire.MustMarshal((*plainRosterView)(view))
	p.bySince[since] = rosterPageTold{at: now, revision: r.Revision(), view: view}
	return view
}

// plainRosterView is a RosterView that is encoded field by field.
type plainRosterView RosterView

// MarshalCBOR implements cbor.Marshaler.
func (v *RosterView) MarshalCBOR() ([]byte, error) {
	if v.encoded != nil {
		return v.encoded, nil
	}
	return wire.Marshal((*plainRosterView)(v))
}
