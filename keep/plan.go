package keep

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/prefix"
)

// Limits of one plan and of concurrent writes.
const (
	maxExportsPerPlan = 8
	// maxPlacementsPerPlan bounds the search for capacity when all tiers are
	// full of more valuable copies.
	maxPlacementsPerPlan = 16
	// MaxExportBlocks is the maximum number of blocks in one export.
	MaxExportBlocks = 64
	// MaxWrites is the maximum number of copies being written.
	MaxWrites = 512
	// exportSampleSize is the number of waiting prompts that one plan examines.
	exportSampleSize = 64
)

// Thresholds of a plan.
const (
	// idleLink is the link utilization below which a link counts as idle.
	idleLink = 0.5
	// busyLink is the link utilization from which on no exports are sent, not
	// even urgent ones.
	busyLink = 0.9
	// idleReadSeconds is how many seconds of reads may be pinned on a link that
	// counts as idle.
	idleReadSeconds = 0.25
	// urgentResidencyFactor is the fraction of the residency after which an
	// export is urgent.
	urgentResidencyFactor = 0.5
	// lostResidencyFactor is the multiple of the residency after which the
	// runner is assumed to have evicted the blocks, even without an eviction
	// event.
	lostResidencyFactor = 4
	// nearlyFullShare is the utilization of a tier above which only prompts
	// more valuable than the last freed copy are written.
	nearlyFullShare = 0.9
	// headroom is the fraction of a tier kept free while prompts wait.
	headroom = 0.02
	// hysteresis is the minimum ratio of a prompt's value to that of the copies
	// freed for it; it keeps two prompts from replacing each other in turn.
	hysteresis = 1.5
)

// Plan returns the actions to take now. Call it about ten times a second.
func (m *Manager) Plan(now time.Time, random *rand.Rand) Plan {
	m.expirePins(now)
	m.expireWrites(now)
	plan := Plan{Prefetches: m.advanceAges(now)}
	plan.Exports = m.planExports(now, random)
	m.freeExcess(now, random)
	plan.Frees = m.planFrees(now)
	return plan
}

// addWaiting adds a prompt to the waiting list if it has blocks to export.
func (m *Manager) addWaiting(p *prompt) {
	if p.waiting >= 0 || p.blocksOnRunner == 0 || !p.tracked {
		return
	}
	if m.firstMissing(p) >= p.blocksOnRunner {
		return
	}
	p.waiting = len(m.waiting)
	m.waiting = append(m.waiting, p)
	p.team.waiting++
}

func (m *Manager) removeWaiting(p *prompt) {
	if p.waiting < 0 {
		return
	}
	last := len(m.waiting) - 1
	m.swapWaiting(p.waiting, last)
	m.waiting[last] = nil
	m.waiting = m.waiting[:last]
	p.waiting = -1
	p.team.waiting--
}

// firstMissing returns the position of the first block of a prompt without a
// copy.
func (m *Manager) firstMissing(p *prompt) int {
	for i, block := range p.blocks {
		if m.copies[block] == nil {
			return i
		}
	}
	return len(p.blocks)
}

// exportCandidate is a prompt that may be exported now.
type exportCandidate struct {
	prompt *prompt
	value  float64
	urgent bool
}

// planExports plans the exports of the best candidates in a sample of the
// waiting prompts. Sampling keeps the cost of a plan independent of the number
// of waiting prompts.
func (m *Manager) planExports(now time.Time, random *rand.Rand) []Export {
	var exports []Export
	candidates := m.sampleCandidates(now, random)
	for _, candidate := range candidates[:min(maxPlacementsPerPlan, len(candidates))] {
		if len(exports) >= maxExportsPerPlan || len(m.writing) >= MaxWrites || len(m.copies) >= m.opts.MaxCopies {
			break
		}
		placement := m.placeExport(now, random, candidate)
		if placement.store == nil {
			// With the link open, the tiers are full: capacity takes longer to
			// become available than a link.
			if placement.linkOpen {
				candidate.prompt.retryAt = now.Add(m.opts.IdleDelay)
			}
			continue
		}
		export := m.export(now, candidate, placement)
		if len(export.Blocks) > 0 {
			exports = append(exports, export)
		}
	}
	return exports
}

// sampleCandidates returns the candidates in a random sample of the waiting
// prompts, best first.
func (m *Manager) sampleCandidates(now time.Time, random *rand.Rand) []exportCandidate {
	sample := m.sample[:0]
	for i := range min(exportSampleSize, len(m.waiting)) {
		m.swapWaiting(i, i+random.IntN(len(m.waiting)-i))
		sample = append(sample, m.waiting[i])
	}
	m.sample = sample
	m.candidates = m.candidates[:0]
	for _, p := range sample {
		if candidate, ok := m.exportCandidateFor(now, p); ok {
			m.candidates = append(m.candidates, candidate)
		}
	}
	slices.SortFunc(m.candidates, func(a, b exportCandidate) int {
		return cmp.Compare(b.rank(), a.rank())
	})
	return m.candidates
}

func (m *Manager) swapWaiting(i, j int) {
	m.waiting[i], m.waiting[j] = m.waiting[j], m.waiting[i]
	m.waiting[i].waiting = i
	m.waiting[j].waiting = j
}

// urgentWeight is the factor by which urgent exports rank higher: their blocks
// may be evicted soon, while other exports can wait.
const urgentWeight = 4

func (c exportCandidate) rank() float64 {
	if c.urgent {
		return c.value * urgentWeight
	}
	return c.value
}

func (m *Manager) exportCandidateFor(now time.Time, p *prompt) (exportCandidate, bool) {
	residency := m.residency(p)
	age := now.Sub(p.lastUse)
	if residency == 0 || age > lostResidencyFactor*residency || p.blocksOnRunner == 0 {
		m.removeWaiting(p)
		return exportCandidate{}, false
	}
	if now.Before(p.retryAt) || m.overLinkMaximum(now, p.team) {
		return exportCandidate{}, false
	}
	urgent := age.Seconds() > urgentResidencyFactor*residency.Seconds()
	if !urgent && age < m.opts.IdleDelay {
		return exportCandidate{}, false
	}
	return exportCandidate{
		prompt: p,
		value:  m.value(now, p),
		urgent: urgent,
	}, true
}

// overLinkMaximum reports whether a team's recent exports exceed its maximum
// share of the links while other teams wait.
func (m *Manager) overLinkMaximum(now time.Time, t *teamState) bool {
	if t.waiting == len(m.waiting) {
		return false
	}
	t.decay(now)
	rate := 0.0
	for _, s := range m.storeList {
		rate += m.exportRate(s)
	}
	// At a constant u bytes a second, recentExportBytes converges to u ×
	// half-life / ln 2.
	return t.recentExportBytes > rate*m.opts.LinkMaximum*linkHalfLife.Seconds()/math.Ln2
}

// exportRate returns the bytes per second that this process's exports may use
// of a store's link.
func (m *Manager) exportRate(s *storeHost) float64 {
	return float64(s.status.LinkBytesPerSecond) * m.opts.LinkShare * m.opts.Share
}

// export creates the copies of the next blocks of a prompt and charges them to
// the link budgets.
func (m *Manager) export(now time.Time, candidate exportCandidate, placement exportPlacement) Export {
	p := candidate.prompt
	export := Export{
		Scope:             p.scope,
		Runner:            p.runner,
		RunnerIncarnation: p.runnerIncarnation,
		Store:             placement.store.status.Store,
		StoreIncarnation:  placement.store.status.Incarnation,
		Tier:              placement.tier,
		Urgent:            candidate.urgent,
	}
	// The engine answers once for all blocks, so an export larger than the host
	// can write within a step's timeout would time out as a whole.
	window := placement.store.writeWindow(m.exportRate(placement.store)) - placement.store.writing
	limit := min(placement.blocks, MaxExportBlocks, MaxWrites-len(m.writing), m.opts.MaxCopies-len(m.copies))
	limit = min(limit, max(int(window/p.bytes), 1))
	for _, block := range p.blocks[:min(p.blocksOnRunner, len(p.blocks))] {
		if len(export.Blocks) >= limit {
			break
		}
		// A block with a copy in any phase is not written again.
		if m.copies[block] != nil {
			continue
		}
		c := m.newCopy(now, block, placement.store, p.team, prefix.Copy{Bytes: p.bytes, Tier: placement.tier})
		m.writing = append(m.writing, c)
		placement.store.plannedBytes[placement.tier] += p.bytes
		export.Blocks = append(export.Blocks, PlannedBlock{ID: c.id, Block: block, Bytes: p.bytes})
	}
	if m.firstMissing(p) >= p.blocksOnRunner {
		m.removeWaiting(p)
	}
	if len(export.Blocks) == 0 {
		return export
	}
	bytes := int64(len(export.Blocks)) * p.bytes
	placement.store.bucket.take(bytes)
	p.team.decay(now)
	p.team.recentExportBytes += float64(bytes)
	m.stats.Exports++
	m.stats.ExportedBlocks += uint64(len(export.Blocks))
	return export
}
