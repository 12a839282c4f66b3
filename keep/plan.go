package keep

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/prefix"
)

// Bounds of one plan and of what is in flight.
const (
	maxExportsPerPlan = 8
	// maxPlacesPerPlan bounds the search for room where all tiers are full of
	// what is worth more.
	maxPlacesPerPlan = 16
	// MaxExportBlocks bounds the blocks of one export.
	MaxExportBlocks = 64
	// MaxWrites bounds the copies being written at once.
	MaxWrites = 512
	// exportSample is how many waiting prompts one plan looks at.
	exportSample = 64
)

// Thresholds of a plan.
const (
	// idleLink is the share of a link in use below which it counts as idle.
	idleLink = 0.5
	// busyLink is the share above which not even urgent exports are sent.
	busyLink = 0.9
	// readAhead is how many seconds of reads may be pinned on a link before it
	// no longer counts as idle.
	readAhead = 0.25
	// urgentShare is the part of the residency after which an export is
	// urgent.
	urgentShare = 0.5
	// lostShare is the part of the residency after which the runner has
	// evicted the blocks, whether or not its event came.
	lostShare = 4
	// fullShare is the part of a tier above which only prompts worth more than
	// what was freed last are written.
	fullShare = 0.9
	// headroom is the part of a tier kept free while prompts wait.
	headroom = 0.02
	// hysteresis is how much more a prompt must be worth than what makes
	// room for it, so that two prompts don't replace each other in turn.
	hysteresis = 1.5
)

// Plan decides what to do now. Call it about ten times a second.
func (m *Manager) Plan(now time.Time, random *rand.Rand) Plan {
	m.expirePins(now)
	m.expireWrites(now)
	plan := Plan{Prefetches: m.agePrompts(now)}
	plan.Exports = m.planExports(now, random)
	m.yield(now, random)
	plan.Frees = m.planFrees(now)
	return plan
}

// enqueueExport puts a prompt in the list of those with blocks to export.
func (m *Manager) enqueueExport(p *prompt) {
	if p.waiting >= 0 || p.onRunner == 0 || !p.used {
		return
	}
	if m.firstMissing(p) >= p.onRunner {
		return
	}
	p.waiting = len(m.waiting)
	m.waiting = append(m.waiting, p)
	p.team.waiting++
}

func (m *Manager) leaveExports(p *prompt) {
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

// firstMissing is the position of the first block of a prompt without a copy.
func (m *Manager) firstMissing(p *prompt) int {
	for i, block := range p.blocks {
		if m.copies[block] == nil {
			return i
		}
	}
	return len(p.blocks)
}

// exportChoice is a prompt that may be exported now.
type exportChoice struct {
	prompt *prompt
	worth  float64
	urgent bool
}

// planExports takes the best of a sample of the waiting prompts. The sample
// keeps the cost of a plan the same however many wait.
func (m *Manager) planExports(now time.Time, random *rand.Rand) []Export {
	var exports []Export
	choices := m.sampleWaiting(now, random)
	for _, choice := range choices[:min(maxPlacesPerPlan, len(choices))] {
		if len(exports) >= maxExportsPerPlan || len(m.writing) >= MaxWrites || len(m.copies) >= m.opts.MaxCopies {
			break
		}
		at := m.placeFor(now, random, choice)
		if at.store == nil {
			// A link opens again in a moment, room does not.
			if at.linkOpen {
				choice.prompt.retryAt = now.Add(m.opts.IdleDelay)
			}
			continue
		}
		export := m.export(now, choice, at)
		if len(export.Blocks) > 0 {
			exports = append(exports, export)
		}
	}
	return exports
}

// sampleWaiting returns those of a random sample of the waiting prompts that
// may be exported now, the best first.
func (m *Manager) sampleWaiting(now time.Time, random *rand.Rand) []exportChoice {
	sample := m.sample[:0]
	for i := range min(exportSample, len(m.waiting)) {
		m.swapWaiting(i, i+random.IntN(len(m.waiting)-i))
		sample = append(sample, m.waiting[i])
	}
	m.sample = sample
	m.choices = m.choices[:0]
	for _, p := range sample {
		if choice, ok := m.considerExport(now, p); ok {
			m.choices = append(m.choices, choice)
		}
	}
	slices.SortFunc(m.choices, func(a, b exportChoice) int {
		return cmp.Compare(b.rank(), a.rank())
	})
	return m.choices
}

func (m *Manager) swapWaiting(i, j int) {
	m.waiting[i], m.waiting[j] = m.waiting[j], m.waiting[i]
	m.waiting[i].waiting = i
	m.waiting[j].waiting = j
}

// urgentWeight is how much more an urgent export ranks: the chance to make it
// passes, while the others can wait.
const urgentWeight = 4

func (c exportChoice) rank() float64 {
	if c.urgent {
		return c.worth * urgentWeight
	}
	return c.worth
}

func (m *Manager) considerExport(now time.Time, p *prompt) (exportChoice, bool) {
	residency := m.residency(p)
	age := now.Sub(p.lastUse)
	if residency == 0 || age > lostShare*residency || p.onRunner == 0 {
		m.leaveExports(p)
		return exportChoice{}, false
	}
	if now.Before(p.retryAt) || m.overLinkCeiling(now, p.team) {
		return exportChoice{}, false
	}
	urgent := age.Seconds() > urgentShare*residency.Seconds()
	if !urgent && age < m.opts.IdleDelay {
		return exportChoice{}, false
	}
	return exportChoice{
		prompt: p,
		worth:  m.worth(now, p),
		urgent: urgent,
	}, true
}

// overLinkCeiling tells whether a team has had its part of the links lately
// while other teams wait.
func (m *Manager) overLinkCeiling(now time.Time, t *teamUse) bool {
	if t.waiting == len(m.waiting) {
		return false
	}
	t.fade(now)
	rate := 0.0
	for _, s := range m.storeList {
		rate += m.exportRate(s)
	}
	// A steady use of u bytes a second settles at u × half-life / ln 2.
	return t.link > rate*m.opts.LinkMaximum*linkHalfLife.Seconds()/math.Ln2
}

// exportRate is what exports of this process may use of a store's link, in
// bytes a second.
func (m *Manager) exportRate(s *storeHost) float64 {
	return float64(s.status.LinkBytesPerSecond) * m.opts.LinkShare * m.opts.Share
}

// export makes the copies of the next blocks of a prompt and takes their part
// of the link.
func (m *Manager) export(now time.Time, choice exportChoice, at exportPlace) Export {
	p := choice.prompt
	export := Export{
		Scope:             p.scope,
		Runner:            p.runner,
		RunnerIncarnation: p.runnerIncarnation,
		Store:             at.store.status.Store,
		StoreIncarnation:  at.store.status.Incarnation,
		Tier:              at.tier,
		Urgent:            choice.urgent,
	}
	// The engine answers once for all blocks: more than the host takes in a
	// step's time would all time out together.
	window := at.store.writeWindow(m.exportRate(at.store)) - at.store.writing
	limit := min(at.blocks, MaxExportBlocks, MaxWrites-len(m.writing), m.opts.MaxCopies-len(m.copies))
	limit = min(limit, max(int(window/p.bytes), 1))
	for _, block := range p.blocks[:min(p.onRunner, len(p.blocks))] {
		if len(export.Blocks) >= limit {
			break
		}
		// A block that has a copy in any phase is not written again.
		if m.copies[block] != nil {
			continue
		}
		c := m.newCopy(now, block, at.store, p.team, prefix.Copy{Bytes: p.bytes, Tier: at.tier})
		m.writing = append(m.writing, c)
		at.store.grown[at.tier] += p.bytes
		export.Blocks = append(export.Blocks, PlannedBlock{ID: c.id, Block: block, Bytes: p.bytes})
	}
	if m.firstMissing(p) >= p.onRunner {
		m.leaveExports(p)
	}
	if len(export.Blocks) == 0 {
		return export
	}
	bytes := int64(len(export.Blocks)) * p.bytes
	at.store.bucket.take(bytes)
	p.team.fade(now)
	p.team.link += float64(bytes)
	m.stats.Exports++
	m.stats.ExportedBlocks += uint64(len(export.Blocks))
	return export
}
