// Package warmup decides who may send requests to a cold upstream, and how many.
//
// An upstream that has just started bears few requests a second and crashes above that,
// whoever sends them. Each entry alone can't hold a bound on the sum: with 79 entries
// and 22 requests a second an entry's share is a quarter of a request. Nor can a word
// that an upstream is warm again be waited for, since it turns cold at any moment.
//
// The leader of the control group therefore grants each cold upstream's requests a
// second to as many entries as it bears, chosen by rendezvous hashing: what it is asked
// most comes to all entries alike, and those without a grant send it elsewhere. A grant runs out Validity after
// the leader last confirmed it. What a former holder may still use counts until it has
// run out and the second after it has passed, so that the grants of all holders never
// add up to more than the upstream bears: not while entries join, end, are cut off or
// stand still, and not after a change of leaders, where the new one waits for as long.
//
// The load pattern is a data centre whose upstreams come back together, empty and with
// no request under way: to every entry each of them looks like the best choice.
package warmup

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Validity is how long a grant may be used after the leader confirmed it. Entries
	// with requests hear from the leader every 0.2 s, and of it 0.5 s late at most.
	Validity = time.Second
	// Window is the time in which requests are counted.
	Window = time.Second
	// settle is for how long after its end a grant counts.
	settle = Validity + Window
	// MaxGrants bounds the grants that are held at a time, some 100 KB on the wire. What
	// is cold beyond it gets nothing until others are warm.
	MaxGrants = 4096
)

// Cold is an upstream that is cold.
type Cold struct {
	Upstream string
	// PerSecond is how many requests a second it bears.
	PerSecond float64
}

// Grant is what one entry may send to one cold upstream.
type Grant struct {
	Upstream string `cbor:"1,keyasint"`
	Host     string `cbor:"2,keyasint"`
	// Requests are those in any Window.
	Requests int `cbor:"3,keyasint"`
}

// Granter grants requests, on the leader. It is not safe for concurrent use.
type Granter struct {
	// from is when grants of the leader before have run out.
	from     time.Time
	holders  map[string][]holder
	grants   []Grant
	revision uint64
}

// holder is an entry with a grant for an upstream.
type holder struct {
	host     string
	requests int
	// until is when the grant no longer counts, zero while it is held.
	until time.Time
}

// NewGranter returns the granter of a leader that was elected at since.
func NewGranter(since time.Time) *Granter {
	return &Granter{from: since.Add(settle), holders: make(map[string][]holder)}
}

// Update brings the grants up to date with the cold upstreams and the entries that
// take requests.
func (g *Granter) Update(cold []Cold, entries []string, now time.Time) {
	if now.Before(g.from) {
		return
	}
	bears := make(map[string]float64, len(cold))
	for _, c := range cold {
		bears[c.Upstream] = c.PerSecond
	}
	changed := g.retire(bears, entries, now)
	room := MaxGrants - len(g.grants)
	for _, c := range cold {
		if room <= 0 {
			break
		}
		added := g.fill(c, entries)
		room -= added
		changed = changed || added > 0
	}
	if changed {
		g.list()
	}
}

// retire ends the grants of entries and upstreams that are left out, and reports
// whether any did.
func (g *Granter) retire(bears map[string]float64, entries []string, now time.Time) bool {
	changed := false
	for upstream, list := range g.holders {
		list = slices.DeleteFunc(list, func(h holder) bool { return !h.until.IsZero() && !now.Before(h.until) })
		for i := range list {
			_, isCold := bears[upstream]
			if list[i].until.IsZero() && (!isCold || !slices.Contains(entries, list[i].host)) {
				list[i].until = now.Add(settle)
				changed = true
			}
		}
		g.holders[upstream] = list
		if len(list) == 0 {
			delete(g.holders, upstream)
		}
	}
	return changed
}

// fill grants what is left of an upstream's requests and returns the number of new
// grants.
func (g *Granter) fill(c Cold, entries []string) int {
	total := max(int(c.PerSecond), 1)
	wanted := min(len(entries), total)
	if wanted == 0 {
		return 0
	}
	each := max(total/wanted, 1)
	list := g.holders[c.Upstream]
	used, held := 0, 0
	for _, h := range list {
		used += h.requests
		if h.until.IsZero() {
			held++
		}
	}
	added := 0
	for _, host := range order(c.Upstream, entries) {
		if held >= wanted || used+each > total {
			break
		}
		if slices.ContainsFunc(list, func(h holder) bool { return h.host == host }) {
			continue
		}
		list = append(list, holder{host: host, requests: each})
		used, held, added = used+each, held+1, added+1
	}
	if added > 0 {
		g.holders[c.Upstream] = list
	}
	return added
}

// order sorts entries by a hash of upstream and host.
func order(upstream string, entries []string) []string {
	type scored struct {
		host  string
		score uint64
	}
	list := make([]scored, len(entries))
	for i, host := range entries {
		list[i] = scored{host, xxhash.Sum64String(upstream + "\x00" + host)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.host, b.host))
	})
	hosts := make([]string, len(list))
	for i := range list {
		hosts[i] = list[i].host
	}
	return hosts
}

// list sets out the grants that are held.
func (g *Granter) list() {
	g.grants = nil
	for upstream, list := range g.holders {
		for _, h := range list {
			if h.until.IsZero() {
				g.grants = append(g.grants, Grant{Upstream: upstream, Host: h.host, Requests: h.requests})
			}
		}
	}
	slices.SortFunc(g.grants, func(a, b Grant) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Host, b.Host))
	})
	g.revision++
}

// Grants lists all grants by upstream and host, with a revision that grows with each
// change. They must not be changed.
func (g *Granter) Grants() ([]Grant, uint64) { return g.grants, g.revision }

// GrantsFor lists the grants of one entry.
func GrantsFor(grants []Grant, host string) []Grant {
	var own []Grant
	for _, grant := range grants {
		if grant.Host == host {
			own = append(own, grant)
		}
	}
	return own
}

// probeShare is the part of what an upstream bears that entries send together before
// they know whether it is cold: in the second in which they learn it, grants add to it.
const probeShare = 0.5

// Every is the time between two requests of one entry to an upstream that it lost and
// that may come back cold, where it bears perSecond then.
func Every(perSecond float64, entries int) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	seconds := float64(max(entries, 1)) / math.Max(probeShare*perSecond, 1)
	return time.Duration(seconds * float64(time.Second))
}
