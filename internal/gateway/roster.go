package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/resumption"
	"github.com/lovagereach/lovagereach/roster"
)

// canApplyRoster reports whether a page of the roster can be applied: it continues the
// revision that is known, or starts a complete roster. A complete roster in a late
// answer is ignored, since newer pages have been received since.
func (s *state) canApplyRoster(view *steward.RosterView, partial bool) bool {
	if view.Since == 0 && s.rosterRevision > 0 {
		return !partial
	}
	return view.Since <= s.rosterRevision && view.Revision >= s.rosterRevision
}

// applyRoster applies a page of the roster. Upstreams known before stay in use until the last
// page of a complete roster has been received.
func (s *state) applyRoster(view *steward.RosterView) {
	if view.Since == 0 {
		s.rosterListed = make(map[string]bool, len(view.Upstreams))
	}
	s.rosterRevision = view.Revision
	for _, record := range view.Upstreams {
		if s.rosterListed != nil {
			s.rosterListed[record.ID] = true
		}
		s.applyUpstream(record)
	}
	if s.rosterListed == nil || view.More {
		return
	}
	for id, u := range s.upstreams {
		if !s.rosterListed[id] {
			s.removeUpstream(u)
		}
	}
	s.rosterListed = nil
}

// applyRosterAnswer applies the page of the roster in an answer, if any. It returns the records of
// the streams of services that have several software versions from now on: until then the control
// hosts needed none.
func (s *state) applyRosterAnswer(answer *steward.WatchAnswer, sent time.Time) (records []resumption.Record) {
	asOf := s.clockNow().Add(-time.Since(sent) - answer.StateAge)
	if page := answer.Roster; page != nil {
		if !s.canApplyRoster(page, answer.Partial) {
			return nil
		}
		before := s.versions.Counts()
		s.applyRoster(page)
		for service, count := range s.versions.Counts() {
			if count > 1 && before[service] <= 1 {
				records = append(records, s.origins.OfService(service)...)
			}
		}
	}
	if s.rosterListed == nil && s.rosterRevision > 0 && asOf.After(s.rosterAsOf) {
		s.rosterAsOf = asOf
	}
	return records
}

// applyUpstream applies the record of an upstream.
func (s *state) applyUpstream(record roster.Upstream) {
	known := s.upstreams[record.ID]
	switch {
	case record.State == roster.Gone:
		if known != nil {
			s.removeUpstream(known)
		}
		return
	case known != nil && known.record.StartedMs == record.StartedMs:
		s.updateUpstream(known, record)
		return
	}
	// The next version is added before the previous one is removed, so that a version that both
	// incarnations have stays listed.
	s.versions.Add(record.Service, record.Software, s.rosterAsOf, s.clockNow())
	if known != nil {
		s.removeUpstream(known)
	}
	// Sends to the previous incarnation are released in its own account.
	u := &upstreamState{record: record}
	u.updateCold(time.Now())
	s.upstreams[record.ID] = u
	s.addServing(u)
	if known == nil {
		return
	}
	u.cacheStaleUntil = time.Now().Add(recentTTL)
}

// updateUpstream applies a later record of the same incarnation.
func (s *state) updateUpstream(u *upstreamState, record roster.Upstream) {
	before := u.record
	if before.Service != record.Service || before.Software != record.Software {
		s.versions.Add(record.Service, record.Software, s.rosterAsOf, s.clockNow())
		s.versions.Remove(before.Service, before.Software, s.clockNow())
	}
	if before.State != record.State || before.Service != record.Service {
		s.removeServing(u)
		u.record = record
		s.addServing(u)
	}
	u.record = record
	if before.Sequence != record.Sequence || before.WarmReportsNeeded != record.WarmReportsNeeded || before.ColdMs != record.ColdMs {
		u.updateCold(time.Now())
	}
}

// removeUpstream removes an upstream, with the transfers of its link.
func (s *state) removeUpstream(u *upstreamState) {
	s.removeServing(u)
	s.versions.Remove(u.record.Service, u.record.Software, s.clockNow())
	s.limits.Forget(u.record.ID)
	s.reach.Forget(u.record.ID)
	delete(s.upstreams, u.record.ID)
	if s.index != nil && !s.isStore(u.record.Address) {
		delete(s.stores, u.record.Address)
	}
}

// addServing adds an upstream in state serving to the list of its service, which is sorted by
// ID.
func (s *state) addServing(u *upstreamState) {
	if u.record.State != roster.Serving {
		return
	}
	list := s.serving[u.record.Service]
	if i, listed := searchByID(list, u.record.ID); !listed {
		s.serving[u.record.Service] = slices.Insert(list, i, u)
	}
}

// removeServing removes an upstream from the list of its service.
func (s *state) removeServing(u *upstreamState) {
	list := s.serving[u.record.Service]
	if i, listed := searchByID(list, u.record.ID); listed && list[i] == u {
		s.serving[u.record.Service] = slices.Delete(list, i, i+1)
	}
}

func searchByID(list []*upstreamState, id string) (i int, listed bool) {
	return slices.BinarySearchFunc(list, id, func(u *upstreamState, id string) int { return strings.Compare(u.record.ID, id) })
}
