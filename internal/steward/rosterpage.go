package steward

import (
	"time"

	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/roster"
)

const (
	// rosterPageSize is the maximum number of upstreams in one answer, some 50 KB. Thousands in
	// one answer occupy an entry's link for a second, and on a host that answers hundreds of
	// entries after a restart the memory for all those answers at the same time.
	rosterPageSize = 500
	// pageTTL is the time for which a page is reused after the roster has changed.
	pageTTL = 50 * time.Millisecond
	// maxPages bounds the cached pages, some 3 MB.
	maxPages = 64
)

// rosterAfter returns the next page of the roster that the caller of a watch lacks. If the
// changes after the caller's revision are not all known, the pages list the roster from the
// start. The caller holds the lock.
func (m *Machine) rosterAfter(request *WatchRequest, now time.Time) *RosterView {
	if request.Entry == nil {
		return &RosterView{Revision: m.roster.Revision()}
	}
	since := uint64(0)
	if request.ReadingRoster || m.roster.Covers(request.Roster) {
		since = request.Roster
	}
	return m.pages.after(m.roster, since, now)
}

// rosterPages caches recent pages of the roster. Entries that receive the same page share one
// encoding: after a restart each page goes to hundreds of them.
type rosterPages struct {
	bySince map[uint64]cachedRosterPage
}

type cachedRosterPage struct {
	at time.Time
	// revision is the revision of the roster at that time.
	revision uint64
	view     *RosterView
}

// after returns the page of the changes after a revision.
func (p *rosterPages) after(r *roster.Roster, since uint64, now time.Time) *RosterView {
	if cached, known := p.bySince[since]; known && (cached.revision == r.Revision() || now.Sub(cached.at) < pageTTL) {
		return cached.view
	}
	if p.bySince == nil || len(p.bySince) >= maxPages {
		p.bySince = make(map[uint64]cachedRosterPage)
	}
	view := &RosterView{Since: since}
	view.Upstreams, view.Revision = r.Page(since, rosterPageSize)
	view.More = view.Revision < r.Revision()
	view.encoded = wire.MustMarshal((*plainRosterView)(view))
	p.bySince[since] = cachedRosterPage{at: now, revision: r.Revision(), view: view}
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
