package upstream

import (
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// maxExamined bounds the upstreams among which Others chooses.
const maxExamined = 64

// Presence is what a registry knows of a registered upstream.
type Presence struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	Address     string
	// InContact indicates that its latest announcement is younger than its ContactTimeout.
	InContact bool
}

// Presence returns what is known of an upstream, and false if it is not registered.
func (r *Registry) Presence(now time.Time, upstream ident.Upstream) (Presence, bool) {
	r.Advance(now)
	i, known := r.index[upstream]
	if !known {
		return Presence{}, false
	}
	return r.presence(now, &r.slots[i]), true
}

// Others appends some upstreams in contact to out, from a random one on, without the given one.
func (r *Registry) Others(now time.Time, random *rand.Rand, upstream ident.Upstream, out []Presence) []Presence {
	r.Advance(now)
	if len(r.slots) == 0 {
		return out
	}
	first := random.IntN(len(r.slots))
	for n := range min(len(r.slots), maxExamined) {
		s := &r.slots[(first+n)%len(r.slots)]
		if p := r.presence(now, s); s.used && p.InContact && p.Upstream != upstream {
			out = append(out, p)
		}
	}
	return out
}

func (r *Registry) presence(now time.Time, s *slot) Presence {
	return Presence{
		Upstream: s.announced.Upstream, Incarnation: s.announced.Incarnation, Address: s.announced.Address,
		InContact: s.used && now.Before(r.contactDeadline(s)),
	}
}
