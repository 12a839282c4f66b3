package upstream

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// listKind selects the list of its pools that a slot is in.
type listKind uint8

const (
	noList listKind = iota
	offeredList
	ejectedList
)

// pool holds the slots that may serve one kind of request, as dense lists.
type pool struct {
	key   Pool
	lists [ejectedList + 1][]uint32
}

// membership is a slot's position in the current list of one pool.
type membership struct {
	pool     *pool
	position int
}

// mayEject reports whether one more offered slot may be ejected under the
// given maximum share.
func (p *pool) mayEject(share float64) bool {
	ejectedSlots := len(p.lists[ejectedList])
	return float64(ejectedSlots+1) <= share*float64(ejectedSlots+len(p.lists[offeredList]))
}

// poolKeys returns the pools of an announcement.
func poolKeys(a *Announcement) []Pool {
	switch a.Kind {
	case Store:
		return []Pool{StorePool(a.DataCentre, a.Shard)}
	case Service:
		return []Pool{ServicePool(a.Service, a.DataCentre, a.Shard)}
	}
	keys := make([]Pool, 0, a.poolCount())
	for _, loaded := range a.Models {
		cell := ident.Cell{Model: loaded.Model, DataCentre: a.DataCentre, Shard: a.Shard}
		keys = append(keys, EnginePool(cell, loaded.Version, ""))
		for _, adapter := range loaded.Adapters {
			keys = append(keys, EnginePool(cell, loaded.Version, adapter))
		}
	}
	return keys
}

func samePools(a, b *Announcement) bool {
	if a.Kind != b.Kind || a.DataCentre != b.DataCentre || a.Shard != b.Shard || a.Service != b.Service {
		return false
	}
	return slices.EqualFunc(a.Models, b.Models, func(x, y Loaded) bool {
		return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}

// moveToList moves a slot to another list of each of its pools.
func (r *Registry) moveToList(i uint32, to listKind) {
	s := &r.slots[i]
	if s.listKind == to {
		return
	}
	if s.listKind == noList {
		r.joinPools(i)
	} else {
		for _, m := range s.memberships {
			r.removeFromList(m, s.listKind)
		}
	}
	s.listKind = to
	if to == noList {
		r.leavePools(i)
		return
	}
	for j := range s.memberships {
		m := &s.memberships[j]
		m.position = len(m.pool.lists[to])
		m.pool.lists[to] = append(m.pool.lists[to], i)
	}
	// An ejected slot that announces another version joins pools that were not
	// checked when it was ejected.
	if to == ejectedList {
		for _, m := range s.memberships {
			r.ensureOffered(m.pool)
		}
	}
}

// joinPools sets the memberships of a slot and creates missing pools.
func (r *Registry) joinPools(i uint32) {
	s := &r.slots[i]
	for _, key := range poolKeys(&s.announced) {
		p := r.pools[key]
		if p == nil {
			p = &pool{key: key}
			r.pools[key] = p
		}
		if !slices.ContainsFunc(s.memberships, func(m membership) bool { return m.pool == p }) {
			s.memberships = append(s.memberships, membership{pool: p})
		}
	}
}

// leavePools clears the memberships of a slot and deletes pools that became
// empty.
func (r *Registry) leavePools(i uint32) {
	s := &r.slots[i]
	for _, m := range s.memberships {
		if len(m.pool.lists[offeredList])+len(m.pool.lists[ejectedList]) == 0 {
			delete(r.pools, m.pool.key)
		} else {
			r.ensureOffered(m.pool)
		}
	}
	s.memberships = s.memberships[:0]
}

// ensureOffered reinstates the first ejected slot of a pool that offers none.
// This happens when the healthy slots leave or lose contact after the ejection.
func (r *Registry) ensureOffered(p *pool) {
	if len(p.lists[offeredList]) > 0 || len(p.lists[ejectedList]) == 0 {
		return
	}
	i := p.lists[ejectedList][0]
	r.slots[i].health.reinstate()
	r.moveToList(i, offeredList)
}

// removeFromList removes a slot from one list of a pool by moving the last slot
// of the list to its position.
func (r *Registry) removeFromList(m membership, from listKind) {
	list := m.pool.lists[from]
	last := len(list) - 1
	moved := list[last]
	list[m.position] = moved
	m.pool.lists[from] = list[:last]
	memberships := r.slots[moved].memberships
	for j := range memberships {
		if memberships[j].pool == m.pool {
			memberships[j].position = m.position
		}
	}
}

// sampleFactor is the number of members sampled for each candidate requested.
// Choosing among several shortens the tail of the load distribution; choosing
// among all lets every entry pick the same upstream after the same stale report
// (docs/design/upstream.md).
const sampleFactor = 4

// maxSample bounds the sample of one pick.
const maxSample = 64

// Pick appends up to n candidates of a pool to out: the least loaded of a random
// sample of sampleFactor times n, at most maxSample, best first.
func (r *Registry) Pick(now time.Time, random *rand.Rand, key Pool, n int, out []Candidate) []Candidate {
	r.Advance(now)
	p := r.pools[key]
	if p == nil || n < 1 {
		return out
	}
	var sampled [maxSample]uint32
	count := p.sample(random, sampled[:min(sampleFactor*n, maxSample)])
	r.stats.Considered += uint64(count)
	var scored [maxSample]scoredSlot
	usable := 0
	for _, i := range sampled[:count] {
		if now.Before(r.slots[i].backOffUntil) {
			continue
		}
		scored[usable] = scoredSlot{slot: i, score: r.score(now, i)}
		usable++
	}
	count = usable
	slices.SortFunc(scored[:count], byScore)
	for _, best := range scored[:min(n, count)] {
		out = append(out, r.candidate(now, best.slot))
	}
	return out
}

// scoredSlot is a slot with its score.
type scoredSlot struct {
	slot  uint32
	score float64
}

func byScore(a, b scoredSlot) int {
	switch {
	case a.score < b.score:
		return -1
	case a.score > b.score:
		return 1
	}
	return 0
}

// sample fills into with distinct random offered members and returns their
// number. It uses Floyd's algorithm, which needs no copy of the pool and no
// rejected draws.
func (p *pool) sample(random *rand.Rand, into []uint32) int {
	members := p.lists[offeredList]
	total := len(members)
	want := min(len(into), total)
	count := 0
	for j := total - want; j < total; j++ {
		pick := members[random.IntN(j+1)]
		if slices.Contains(into[:count], pick) {
			pick = members[j]
		}
		into[count] = pick
		count++
	}
	random.Shuffle(count, func(a, b int) { into[a], into[b] = into[b], into[a] })
	return count
}

// Candidate returns one upstream of a pool, for example the one that holds a
// prefix. It returns false when the pool does not offer the upstream.
func (r *Registry) Candidate(now time.Time, key Pool, upstream ident.Upstream) (Candidate, bool) {
	r.Advance(now)
	i, ok := r.index[upstream]
	if !ok {
		return Candidate{}, false
	}
	s := &r.slots[i]
	if s.listKind != offeredList || now.Before(s.backOffUntil) {
		return Candidate{}, false
	}
	for _, m := range s.memberships {
		if m.pool.key == key {
			return r.candidate(now, i), true
		}
	}
	return Candidate{}, false
}

func (r *Registry) candidate(now time.Time, i uint32) Candidate {
	s := &r.slots[i]
	return Candidate{
		Upstream:    s.announced.Upstream,
		Incarnation: s.announced.Incarnation,
		Kind:        s.announced.Kind,
		Address:     s.announced.Address,
		DataCentre:  s.announced.DataCentre,
		Slots:       s.announced.Slots,
		BlockBytes:  s.announced.BlockBytes,
		ChecksFence: s.announced.ChecksFence,
		Software:    s.announced.Software,
		Load:        s.load.estimate(now, r.othersPerOwn(s)),
		Weight:      r.weight(now, s),
		Score:       r.score(now, i),
	}
}

// othersPerOwn returns the estimated number of requests of other entries per
// request of this process.
func (r *Registry) othersPerOwn(s *slot) float64 {
	return r.shares[s.announced.Kind].othersPerOwn(r.opts.Entries)
}

// score returns the expected requests per weighted slot.
func (r *Registry) score(now time.Time, i uint32) float64 {
	s := &r.slots[i]
	requests := s.load.requests(r.othersPerOwn(s))
	return (requests + 1) / (float64(s.announced.Slots) * r.weight(now, s))
}

// weight returns the share of its usual work that an upstream should get.
func (r *Registry) weight(now time.Time, s *slot) float64 {
	if s.health.phase == probation {
		return probationWeight
	}
	age := now.Sub(s.registeredAt)
	if age >= r.opts.SlowStart {
		return 1
	}
	share := float64(age) / float64(r.opts.SlowStart)
	return max(share, probationWeight)
}

// Size returns the number of upstreams that a pool offers.
func (r *Registry) Size(key Pool) int {
	if p := r.pools[key]; p != nil {
		return len(p.lists[offeredList])
	}
	return 0
}
