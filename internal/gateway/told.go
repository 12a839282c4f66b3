package gateway

import (
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/steward"
)

// take takes in an answer and reports a configuration that came into force.
func (s *state) take(answer *steward.WatchAnswer, sent time.Time) *catalog.Index {
	var index *catalog.Index
	if answer.Document != nil {
		index = catalog.NewIndex(answer.Document)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	adopted := s.adopt(index)
	if answer.Weights != nil && answer.Weights.Revision >= s.weightsR {
		s.weightsR = answer.Weights.Revision
		for _, w := range answer.Weights.Newest {
			s.weights[w.Model] = max(s.weights[w.Model], w.Version)
		}
	}
	for _, f := range answer.MinVersions {
		s.floor[f.Model] = max(s.floor[f.Model], f.Version)
	}
	if r := answer.Roster; r != nil && s.follows(r, answer.Partial) {
		s.enrol(r)
	}
	if v := answer.Evacuation; v != nil && v.Revision > s.evacuation.Revision {
		s.evacuation = *v
	}
	if answer.Partial {
		s.dispatch(time.Now())
		return adopted
	}
	s.noteSilence(answer)
	s.term = answer.Term
	if answer.GrantsAt > 0 {
		s.allowance.SetGrants(answer.Grants, sent.Add(-answer.GrantsAge))
	}
	s.noteLoads(answer)
	s.loadsAt = time.Now().Add(-answer.StateAge)
	s.noteShelves(answer, sent)
	s.noteStocked(time.Now())
	s.entries, s.takers = answer.EntryCount, answer.ActiveEntries
	s.dispatch(time.Now())
	return adopted
}

// adopt takes a newer configuration into force. An older one, from a control
// host that lags, changes nothing.
func (s *state) adopt(index *catalog.Index) *catalog.Index {
	if index == nil || (s.index != nil && index.Version() <= s.index.Version()) {
		return nil
	}
	if s.index == nil {
		close(s.started)
		s.startedAt = time.Now()
	}
	s.index = index
	return index
}

// noteSilence takes in which upstreams the control hosts don't hear, if that has changed.
func (s *state) noteSilence(answer *steward.WatchAnswer) {
	if answer.SilentAt != 0 && answer.SilentAt == s.silentAt && answer.Term == s.term {
		return
	}
	s.silentAt = answer.SilentAt
	silent := make(map[string]bool, len(answer.Silent))
	for _, id := range answer.Silent {
		silent[id] = true
	}
	now := time.Now()
	for _, u := range s.members {
		s.noteSilent(u, silent[u.record.ID], now)
	}
}

func (s *state) noteLoads(answer *steward.WatchAnswer) {
	for u := range s.laden {
		u.loading = false
		u.others = steward.Load{}
	}
	clear(s.laden)
	for _, store := range s.stores {
		store.others = 0
	}
	for _, id := range answer.Loading {
		if u := s.members[id]; u != nil {
			u.loading = true
			s.laden[u] = struct{}{}
		}
	}
	for _, load := range answer.Loads {
		if u := s.members[load.Upstream]; u != nil {
			u.others = load
			s.laden[u] = struct{}{}
		} else if store := s.stores[load.Upstream]; store != nil {
			store.others = load.Unread
		}
	}
}

func (s *state) noteShelves(answer *steward.WatchAnswer, sent time.Time) {
	if answer.Inventories == nil {
		return
	}
	for i := range answer.Inventories.Batches {
		sheet := &answer.Inventories.Batches[i]
		if sheet.Cleared {
			s.list(sheet.Address)
		}
		pending := s.store(sheet.Address).pending
		for _, part := range sheet.Parts {
			delete(pending, cacheindex.Key{Salt: sheet.Salt, Part: part})
		}
	}
	if !s.book.Apply(answer.Inventories) {
		return
	}
	s.shelvesAt = sent
	if answer.Clock > 0 {
		// Taken with the shelves only: the steady clock, by which they are trusted, stands
		// still while the machine is suspended, and a later reading would permit fetches
		// by them that end later than freeing waits for.
		s.clock, s.clockAt = answer.Clock, time.Now()
	}
	for _, store := range s.stores {
		store.open = false
	}
	for _, told := range answer.StoreStates {
		s.store(told.Address).open = told.Open
	}
}

// list notes that the book holds a cache as it is in the present life: the hosts
// clear a runner's shelf when they learn of its birth.
func (s *state) list(address string) {
	for _, u := range s.members {
		if u.record.Address == address {
			u.unlisted = time.Time{}
		}
	}
}

// noteStocked ends the wait for the first word on what the stores hold, and for the
// upstreams' clock, without which nothing can be fetched from them. A word that is
// too old to rely on when it comes is none. Stores
// that are down for long must not hold up requests for ever.
func (s *state) noteStocked(now time.Time) {
	if s.index == nil || s.isStocked() {
		return
	}
	if len(s.index.Stores()) == 0 || (s.anyOpen() && s.clock > 0 && s.shelvesTrusted(now)) || now.Sub(s.startedAt) >= stockedWait {
		close(s.stocked)
	}
}

func (s *state) anyOpen() bool {
	for _, store := range s.stores {
		if store.open {
			return true
		}
	}
	return false
}

// isStocked reports whether the shelves have ever been complete.
func (s *state) isStocked() bool {
	select {
	case <-s.stocked:
		return true
	default:
		return false
	}
}
