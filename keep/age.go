package keep

import (
	"container/heap"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// ageQueue is a heap of prompts, ordered by nextAgeCheck. It implements
// heap.Interface and holds each prompt at most once.
type ageQueue []*prompt

func (q ageQueue) Len() int           { return len(q) }
func (q ageQueue) Less(i, j int) bool { return q[i].nextAgeCheck.Before(q[j].nextAgeCheck) }
func (q ageQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].ageIndex = i
	q[j].ageIndex = j
}

func (q *ageQueue) Push(x any) {
	p := x.(*prompt)
	p.ageIndex = len(*q)
	*q = append(*q, p)
}

func (q *ageQueue) Pop() any {
	last := len(*q) - 1
	p := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	p.ageIndex = -1
	return p
}

// scheduleAge sets the time at which a prompt reaches its next age bucket or
// its prefetch is due, whichever comes first.
func (m *Manager) scheduleAge(p *prompt) {
	p.nextAgeCheck = p.lastUse.Add(bucketStart(p.ageBucket + 1))
	if !p.prefetchAt.IsZero() && p.prefetchAt.Before(p.nextAgeCheck) {
		p.nextAgeCheck = p.prefetchAt
	}
	if p.ageIndex < 0 {
		heap.Push(&m.ages, p)
		return
	}
	heap.Fix(&m.ages, p.ageIndex)
}

// recordAge records the age buckets that a prompt has reached.
func (m *Manager) recordAge(now time.Time, p *prompt) {
	for last := bucketOf(now.Sub(p.lastUse)); p.ageBucket < last; {
		p.ageBucket++
		m.learner.reach(p.key, p.ageBucket)
	}
}

// maxAgesPerPlan is the maximum number of prompts whose age one plan advances.
const maxAgesPerPlan = 256

// advanceAges moves prompts to their next age buckets and returns the
// prefetches that are due. A prompt that has reached the last bucket is
// forgotten.
func (m *Manager) advanceAges(now time.Time) []Prefetch {
	var due []Prefetch
	for range maxAgesPerPlan {
		if len(m.ages) == 0 || m.ages[0].nextAgeCheck.After(now) {
			break
		}
		p := m.ages[0]
		if fetch, ok := m.advanceAge(now, p); ok {
			due = append(due, fetch)
		}
		if p.tracked {
			m.scheduleAge(p)
		}
	}
	return due
}

// advanceAge advances the age of one prompt and decides whether to prefetch it.
func (m *Manager) advanceAge(now time.Time, p *prompt) (Prefetch, bool) {
	if !p.prefetchAt.IsZero() && !p.prefetchAt.After(now) {
		if fetch, ok := m.cyclePrefetch(now, p); ok {
			return fetch, true
		}
	}
	before := p.ageBucket
	m.recordAge(now, p)
	if p.ageBucket >= bucketCount-1 {
		m.forget(now, p)
		return Prefetch{}, false
	}
	if p.ageBucket == before {
		return Prefetch{}, false
	}
	return m.prefetch(p)
}

// prefetchSupport is the minimum number of prompts observed at an age for a
// prefetch based on it.
const prefetchSupport = 8

// prefetch decides whether to prefetch a prompt that has just reached an age
// bucket: most similar prompts that reach this age must return within it, and
// the store hosts must hold the prompt.
func (m *Manager) prefetch(p *prompt) (Prefetch, bool) {
	if p.prefetched || p.copies == 0 {
		return Prefetch{}, false
	}
	records := m.learner.levels(p.key)
	chance := records.hazard(p.ageBucket)
	if chance < m.opts.PrefetchChance || records.support(p.ageBucket) < prefetchSupport {
		return Prefetch{}, false
	}
	// Nothing needs fetching while the runner still holds the prompt.
	if p.blocksOnRunner > 0 && bucketStart(p.ageBucket+1) < m.residency(p) {
		return Prefetch{}, false
	}
	return m.prefetchOf(p, p.key.class, chance, time.Time{})
}

// prefetchOf returns the prefetch of the leading blocks that the store hosts
// hold.
func (m *Manager) prefetchOf(p *prompt, class ident.Class, chance float64, expected time.Time) (Prefetch, bool) {
	count := m.Readable(p.blocks, 0)
	if count == 0 || m.anyLinkBusy(p.blocks[:count]) {
		return Prefetch{}, false
	}
	p.prefetched = true
	m.stats.Prefetches++
	return Prefetch{
		Scope:    p.scope,
		Class:    class,
		Blocks:   append(p.blocks[:0:0], p.blocks[:count]...),
		Bytes:    int64(count) * p.bytes,
		Chance:   chance,
		Expected: expected,
	}, true
}

// anyLinkBusy reports whether the link of a store host that holds one of the
// blocks is busy. On a slow link, prefetches would delay the blocks that
// callers wait for with blocks not yet requested, until the callers give up or
// their prompts are recomputed; an omitted prefetch costs one caller one fetch.
func (m *Manager) anyLinkBusy(blocks []prefix.BlockID) bool {
	for _, block := range blocks {
		c := m.copies[block]
		if c != nil && c.store.status.LinkBusy >= busyLink {
			return true
		}
	}
	return false
}
