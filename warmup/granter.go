// Package warmup decides which entries may send requests to a cold upstream, and how many.
//
// An upstream that has just started sustains few requests a second and crashes above that
// rate, whichever entries send them. An entry alone cannot enforce a bound on the sum: with
// 79 entries and 22 requests a second, an entry's share is a quarter of a request. Waiting
// for a message that an upstream is warm again is not possible either, because it may
// become cold at any moment.
//
// Therefore the leader of the control group grants the rate that each cold upstream
// sustains to as many entries as that rate allows, chosen by rendezvous hashing: the most
// frequent requests arrive at all entries alike, and entries without a grant send them to
// another upstream. A grant expires Validity after the leader last confirmed it. The grant
// of a former holder counts until it has expired and the Window after that has passed, so
// that the grants of all holders never add up to more than the upstream sustains: neither
// while entries join, stop, are partitioned or paused, nor after a change of leader, where
// the new leader waits for the same time.
//
// Designed for a data centre whose upstreams restart together, empty and without any
// request in progress, so that each of them looks like the best choice to every entry.
package warmup

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Validity is how long a grant may be used after the leader confirmed it. Entries with
	// requests receive updates from the leader every 0.2 s, delayed by at most 0.5 s.
	Validity = time.Second
	// Window is the time over which requests are counted.
	Window = time.Second
	// retention is how long a revoked grant still counts.
	retention = Validity + Window
	// MaxGrants bounds the number of grants held at the same time, some 100 KB on the wire.
	// Cold upstreams beyond it get no requests until others are warm.
	MaxGrants = 4096
)

// Cold is a cold upstream.
type Cold struct {
	Upstream string
	// PerSecond is the number of requests a second that the upstream sustains.
	PerSecond float64
}

// Grant permits one entry to send requests to one cold upstream.
type Grant struct {
	Upstream string `cbor:"1,keyasint"`
	Host     string `cbor:"2,keyasint"`
	// Requests is the maximum number of requests in any Window.
	Requests int `cbor:"3,keyasint"`
}

// Granter grants requests on the leader. It is not safe for concurrent use.
type Granter struct {
	// grantsFrom is the time by which the grants of the previous leader have expired.
	grantsFrom time.Time
	holders    map[string][]holder
	grants     []Grant
	revision   uint64
}

// holder is an entry with a grant for an upstream.
type holder struct {
	host     string
	requests int
	// until is the time from which a revoked grant no longer counts. It is zero while the
	// grant is held.
	until time.Time
}

// NewGranter returns the granter of a leader that was elected at the time since.
func NewGranter(since time.Time) *Granter {
	return &Granter{grantsFrom: since.Add(retention), holders: make(map[string][]holder)}
}

// Update updates the grants for the given cold upstreams and the entries that accept
// requests.
func (g *Granter) Update(cold []Cold, entries []string, now time.Time) {
	if now.Before(g.grantsFrom) {
		return
	}
	sustained := make(map[string]float64, len(cold))
	for _, c := range cold {
		sustained[c.Upstream] = c.PerSecond
	}
	changed := g.revoke(sustained, entries, now)
	remaining := MaxGrants - len(g.grants)
	for _, c := range cold {
		if remaining <= 0 {
			break
		}
		added := g.fill(c, entries)
		remaining -= added
		changed = changed || added > 0
	}
	if changed {
		g.list()
	}
}

// revoke revokes the grants of entries and upstreams that are no longer listed, and reports
// whether it revoked any.
func (g *Granter) revoke(sustained map[string]float64, entries []string, now time.Time) bool {
	changed := false
	for upstream, list := range g.holders {
		list = slices.DeleteFunc(list, func(h holder) bool { return !h.until.IsZero() && !now.Before(h.until) })
		for i := range list {
			_, isCold := sustained[upstream]
			if list[i].until.IsZero() && (!isCold || !slices.Contains(entries, list[i].host)) {
				list[i].until = now.Add(retention)
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

// fill grants the remaining requests of an upstream and returns the number of new grants.
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

// order returns the entries sorted by a hash of upstream and host.
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

// list rebuilds the list of grants that are held and increments the revision.
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

// Grants returns all grants, sorted by upstream and host, and a revision that increases
// with each change. The caller must not modify the grants.
func (g *Granter) Grants() ([]Grant, uint64) { return g.grants, g.revision }

// GrantsFor returns the grants of one entry.
func GrantsFor(grants []Grant, host string) []Grant {
	var own []Grant
	for _, grant := range grants {
		if grant.Host == host {
			own = append(own, grant)
		}
	}
	return own
}

// probeShare is the fraction of the rate that an upstream sustains which all entries
// together may use for probes before they know whether it is cold. In the second in which
// they learn that, requests under grants add to the probes.
const probeShare = 0.5

// ProbeInterval returns the interval between two requests of one entry to an upstream that the
// entry lost and that may restart cold, where perSecond is the rate that the upstream
// sustains while cold. It is 0 if the upstream is never cold.
func ProbeInterval(perSecond float64, entries int) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	seconds := float64(max(entries, 1)) / math.Max(probeShare*perSecond, 1)
	return time.Duration(seconds * float64(time.Second))
}
