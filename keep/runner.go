package keep

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// runnerCache is what is learned of one engine's cache.
type runnerCache struct {
	incarnation ident.Incarnation
	// residency is how long an unused block lasts, in seconds.
	residency float64
}

// Weights of the residency estimate: it falls quickly when blocks go early,
// because a block exported too late is lost, and rises slowly.
const (
	residencyFall = 0.3
	residencyRise = 0.05
)

// MaxRunners bounds the engines whose caches are followed.
const MaxRunners = 1024

func (m *Manager) runnerUsed(runner ident.Upstream, incarnation ident.Incarnation) {
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

// RunnerSeen takes the word that an engine is in a life. It stands above what
// uses say, which may come late and from a life with a higher number.
func (m *Manager) RunnerSeen(runner ident.Upstream, incarnation ident.Incarnation) {
	if r := m.runners[runner]; r != nil {
		r.incarnation = incarnation
	}
}

// RunnerGone forgets an engine whose lease ran out. The blocks it held cannot
// be exported any more.
func (m *Manager) RunnerGone(runner ident.Upstream, incarnation ident.Incarnation) {
	r := m.runners[runner]
	if r != nil && r.incarnation <= incarnation {
		delete(m.runners, runner)
	}
}

// RunnerEvicted takes the word that an engine evicted a block.
func (m *Manager) RunnerEvicted(now time.Time, runner ident.Upstream, incarnation ident.Incarnation, block prefix.BlockID) {
	r := m.runners[runner]
	p := m.prompts.of(block)
	if r == nil || r.incarnation != incarnation || p == nil || p.runner != runner {
		return
	}
	m.runnerLost(p, block)
	age := now.Sub(p.lastUse).Seconds()
	step := residencyRise
	if age < r.residency {
		step = residencyFall
	}
	r.residency += step * (age - r.residency)
}

// runnerLost records that the runner of a prompt has a block no more, so that
// none from there on can be exported.
func (m *Manager) runnerLost(p *prompt, block prefix.BlockID) {
	if p == nil {
		return
	}
	for i, held := range p.blocks[:min(p.onRunner, len(p.blocks))] {
		if held == block {
			p.onRunner = i
			return
		}
	}
}

// residency is how long a prompt's blocks are expected to stay on its runner
// after their last use, zero if the runner is gone or lives again.
func (m *Manager) residency(p *prompt) time.Duration {
	r := m.runners[p.runner]
	if r == nil || r.incarnation != p.runnerIncarnation {
		return 0
	}
	return time.Duration(r.residency * float64(time.Second))
}
