package simload

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// Names of the policies.
const (
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoaded = "least-loaded"
	PolicySticky      = "sticky-prefix"
	PolicyLovage      = "lovagereach"
	PolicyClairvoyant = "clairvoyant"
)

// Policies returns the names of the policies in the order of the table.
func Policies() []string {
	return []string{PolicyRoundRobin, PolicyLeastLoaded, PolicySticky, PolicyLovage, PolicyClairvoyant}
}

var policyMakers = map[string]func(Run) policy{
	PolicyRoundRobin:  func(Run) policy { return &baseline{choose: roundRobin} },
	PolicyLeastLoaded: func(Run) policy { return &baseline{choose: leastLoaded} },
	PolicySticky:      func(Run) policy { return &baseline{choose: sticky} },
	PolicyLovage:      func(r Run) policy { return newCluster(r) },
	PolicyClairvoyant: func(r Run) policy { return newClairvoyant(r) },
}

// baseline is a load balancer with exact and immediate knowledge of the number of
// requests at each engine, which no real one has, but without knowledge of caches and
// store hosts.
type baseline struct {
	sim      *sim
	turn     int
	requests map[*engine]int
	at       map[*job]*engine
	choose   func(b *baseline, offered []*engine, j *job) *engine
}

func (b *baseline) begin(s *sim) {
	b.sim = s
	b.requests = make(map[*engine]int)
	b.at = make(map[*job]*engine)
}

func (b *baseline) arrive(j *job) {
	offered := b.sim.offered()
	if len(offered) == 0 {
		b.sim.refuse(j)
		return
	}
	e := b.choose(b, offered, j)
	b.requests[e]++
	j.expectedTokens = j.req.tokens
	b.at[j] = e
	j.onDone = b.lost
	b.sim.send(j, e)
}

func (b *baseline) leave(j *job) { b.lost(j) }

// lost removes a job from its engine's count. Further calls have no effect.
func (b *baseline) lost(j *job) {
	if e := b.at[j]; e != nil {
		b.requests[e]--
		delete(b.at, j)
	}
}

func (b *baseline) cacheEvents(ident.Upstream, []prefix.Event) {}

// offered returns the engines that are not leaving.
func (s *sim) offered() []*engine {
	out := make([]*engine, 0, len(s.engines))
	for _, e := range s.engines {
		if !e.leaving {
			out = append(out, e)
		}
	}
	return out
}

func roundRobin(b *baseline, offered []*engine, _ *job) *engine {
	b.turn++
	return offered[b.turn%len(offered)]
}

func leastLoaded(b *baseline, offered []*engine, _ *job) *engine {
	// The random start avoids that all ties go to the first engine.
	first := b.sim.random.IntN(len(offered))
	best := offered[first]
	for i := range offered {
		if e := offered[(first+i)%len(offered)]; b.requests[e] < b.requests[best] {
			best = e
		}
	}
	return best
}

// stickyBound is the maximum ratio of an engine's load to the mean. Beyond it a prompt
// goes to the next engine in its own order.
const stickyBound = 1.25

// sticky returns the first engine, in the prompt's own pseudorandom order, whose load
// is below stickyBound times the mean: consistent hashing with bounded loads.
func sticky(b *baseline, offered []*engine, j *job) *engine {
	total := 1
	for _, e := range offered {
		total += b.requests[e]
	}
	limit := stickyBound * float64(total) / float64(len(offered))
	order := slices.Clone(offered)
	key := j.req.blocks[0]
	slices.SortFunc(order, func(x, y *engine) int {
		return cmp.Compare(stickyScore(key, x), stickyScore(key, y))
	})
	for _, e := range order {
		if float64(b.requests[e]) < limit {
			return e
		}
	}
	return order[0]
}

func stickyScore(key prefix.BlockID, e *engine) uint64 {
	return xxhash.Sum64(append(key[:], e.name...))
}
