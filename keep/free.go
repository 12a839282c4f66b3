package keep

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/prefix"
)

// victimSampleSize is the number of copies examined to find one of little
// value. Sampling keeps the cost independent of the number of copies.
const victimSampleSize = 16

// Limits on the freeing of one plan and on the attempts to free one copy.
const (
	maxFreesPerPlan   = 64
	maxFreeingScanned = 256
	maxFreeTries      = 5
)

// startFree withdraws a copy from new readers. It is freed once its pins have
// ended.
func (m *Manager) startFree(now time.Time, c *keptCopy) {
	c.phase = Freeing
	c.deadline = now
	m.addPhase(c)
	m.freeQueue = append(m.freeQueue, c)
}

// planFrees returns the copies to free now, those without active pins.
func (m *Manager) planFrees(now time.Time) []Free {
	var frees []Free
	scanned := min(len(m.freeQueue), maxFreeingScanned)
	rest := m.freeQueue[scanned:]
	var waiting []*keptCopy
	for _, c := range m.freeQueue[:scanned] {
		if c.phase != Freeing {
			continue
		}
		waiting = append(waiting, c)
		if c.pinned(now) || now.Before(c.deadline) || len(frees) >= maxFreesPerPlan {
			continue
		}
		if c.tries >= maxFreeTries {
			m.dropCopy(c)
			waiting = waiting[:len(waiting)-1]
			continue
		}
		c.tries++
		c.deadline = now.Add(m.opts.WriteTimeout)
		frees = append(frees, Free{
			ID:         c.id,
			Block:      c.block,
			Store:      c.store.status.Store,
			Generation: c.copy.Generation,
		})
	}
	m.freeQueue = append(rest, waiting...)
	return frees
}

// Freed handles the result of a Free. A failed free is retried after a delay,
// maxFreeTries attempts in all; after that the slot is gone or appears in the
// host's next listing.
func (m *Manager) Freed(now time.Time, id CopyID, done bool) {
	c := m.matchAttempt(id, Freeing)
	if c == nil {
		return
	}
	if !done {
		c.deadline = now.Add(m.opts.Retry)
		return
	}
	m.stats.Frees++
	c.store.plannedBytes[c.copy.Tier] -= c.bytes()
	m.dropCopy(c)
}

// value returns the expected saving of keeping a copy of one block of a prompt,
// in seconds of recomputation per second and gigabyte.
func (m *Manager) value(now time.Time, p *prompt) float64 {
	age := max(now.Sub(p.lastUse), 0)
	return m.returnRate(p, age) * p.saved.Seconds() / float64(p.bytes) * bytesPerGigabyte
}

// bytesPerGigabyte scales a value to one gigabyte of capacity.
const bytesPerGigabyte = 1 << 30

// learnedReturnRate returns the expected number of returns of a prompt per
// second that it is kept.
func (m *Manager) learnedReturnRate(p *prompt, age time.Duration) float64 {
	useful := time.Duration(0)
	if p.blocksOnRunner > 0 {
		useful = m.residency(p)
	}
	return m.learner.levels(p.key).gittinsIndex(age, useful)
}

// copyValue returns the value of an existing copy.
func (m *Manager) copyValue(now time.Time, c *keptCopy) float64 {
	if p := m.prompts.ownerOf(c.block); p != nil {
		return m.value(now, p)
	}
	// An adopted copy without a known prompt is valued by the records of all
	// prompts, from the time it was adopted.
	age := max(now.Sub(c.committedAt), 0)
	density := m.learner.levels(gapKey{team: c.team.team}).gittinsIndex(age, 0)
	return density * m.averageSaved / float64(max(c.bytes(), 1)) * bytesPerGigabyte
}

// victim returns a copy of little value from a list, with its value. Copies
// that a team needs for its guaranteed share are skipped unless the capacity is
// for the same team. Copies of another team over its maximum share have the
// value zero.
func (m *Manager) victim(now time.Time, random *rand.Rand, list *copyList, forTeam *teamState) (*keptCopy, float64) {
	var found *keptCopy
	lowest := math.Inf(1)
	for range min(victimSampleSize, len(list.copies)) {
		c := list.copies[random.IntN(len(list.copies))]
		if c.phase != Committed || m.protected(c, forTeam) {
			continue
		}
		value := m.copyValue(now, c)
		if c.team != forTeam && m.overMaximum(c.team, c.copy.Tier) {
			value = 0
		}
		if value < lowest {
			found, lowest = c, value
		}
	}
	if found == nil {
		return nil, 0
	}
	return m.lastCommittedOf(found), lowest
}

func (m *Manager) protected(c *keptCopy, forTeam *teamState) bool {
	if c.team == forTeam {
		return false
	}
	tier := c.copy.Tier
	return float64(c.team.retained(tier)-c.bytes()) < m.guaranteed(c.team, tier)
}

// lastCommittedOf returns the last committed copy of the same prompt in the
// same tier of the same store. A block is useless without those before it, so a
// chain is freed from its end.
func (m *Manager) lastCommittedOf(c *keptCopy) *keptCopy {
	p := m.prompts.ownerOf(c.block)
	if p == nil {
		return c
	}
	for i := len(p.blocks) - 1; i >= 0; i-- {
		last := m.copies[p.blocks[i]]
		if last == nil || last.phase != Committed {
			continue
		}
		if last.store == c.store && last.copy.Tier == c.copy.Tier && m.prompts.ownerOf(last.block) == p {
			return last
		}
	}
	return c
}

// capacityShare returns this process's share of a tier, in bytes.
func (m *Manager) capacityShare(s *storeHost, tier prefix.Tier) float64 {
	return float64(s.status.Capacity[tier]) * m.opts.Share
}

// unusedCapacity returns the capacity left in a tier for all processes, in
// bytes. Bytes planned by this process since the host's last report are
// subtracted, because the report doesn't include them.
func (s *storeHost) unusedCapacity(tier prefix.Tier) int64 {
	return s.status.Capacity[tier] - s.status.Used[tier] - s.plannedBytes[tier]
}

// freeCapacity returns the capacity left to this process in a tier, in bytes:
// the rest of its share, or all unused capacity less a reserve for the other
// processes if that is more. Prompts are never spread evenly over the homes, so
// enforcing the share while there is capacity would waste it.
func (m *Manager) freeCapacity(s *storeHost, tier prefix.Tier) int64 {
	own := int64(m.capacityShare(s, tier)) - s.tiers[tier].bytes
	unused := s.unusedCapacity(tier)
	reserve := int64((1 - nearlyFullShare) * float64(s.status.Capacity[tier]))
	return min(max(own, unused-reserve), unused)
}

// freeExcess frees copies beyond this process's share of a tier that has no
// capacity left, so that the other processes get theirs. It also frees copies
// of little value when the number of copies is close to its limit.
func (m *Manager) freeExcess(now time.Time, random *rand.Rand) {
	for _, s := range m.storeList {
		for tier := range prefix.Tier(prefix.TierCount) {
			for range maxReplacements {
				if !m.nearMaxCopies() && !m.overShare(s, tier) {
					break
				}
				c, _ := m.victim(now, random, &s.tiers[tier], nil)
				if c == nil {
					break
				}
				m.startFree(now, c)
			}
		}
	}
}

func (m *Manager) overShare(s *storeHost, tier prefix.Tier) bool {
	available := s.unusedCapacity(tier) + s.freeing[tier]
	over := s.tiers[tier].bytes - s.freeing[tier] - int64(m.capacityShare(s, tier))
	return over > 0 && float64(available) < headroom*float64(s.status.Capacity[tier])
}

// nearMaxCopies reports whether the number of copies not being freed is close
// to its limit.
func (m *Manager) nearMaxCopies() bool {
	return float64(len(m.copies)-len(m.freeQueue)) > (1-headroom)*float64(m.opts.MaxCopies)
}
