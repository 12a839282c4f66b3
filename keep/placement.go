package keep

import (
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/prefix"
)

// exportPlacement is a tier of a store host with capacity for an export.
type exportPlacement struct {
	store  *storeHost
	tier   prefix.Tier
	blocks int // number of blocks that fit
	// linkOpen is true when the link of at least one store host can accept the
	// export.
	linkOpen bool
}

// placeExport chooses the store and tier for a prompt, and starts to free
// capacity where little is left.
func (m *Manager) placeExport(now time.Time, random *rand.Rand, candidate exportCandidate) exportPlacement {
	best := m.bestPlacement(now, candidate)
	if best.linkOpen && (best.store == nil || m.evictionCandidates(candidate.prompt, best.store, best.tier) != nil) {
		m.freeLessValuable(now, random, candidate)
	}
	return best
}

// bestPlacement returns the best placement among those with capacity. Nothing
// is freed while there is one: a copy on disk costs a slower read, a copy freed
// to avoid that costs a recompute.
func (m *Manager) bestPlacement(now time.Time, candidate exportCandidate) exportPlacement {
	var best exportPlacement
	bestValue := 0.0
	for _, s := range m.storeList {
		if !m.linkOpen(now, s, candidate.urgent) {
			continue
		}
		best.linkOpen = true
		for tier := range prefix.Tier(prefix.TierCount) {
			if s.fullBackoff[tier].active(now) {
				continue
			}
			value := candidate.valueAt(s, tier)
			blocks := m.fittingBlocks(candidate.prompt, s, tier, value)
			if blocks > 0 && value > bestValue {
				best.store, best.tier, best.blocks = s, tier, blocks
				bestValue = value
			}
		}
	}
	return best
}

func (m *Manager) linkOpen(now time.Time, s *storeHost, urgent bool) bool {
	if s.faultBackoff.active(now) {
		return false
	}
	// Reads take priority: callers wait for them, but not for exports.
	limit := busyLink
	if !urgent {
		limit = idleLink
		if float64(s.reading) > idleReadSeconds*float64(s.status.LinkBytesPerSecond) {
			return false
		}
	}
	rate := m.exportRate(s)
	return s.status.LinkBusy < limit && s.writing < s.writeWindow(rate) && s.bucket.open(now, rate)
}

// Factors that choose between placements of otherwise equal value.
const (
	// remoteFactor is the relative value of a copy in a data centre other than
	// the runner's.
	remoteFactor = 0.8
	// diskFactor is the relative value of a copy on disk, which is read more
	// slowly than one in memory.
	diskFactor = 0.7
)

// valueAt returns the value of a block of the prompt in a tier of a store.
func (c exportCandidate) valueAt(s *storeHost, tier prefix.Tier) float64 {
	value := c.value
	if s.status.DataCentre != c.prompt.runnerDataCentre {
		value *= remoteFactor
	}
	if tier == prefix.Disk {
		value *= diskFactor
	}
	return value
}

// fittingBlocks returns how many blocks of a prompt fit in a tier now. A nearly
// full tier accepts only prompts more valuable than the copy freed from it last
// or of a team below its guaranteed share, and of each team no more than its
// maximum share.
func (m *Manager) fittingBlocks(p *prompt, s *storeHost, tier prefix.Tier, value float64) int {
	available := m.freeCapacity(s, tier)
	if float64(available) < (1-nearlyFullShare)*m.capacityShare(s, tier) {
		if value < hysteresis*s.lastFreedValue[tier] && !m.belowGuarantee(p.team, tier) {
			return 0
		}
		available = min(available, int64(m.maximum(p.team, tier))-p.team.retained(tier))
	}
	return int(max(available, 0) / p.bytes)
}

func (m *Manager) belowGuarantee(t *teamState, tier prefix.Tier) bool {
	return float64(t.retained(tier)) < m.guaranteed(t, tier)
}

// overMaximum reports whether a team exceeds its maximum share of a tier. The
// maximum applies only where capacity is short, since unused capacity benefits
// no team.
func (m *Manager) overMaximum(t *teamState, tier prefix.Tier) bool {
	return float64(t.retained(tier)) > m.maximum(t, tier)
}

// evictionCandidates returns the copies of which some must be freed before a
// prompt fits in a tier: the team's own if it is over its maximum share,
// otherwise any. It returns nil while there is enough capacity, including what
// is being freed.
func (m *Manager) evictionCandidates(p *prompt, s *storeHost, tier prefix.Tier) *copyList {
	available := m.freeCapacity(s, tier) + s.freeing[tier]
	if float64(available) >= headroom*m.capacityShare(s, tier)+float64(p.bytes) {
		return nil
	}
	if float64(p.team.retained(tier)+p.bytes) > m.maximum(p.team, tier) {
		return &p.team.tiers[tier]
	}
	return &s.tiers[tier]
}

// replacement is a tier in which a copy of little value can be freed for a
// prompt.
type replacement struct {
	store       *storeHost
	tier        prefix.Tier
	victim      *keptCopy
	victimValue float64
	value       float64
}

// worthwhile reports whether the prompt is sufficiently more valuable than the
// victim.
func (r *replacement) worthwhile() bool { return r.value > hysteresis*r.victimValue }

// maxReplacements is the maximum number of copies freed in one pass over a
// tier.
const maxReplacements = 8

// freeLessValuable frees copies less valuable than a prompt, in the tier with
// the best ratio of values.
func (m *Manager) freeLessValuable(now time.Time, random *rand.Rand, candidate exportCandidate) {
	p := candidate.prompt
	best, ok := m.bestReplacement(now, random, candidate)
	if !ok {
		return
	}
	for range maxReplacements {
		if !best.worthwhile() && !m.belowGuarantee(p.team, best.tier) {
			return
		}
		best.victim.store.lastFreedValue[best.tier] = best.victimValue
		m.startFree(now, best.victim)
		list := m.evictionCandidates(p, best.store, best.tier)
		if list == nil {
			return
		}
		best.victim, best.victimValue = m.victim(now, random, list, p.team)
		if best.victim == nil {
			return
		}
	}
}

func (m *Manager) bestReplacement(now time.Time, random *rand.Rand, candidate exportCandidate) (replacement, bool) {
	p := candidate.prompt
	var best replacement
	found := false
	for _, s := range m.storeList {
		if s.faultBackoff.active(now) {
			continue
		}
		for tier := range prefix.Tier(prefix.TierCount) {
			list := m.evictionCandidates(p, s, tier)
			if s.status.Capacity[tier] == 0 || list == nil {
				continue
			}
			victim, victimValue := m.victim(now, random, list, p.team)
			if victim == nil {
				continue
			}
			current := replacement{store: s, tier: tier, victim: victim, victimValue: victimValue, value: candidate.valueAt(s, tier)}
			if !found || current.value*best.victimValue > best.value*current.victimValue {
				best, found = current, true
			}
		}
	}
	return best, found
}
