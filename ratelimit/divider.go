package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Validity is how long a share may be used after the leader confirmed it.
	Validity = time.Second
	// redivideEvery is the interval at which limits are divided anew by the rates of the entries.
	redivideEvery = 5 * time.Second
)

// Entry is an entry that may get a share.
type Entry struct {
	Host string
	// Rate is the number of requests a second that it serves.
	Rate float64
}

// Share permits one entry to send requests to one limited upstream.
type Share struct {
	Upstream  string  `cbor:"1,keyasint"`
	Host      string  `cbor:"2,keyasint"`
	PerSecond float64 `cbor:"3,keyasint"`
}

// Divider divides limits among entries on the leader. It is not safe for concurrent use.
type Divider struct {
	// from is the time by which the shares of the previous leader have expired.
	from       time.Time
	byUpstream map[string]*division
	shares     []Share
	revision   uint64
}

// division is one limit and its shares.
type division struct {
	perSecond float64
	targets   map[string]float64
	holders   map[string]*holder
	dividedAt time.Time
}

// holder is an entry's share. A lowered share counts as before, peak, until peakUntil.
type holder struct {
	rate, peak float64
	peakUntil  time.Time
}

func (h *holder) counted(now time.Time) float64 {
	if now.Before(h.peakUntil) {
		return max(h.rate, h.peak)
	}
	return h.rate
}

// NewDivider returns the divider of a leader that was elected at the time since.
func NewDivider(since time.Time) *Divider {
	return &Divider{from: since.Add(Validity), byUpstream: make(map[string]*division)}
}

// Update divides the limits among the entries.
func (d *Divider) Update(limits []Observation, entries []Entry, now time.Time) {
	if now.Before(d.from) {
		return
	}
	changed := d.revision == 0
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Host] = true
	}
	limited := make(map[string]bool, len(limits))
	for _, l := range limits {
		if !l.Limit.Limited {
			continue
		}
		limited[l.Upstream] = true
		v := d.byUpstream[l.Upstream]
		if v == nil {
			v = &division{holders: make(map[string]*holder)}
			d.byUpstream[l.Upstream] = v
		}
		if v.outdated(l.Limit.effective(), present, now) {
			v.perSecond, v.dividedAt = l.Limit.effective(), now
			v.targets = divide(l.Upstream, v.perSecond, entries)
		}
		changed = v.adjust(now) || changed
	}
	for upstream, v := range d.byUpstream {
		if limited[upstream] {
			continue
		}
		v.targets = nil
		changed = v.adjust(now) || changed
		if len(v.holders) == 0 {
			delete(d.byUpstream, upstream)
		}
	}
	if changed {
		d.list()
	}
}

// outdated reports whether the limit must be divided anew.
func (v *division) outdated(perSecond float64, present map[string]bool, now time.Time) bool {
	if perSecond != v.perSecond || len(v.targets) == 0 || now.Sub(v.dividedAt) >= redivideEvery {
		return true
	}
	for host := range v.targets {
		if !present[host] {
			return true
		}
	}
	return false
}

// divide returns the share of each entry, in requests a second. No more entries get one than the
// limit has requests a second: a share that allows a request every few seconds is of little use,
// and many such shares used at the same moment exceed the limit.
func divide(upstream string, perSecond float64, entries []Entry) map[string]float64 {
	chosen := order(upstream, entries)
	chosen = chosen[:min(len(chosen), max(int(perSecond), 1))]
	total := 0.0
	for _, e := range chosen {
		total += e.weight()
	}
	targets := make(map[string]float64, len(chosen))
	for _, e := range chosen {
		targets[e.Host] = perSecond * e.weight() / total
	}
	return targets
}

// weight is the entry's rate, at least one request a second so that a division never is by zero.
func (e Entry) weight() float64 { return max(e.Rate, 1) }

// order sorts the entries by rendezvous hashing, weighted by their rates.
func order(upstream string, entries []Entry) []Entry {
	scores := make(map[string]float64, len(entries))
	for _, e := range entries {
		scores[e.Host] = -math.Log(unit(upstream, e.Host)) / e.weight()
	}
	list := slices.Clone(entries)
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(scores[a.Host], scores[b.Host]), cmp.Compare(a.Host, b.Host))
	})
	return list
}

// unit returns a hash of upstream and host between 0 and 1.
func unit(upstream, host string) float64 {
	return (float64(xxhash.Sum64String(upstream+"\x00"+host)>>11) + 0.5) / (1 << 53)
}

// adjust moves the shares towards their targets, as far as lowered shares permit, and reports
// whether any changed.
func (v *division) adjust(now time.Time) bool {
	changed, used := false, 0.0
	for host, h := range v.holders {
		if target := v.targets[host]; target < h.rate {
			h.peak, h.peakUntil = h.counted(now), now.Add(Validity)
			h.rate, changed = target, true
		}
		if counted := h.counted(now); counted > 0 {
			used += counted
		} else {
			delete(v.holders, host)
		}
	}
	for host, target := range v.targets {
		h := v.holders[host]
		if h == nil {
			h = &holder{}
		}
		// A share below its earlier peak may rise to it without counting for more.
		before := h.counted(now)
		raised := min(target, before+max(v.perSecond-used, 0))
		if raised <= h.rate {
			continue
		}
		h.rate, changed = raised, true
		v.holders[host] = h
		used += h.counted(now) - before
	}
	return changed
}

// list rebuilds the list of shares and increments the revision.
func (d *Divider) list() {
	d.shares = nil
	for upstream, v := range d.byUpstream {
		for host, h := range v.holders {
			if h.rate > 0 {
				d.shares = append(d.shares, Share{Upstream: upstream, Host: host, PerSecond: h.rate})
			}
		}
	}
	slices.SortFunc(d.shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Host, b.Host))
	})
	d.revision++
}

// Shares returns all shares, sorted by upstream and host, and a revision that increases with each
// change, 0 before the first. The caller must not modify the shares.
func (d *Divider) Shares() ([]Share, uint64) { return d.shares, d.revision }

// SharesFor returns the shares of one entry.
func SharesFor(shares []Share, host string) []Share {
	var own []Share
	for _, s := range shares {
		if s.Host == host {
			own = append(own, s)
		}
	}
	return own
}
