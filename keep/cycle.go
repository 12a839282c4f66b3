package keep

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// cycle tracks the rhythm in which one class uses one prompt: bursts of uses
// whose starts are about the same time apart, as when an item is on sale once
// per round.
type cycle struct {
	class      ident.Class
	burstStart time.Time // start of the last burst
	lastUse    time.Time
	gap        time.Duration
	// spread is the moving average of the difference between successive gaps.
	spread time.Duration
	// similarGaps is the number of consecutive gaps similar to the one before.
	similarGaps int
}

// Parameters of cycles.
const (
	// maxCycles is the maximum number of classes whose cycles are tracked for
	// one prompt.
	maxCycles = 2
	// cycleTolerance is the maximum difference between similar gaps, as a
	// fraction of the gap.
	cycleTolerance = 0.05
	// minClassRegularity is the minimum fraction of a class's gaps that are
	// similar to the one before for a prefetch based on a single gap.
	minClassRegularity = 0.6
	// firstSpread is the assumed spread after a single gap, as a fraction of
	// the gap.
	firstSpread = 0.02
	// regularityWeight is the weight of one gap in a class's regularity.
	regularityWeight = 0.05
	// prefetchLead is how long before an expected return its prefetch begins,
	// in addition to twice the spread.
	prefetchLead = 10 * time.Second
)

// gapComparison is the result of comparing a gap with the one before.
type gapComparison uint8

const (
	gapNotCompared gapComparison = iota
	gapDiffers
	gapSimilar
)

// recordUse records one use and compares its gap with the one before. Uses less
// than maxBurstGap apart belong to one burst.
func (c *cycle) recordUse(now time.Time, maxBurstGap time.Duration) gapComparison {
	burst := now.Sub(c.lastUse) < maxBurstGap
	c.lastUse = now
	if burst {
		return gapNotCompared
	}
	previous := c.gap
	c.gap = now.Sub(c.burstStart)
	c.burstStart = now
	if previous == 0 {
		c.spread = time.Duration(firstSpread * float64(c.gap))
		return gapNotCompared
	}
	difference := (c.gap - previous).Abs()
	if float64(difference) > cycleTolerance*float64(c.gap) {
		c.similarGaps = 0
		c.spread = time.Duration(firstSpread * float64(c.gap))
		return gapDiffers
	}
	if c.similarGaps == 0 {
		c.spread = difference
	}
	c.similarGaps++
	c.spread = (c.spread + difference) / 2
	return gapSimilar
}

// nextPrefetch returns when a prefetch for the next burst should begin, and
// when the burst is expected. It returns false if no two successive gaps were
// similar, unless the class is regular and one gap is known.
func (c *cycle) nextPrefetch(regular bool) (begin, expected time.Time, ok bool) {
	if c.similarGaps == 0 && (!regular || c.gap == 0) {
		return time.Time{}, time.Time{}, false
	}
	expected = c.burstStart.Add(c.gap)
	return expected.Add(-2*c.spread - prefetchLead), expected, true
}

// recordComparison updates a class's regularity with the result of a
// comparison.
func (l *learner) recordComparison(class ident.Class, result gapComparison) {
	if result == gapNotCompared {
		return
	}
	g := l.classRecord(class)
	similar := float32(0)
	if result == gapSimilar {
		similar = 1
	}
	g.regularity += regularityWeight * (similar - g.regularity)
}

// regular reports whether most gaps of a class are similar to the one before.
func (l *learner) regular(class ident.Class) bool {
	g := l.classes[class]
	return g != nil && g.regularity >= minClassRegularity
}

// recordCycle records a use of a prompt by a class and sets the time of its
// next prefetch.
func (m *Manager) recordCycle(now time.Time, p *prompt, class ident.Class) {
	c := p.cycleOf(class)
	if c == nil {
		if len(p.cycles) < maxCycles {
			p.cycles = append(p.cycles, cycle{class: class, burstStart: now, lastUse: now})
		}
	} else {
		m.learner.recordComparison(class, c.recordUse(now, max(m.residency(p), prefetchLead)))
	}
	p.prefetchAt = time.Time{}
	for i := range p.cycles {
		begin, _, ok := p.cycles[i].nextPrefetch(m.learner.regular(p.cycles[i].class))
		if ok && begin.After(now) && (p.prefetchAt.IsZero() || begin.Before(p.prefetchAt)) {
			p.prefetchAt = begin
		}
	}
}

func (p *prompt) cycleOf(class ident.Class) *cycle {
	for i := range p.cycles {
		if p.cycles[i].class == class {
			return &p.cycles[i]
		}
	}
	return nil
}

// cyclePrefetch decides on the prefetch of a prompt whose prefetch time has
// come. The prefetch is omitted where the runner is expected to hold the prompt
// until the return, and where the return is so uncertain that the blocks would
// be evicted before it.
func (m *Manager) cyclePrefetch(now time.Time, p *prompt) (Prefetch, bool) {
	begin := p.prefetchAt
	p.prefetchAt = time.Time{}
	for i := range p.cycles {
		c := &p.cycles[i]
		cycleBegin, expected, ok := c.nextPrefetch(m.learner.regular(c.class))
		if !ok || !cycleBegin.Equal(begin) || now.After(expected) {
			continue
		}
		residency := m.residency(p)
		heldUntilReturn := p.blocksOnRunner > 0 && now.Sub(p.lastUse) < residency-expected.Sub(now)
		if heldUntilReturn || residency < expected.Sub(begin) {
			continue
		}
		chance := float64(c.similarGaps+1) / float64(c.similarGaps+2)
		return m.prefetchOf(p, c.class, chance, expected)
	}
	return Prefetch{}, false
}
