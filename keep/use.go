package keep

import (
	"container/heap"
	"time"

	"github.com/lovagereach/lovagereach/prefix"
)

// MaxPromptBlocks is the maximum number of blocks kept of one prompt.
const MaxPromptBlocks = 1024

// RecordUse records a finished request with a prompt whose home is this process.
func (m *Manager) RecordUse(now time.Time, use Use) {
	if len(use.Blocks) == 0 || use.BlockBytes <= 0 {
		return
	}
	blocks := use.Blocks[:min(len(use.Blocks), MaxPromptBlocks)]
	p := m.matchPrompt(blocks)
	if p != nil && p.scope != use.Scope {
		m.stats.ScopeMismatches++
		return
	}
	if p == nil {
		p = &prompt{tracked: true, waiting: -1, ageIndex: -1, team: m.team(use.Scope.Team)}
		p.team.prompts++
	} else {
		m.recordAge(now, p)
		m.learner.returned(p.key, bucketOf(now.Sub(p.lastUse)))
		m.prompts.unlink(p)
	}
	m.prompts.pushNewest(p)
	p.scope = use.Scope
	p.key = gapKey{team: use.Scope.Team, class: use.Class}
	p.bytes = use.BlockBytes
	m.recordSaved(p, use.Saved)
	p.lastUse = now
	p.uses++
	p.runner = use.Runner
	p.runnerIncarnation = use.RunnerIncarnation
	p.runnerDataCentre = use.RunnerDataCentre
	p.blocksOnRunner = len(blocks)
	p.prefetched = false
	m.recordRunner(use.Runner, use.RunnerIncarnation)
	m.learner.reach(p.key, 0)
	p.ageBucket = 0
	m.recordCycle(now, p, use.Class)
	m.scheduleAge(p)
	m.claimBlocks(now, p, blocks)
	if !m.enforcePromptBounds(now, p) {
		m.stats.Untracked++
		m.forget(now, p)
		return
	}
	m.addWaiting(p)
}

// savedWeight is the weight of one prompt in averageSaved.
const savedWeight = 0.05

// recordSaved records the time that reusing one block of a prompt saves. A
// request that computed nothing provides no measurement; the prompt then keeps
// its previous value or takes the average.
func (m *Manager) recordSaved(p *prompt, saved time.Duration) {
	if saved <= 0 {
		if p.saved == 0 {
			p.saved = time.Duration(m.averageSaved * float64(time.Second))
		}
		return
	}
	p.saved = saved
	if m.averageSaved == 0 {
		m.averageSaved = saved.Seconds()
	}
	m.averageSaved += savedWeight * (saved.Seconds() - m.averageSaved)
}

// matchPrompt returns the prompt that returns with these blocks: one whose last
// block is among them or, if its tail has changed, the owner of the last known
// block, provided that the known blocks make up at least three quarters of it.
// The prompt may at most have doubled in length: a short common beginning, such
// as a team's instructions, is not a return.
func (m *Manager) matchPrompt(blocks []prefix.BlockID) *prompt {
	lowest := (len(blocks) - 1) / 2
	for i := len(blocks) - 1; i >= lowest; i-- {
		if p := m.prompts.byLastBlock[blocks[i]]; p != nil {
			return p
		}
	}
	for i := len(blocks) - 1; i >= lowest; i-- {
		if p := m.prompts.ownerOf(blocks[i]); p != nil {
			if 4*(i+1) >= 3*len(p.blocks) {
				return p
			}
			return nil
		}
	}
	return nil
}

// claimBlocks makes p a user of its blocks and the owner of those without a
// more valuable owner. A prompt that returns slightly shorter keeps its tail.
func (m *Manager) claimBlocks(now time.Time, p *prompt, blocks []prefix.BlockID) {
	common := 0
	for common < min(len(p.blocks), len(blocks)) && p.blocks[common] == blocks[common] {
		common++
	}
	if common < len(blocks) {
		m.replaceTail(p, common, blocks[common:])
	}
	var previous *prompt
	claims := true
	for _, block := range p.blocks {
		use := m.prompts.byBlock[block]
		if use.owner == p {
			continue
		}
		if use.owner != previous {
			previous = use.owner
			claims = previous == nil || m.ownerScore(now, p) >= m.ownerScore(now, previous)
		}
		if claims {
			m.setOwner(p, block, use)
		}
	}
}

// replaceTail replaces the blocks of p from a position on.
func (m *Manager) replaceTail(p *prompt, from int, tail []prefix.BlockID) {
	m.unindexLastBlock(p)
	for _, block := range p.blocks[from:] {
		m.releaseBlock(p, block)
	}
	p.blocks = append(p.blocks[:from], tail...)
	for _, block := range tail {
		use := m.prompts.byBlock[block]
		use.users++
		m.prompts.byBlock[block] = use
	}
	m.prompts.byLastBlock[p.blocks[len(p.blocks)-1]] = p
}

func (m *Manager) unindexLastBlock(p *prompt) {
	if len(p.blocks) == 0 {
		return
	}
	last := p.blocks[len(p.blocks)-1]
	if m.prompts.byLastBlock[last] == p {
		delete(m.prompts.byLastBlock, last)
	}
}

// ownerScore ranks the prompts that share a block: it is the value of p's
// blocks, whether or not a runner still holds them.
func (m *Manager) ownerScore(now time.Time, p *prompt) float64 {
	age := max(now.Sub(p.lastUse), 0)
	return m.learner.levels(p.key).gittinsIndex(age, 0) * p.saved.Seconds()
}

func (m *Manager) setOwner(p *prompt, block prefix.BlockID, use blockUse) {
	previous := use.owner
	use.owner = p
	m.prompts.byBlock[block] = use
	c := m.copies[block]
	if c == nil {
		return
	}
	m.setTeam(c, p.team)
	p.copies++
	if previous != nil {
		previous.copies--
	}
}

// setTeam moves a copy to another team's account. A copy that was adopted
// before its prompt was seen belongs to no team.
func (m *Manager) setTeam(c *keptCopy, team *teamState) {
	if c.team == team {
		return
	}
	previous := c.team
	m.subtractPhase(c)
	m.removeFromLists(c)
	c.team = team
	m.addToLists(c)
	m.addPhase(c)
	m.dropTeamIfUnused(previous)
}

// releaseBlock ends p's use of a block and reports whether it was the last use.
func (m *Manager) releaseBlock(p *prompt, block prefix.BlockID) bool {
	use := m.prompts.byBlock[block]
	use.users--
	if use.owner == p {
		use.owner = nil
		if m.copies[block] != nil {
			p.copies--
		}
	}
	if use.users == 0 {
		delete(m.prompts.byBlock, block)
		return true
	}
	m.prompts.byBlock[block] = use
	return false
}

// enforcePromptBounds forgets the least recently used prompts until the limits
// on prompts and blocks hold. It returns false if p alone exceeds them.
func (m *Manager) enforcePromptBounds(now time.Time, p *prompt) bool {
	for m.prompts.count > m.opts.MaxPrompts || len(m.prompts.byBlock) > m.opts.MaxBlocks {
		if m.prompts.oldest == p {
			return false
		}
		m.forget(now, m.prompts.oldest)
	}
	return true
}

// forget removes a prompt and frees the copies that no other prompt uses.
func (m *Manager) forget(now time.Time, p *prompt) {
	for _, block := range p.blocks {
		if !m.releaseBlock(p, block) {
			continue
		}
		if c := m.copies[block]; c != nil && c.phase == Committed {
			m.startFree(now, c)
		}
	}
	m.removePrompt(p)
}

// Rehome removes the prompts whose home is another process. Their copies stay
// on the store hosts for the new home to adopt. All prompts that share a block
// share their first block, and therefore have the same home.
func (m *Manager) Rehome(now time.Time, owned func(first prefix.BlockID) bool) {
	for p := m.prompts.newest; p != nil; {
		next := p.older
		if !owned(p.blocks[0]) {
			m.releasePrompt(p)
		}
		p = next
	}
}

func (m *Manager) releasePrompt(p *prompt) {
	for _, block := range p.blocks {
		if !m.releaseBlock(p, block) {
			continue
		}
		if c := m.copies[block]; c != nil {
			m.dropCopy(c)
		}
	}
	m.removePrompt(p)
}

// removePrompt removes a prompt from all indexes.
func (m *Manager) removePrompt(p *prompt) {
	m.unindexLastBlock(p)
	m.removeWaiting(p)
	if p.ageIndex >= 0 {
		heap.Remove(&m.ages, p.ageIndex)
	}
	m.prompts.unlink(p)
	p.tracked = false
	p.team.prompts--
	m.dropTeamIfUnused(p.team)
}
