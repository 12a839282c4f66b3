package gateway

import (
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/ratelimit"
	"github.com/lovagereach/lovagereach/resumption"
)

// apply applies an answer of the control hosts and returns the configuration that came into
// force with it, nil if none did, and the records of streams that the control hosts need now.
func (s *state) apply(answer *steward.WatchAnswer, sent time.Time) (*catalog.Index, []resumption.Record) {
	var index *catalog.Index
	if answer.Document != nil {
		index = catalog.NewIndex(answer.Document)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	adopted := s.adopt(index)
	s.takeLearned(answer, time.Now())
	s.applyWeights(answer, sent)
	records := s.applyRosterAnswer(answer, sent)
	if v := answer.Evacuation; v != nil && v.Revision > s.evacuation.Revision {
		s.evacuation = *v
	}
	if answer.Partial {
		s.dispatch(time.Now())
		return adopted, records
	}
	s.applySilent(answer)
	s.applyLimits(answer, sent)
	s.peers = answer.Peers
	s.applyAddresses(answer, sent)
	s.term = answer.Term
	if answer.GrantsRevision > 0 {
		s.allowance.SetGrants(answer.Grants, sent.Add(-answer.GrantsAge))
		s.limits.SetShares(answer.Shares, sent.Add(-answer.GrantsAge), time.Now())
	}
	s.applyLoads(answer)
	s.loadsAt = time.Now().Add(-answer.StateAge)
	s.reportInterval.Observe(time.Now())
	s.applyInventories(answer, sent)
	s.checkInventoriesReady(time.Now())
	s.entries, s.activeEntries = answer.EntryCount, answer.ActiveEntries
	s.limits.SetEntries(s.entries)
	s.dispatch(time.Now())
	return adopted, records
}

// adopt puts a newer configuration into force. An older one, from a control host that lags, is
// ignored.
func (s *state) adopt(index *catalog.Index) *catalog.Index {
	if index == nil || (s.index != nil && index.Version() <= s.index.Version()) {
		return nil
	}
	if s.index == nil {
		close(s.started)
		s.startedAt = time.Now()
	}
	s.index = index
	s.callerLimits.Store(&index.Document().Limits)
	s.versions.SetCallersWait(index.Document().LongestResumable())
	s.origins.SetLife(s.versions.Life())
	return index
}

// applySilent applies the list of upstreams that the control hosts have no contact with, if it
// has changed.
func (s *state) applySilent(answer *steward.WatchAnswer) {
	if answer.SilentRevision != 0 && answer.SilentRevision == s.silentRevision && answer.Term == s.term {
		return
	}
	s.silentRevision = answer.SilentRevision
	silent := make(map[string]bool, len(answer.Silent))
	for _, id := range answer.Silent {
		silent[id] = true
	}
	now := time.Now()
	for _, u := range s.upstreams {
		s.setSilent(u, silent[u.record.ID], now)
	}
}

// applyAddresses takes the addresses for callers, or that those held are still the present ones.
func (s *state) applyAddresses(answer *steward.WatchAnswer, sent time.Time) {
	switch {
	case len(answer.Addresses) > 0:
		s.addresses, s.addressesRevision = answer.Addresses, answer.AddressesRevision
	case answer.AddressesRevision == 0 || answer.AddressesRevision != s.addressesRevision:
		return
	}
	s.addressesAt = sent
}

// applyLimits applies the control hosts' list of limits, if it has changed.
func (s *state) applyLimits(answer *steward.WatchAnswer, sent time.Time) {
	if answer.LimitsRevision == 0 {
		return
	}
	if answer.LimitsRevision == s.limitsRevision && answer.Term == s.term && answer.Limits == nil {
		s.limits.ConfirmList(time.Now())
		return
	}
	// A list may be older than the roster, and name limits of incarnations that have ended.
	current := slices.DeleteFunc(slices.Clone(answer.Limits), func(o ratelimit.Observation) bool {
		u := s.upstreams[o.Upstream]
		return u == nil || u.record.StartedMs != o.StartedMs
	})
	s.limits.SetList(current, sent, time.Now())
	s.limitsRevision = answer.LimitsRevision
}

func (s *state) applyLoads(answer *steward.WatchAnswer) {
	for u := range s.loadedByOthers {
		u.loading = false
		u.others = steward.Load{}
	}
	clear(s.loadedByOthers)
	for _, store := range s.stores {
		store.others = 0
	}
	for _, id := range answer.Loading {
		if u := s.upstreams[id]; u != nil {
			u.loading = true
			s.loadedByOthers[u] = struct{}{}
		}
	}
	s.applyReads(answer.Loads)
	s.addReportedLinks(answer.Loads)
	for _, load := range answer.Loads {
		if u := s.upstreams[load.Upstream]; u != nil {
			u.others = load
			s.loadedByOthers[u] = struct{}{}
		} else if store := s.stores[load.Upstream]; store != nil {
			store.others = load.Unread
		}
	}
}

func (s *state) applyInventories(answer *steward.WatchAnswer, sent time.Time) {
	if answer.Inventories == nil {
		return
	}
	for i := range answer.Inventories.Batches {
		batch := &answer.Inventories.Batches[i]
		if batch.Cleared {
			s.markCacheListed(batch.Address)
		}
		pending := s.store(batch.Address).pending
		for _, part := range batch.Parts {
			pending.remove(cacheindex.Key{Salt: batch.Salt, Part: part})
		}
	}
	if !s.caches.Apply(answer.Inventories) {
		return
	}
	s.inventoriesAt = sent
	if answer.Clock > 0 {
		// The clock is read together with the inventories only. Their age is measured by the
		// monotonic clock, which stops while the machine is suspended: a later reading of the
		// upstreams' clock would permit fetches from these inventories that end after the
		// parts may have been freed.
		s.clock, s.clockAt = answer.Clock, time.Now()
	}
	for _, store := range s.stores {
		store.open = false
	}
	for _, reported := range answer.StoreStates {
		s.store(reported.Address).open = reported.Open
	}
}

// markCacheListed records that the inventory of a runner's cache is of its present
// incarnation: the control hosts clear the inventory when they learn of a new start time.
func (s *state) markCacheListed(address string) {
	for _, u := range s.upstreams {
		if u.record.Address == address {
			u.cacheStaleUntil = time.Time{}
		}
	}
}

// checkInventoriesReady ends the wait for the first inventories of the stores and for the
// upstreams' clock, without which nothing can be fetched from them. Inventories that are too
// old to rely on when they arrive don't count. The wait is bounded, since a store can be down
// for long.
func (s *state) checkInventoriesReady(now time.Time) {
	if s.index == nil || s.hasInventories() {
		return
	}
	if len(s.index.Stores()) == 0 || (s.anyOpen() && s.clock > 0 && s.inventoriesValid(now)) || now.Sub(s.startedAt) >= inventoryWait {
		close(s.inventoriesReady)
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

// hasInventories reports whether the wait for the first inventories has ended.
func (s *state) hasInventories() bool {
	select {
	case <-s.inventoriesReady:
		return true
	default:
		return false
	}
}
