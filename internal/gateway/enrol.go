package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/roster"
)

// follows reports whether a page of the roster can be taken in: it goes on from what is
// held, or begins the roster anew. A late answer that begins it anew brings what has been
// told since.
func (s *state) follows(view *steward.RosterView, late bool) bool {
	if view.Since == 0 && s.rosterR > 0 {
		return !late
	}
	return view.Since <= s.rosterR && view.Revision >= s.rosterR
}

// enrol takes in a page of the roster. What was held before is used until the last page
// of a roster that begins anew has come.
func (s *state) enrol(view *steward.RosterView) {
	if view.Since == 0 {
		s.listing = make(map[string]bool, len(view.Upstreams))
	}
	s.rosterR = view.Revision
	for _, record := range view.Upstreams {
		if s.listing != nil {
			s.listing[record.ID] = true
		}
		s.enrolOne(record)
	}
	if s.listing == nil || view.More {
		return
	}
	for id, u := range s.members {
		if !s.listing[id] {
			s.strike(u)
		}
	}
	s.listing = nil
}

// enrolOne takes in an upstream's record.
func (s *state) enrolOne(record roster.Upstream) {
	known := s.members[record.ID]
	switch {
	case record.State == roster.Gone:
		if known != nil {
			s.strike(known)
		}
		return
	case known != nil && known.record.StartedMs == record.StartedMs:
		s.renew(known, record)
		return
	case known != nil:
		s.strike(known)
	}
	// Sends to the former life end in its own account.
	u := &upstreamState{record: record}
	u.noteCold(time.Now())
	s.members[record.ID] = u
	s.offer(u)
	if known == nil {
		return
	}
	u.unlisted = time.Now().Add(recentFor)
	if s.index != nil && !s.isStore(record.Address) {
		delete(s.stores, record.Address)
	}
}

// renew takes in a later record of the same life.
func (s *state) renew(u *upstreamState, record roster.Upstream) {
	before := u.record
	if before.State != record.State || before.Service != record.Service {
		s.withhold(u)
		u.record = record
		s.offer(u)
	}
	u.record = record
	if before.Sequence != record.Sequence || before.Doubts != record.Doubts || before.ColdMs != record.ColdMs {
		u.noteCold(time.Now())
	}
}

// strike drops an upstream.
func (s *state) strike(u *upstreamState) {
	s.withhold(u)
	delete(s.members, u.record.ID)
}

// offer lists an upstream that serves among those of its service, by name.
func (s *state) offer(u *upstreamState) {
	if u.record.State != roster.Serving {
		return
	}
	list := s.serving[u.record.Service]
	if at, listed := placeOf(list, u.record.ID); !listed {
		s.serving[u.record.Service] = slices.Insert(list, at, u)
	}
}

// withhold takes an upstream off the list of its service.
func (s *state) withhold(u *upstreamState) {
	list := s.serving[u.record.Service]
	if at, listed := placeOf(list, u.record.ID); listed && list[at] == u {
		s.serving[u.record.Service] = slices.Delete(list, at, at+1)
	}
}

func placeOf(list []*upstreamState, id string) (at int, listed bool) {
	return slices.BinarySearchFunc(list, id, func(u *upstreamState, id string) int { return strings.Compare(u.record.ID, id) })
}
