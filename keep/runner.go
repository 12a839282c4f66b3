package keep

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// runnerCache is what is known of one engine's cache.
type runnerCache struct {
	incarnation ident.Incarnation
	// residency is the estimated time that an unused block stays cached, in
	// seconds.
	residency float64
}

// Weights of the residency estimate. It falls quickly when blocks are evicted
// early, because a block exported too late is lost, and rises slowly.
const (
	residencyFall = 0.3
	residencyRise = 0.05
)

// MaxRunners is the maximum number of engines tracked.
const MaxRunners = 1024

func (m *Manager) recordRunner(runner ident.Upstream, incarnation ident.Incarnation) {
	r := m.runners[runner]
	if r == nil {
		if len(m.runners) >= MaxRunners {
			return
		}
		r = &runnerCache{residency: m.opts.Residency.Seconds()}
		m.runners[runner] = r
	}
	r.incarnation = max(r.incarnation, incarnation)
}

// UpdateRunner sets the current incarnation of an engine. It overrides the
// incarnations reported with uses, which may arrive late and carry a higher
// number.
func (m *Manager) UpdateRunner(runner ident.Upstream, incarnation ident.Incarnation) {
	if r := m.runners[runner]; r != nil {
		r.incarnation = incarnation
	}
}

// RemoveRunner removes an engine whose lease expired. The blocks it held can no
// longer be exported.
func (m *Manager) RemoveRunner(runner ident.Upstream, incarnation ident.Incarnation) {
	r := m.runners[runner]
	if r != nil && r.incarnation <= incarnation {
		delete(m.runners, runner)
	}
}

// RunnerEvicted records that an engine evicted a block.
func (m *Manager) RunnerEvicted(now time.Time, runner ident.Upstream, incarnation ident.Incarnation, block prefix.BlockID) {
	r := m.runners[runner]
	p := m.prompts.ownerOf(block)
	if r == nil || r.incarnation != incarnation || p == nil || p.runner != runner {
		return
	}
	m.recordRunnerLost(p, block)
	age := now.Sub(p.lastUse).Seconds()
	step := residencyRise
	if age < r.residency {
		step = residencyFall
	}
	r.residency += step * (age - r.residency)
}

// recordRunnerLost records that the runner of a prompt no longer has a block,
// so that neither it nor the blocks after it can be exported.
func (m *Manager) recordRunnerLost(p *prompt, block prefix.BlockID) {
	if p == nil {
		return
	}
	for i, held := range p.blocks[:min(p.blocksOnRunner, len(p.blocks))] {
		if held == block {
			p.blocksOnRunner = i
			return
		}
	}
}

// residency returns how long a prompt's blocks are expected to stay on its
// runner after their last use, or zero if the runner is gone or has restarted.
func (m *Manager) residency(p *prompt) time.Duration {
	r := m.runners[p.runner]
	if r == nil || r.incarnation != p.runnerIncarnation {
		return 0
	}
	return time.Duration(r.residency * float64(time.Second))
}
