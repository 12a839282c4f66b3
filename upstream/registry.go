package upstream

import (
	"container/heap"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Registry follows the upstreams that announced themselves.
type Registry struct {
	opts       Options
	slots      []slot
	free       []uint32
	index      map[ident.Upstream]uint32
	pools      map[Pool]*pool
	flights    map[Attempt]*flight
	departures departures
	timers     timerHeap
	shares     [Service + 1]shareEstimate // by kind
	stats      Stats
}

// Stats counts what a registry has seen since it was made.
type Stats struct {
	Refused   uint64 // announcements of an older or departed incarnation
	Full      uint64 // announcements beyond MaxUpstreams
	OldReport uint64
	Expired   uint64
	Ejected   uint64
	// Spared counts ejections left out to keep capacity.
	Spared uint64
	// Untracked counts sends beyond MaxInFlight.
	Untracked uint64
	// Considered counts the upstreams that picks looked at.
	Considered uint64
	// Unmatched counts ends of attempts that are not in flight.
	Unmatched uint64
}

// slot is one registered upstream.
type slot struct {
	used       bool
	generation uint32
	listing    listing
	draining   bool
	announced  Announcement
	since      time.Time // start of this incarnation here
	heard      time.Time
	load       loadState
	health     health
	places     []place
	// timer is when the slot is looked at next.
	timer *timer
}

// NewRegistry makes an empty registry.
func NewRegistry(opts Options) (*Registry, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	return &Registry{
		opts:       opts.withDefaults(),
		index:      make(map[ident.Upstream]uint32),
		pools:      make(map[Pool]*pool),
		flights:    make(map[Attempt]*flight),
		departures: newDepartures(),
	}, nil
}

// AnnounceResult is what became of an announcement.
type AnnounceResult uint8

// The results of Announce.
const (
	// Registered means that a new upstream or incarnation is followed now.
	Registered AnnounceResult = iota + 1
	// Renewed means that the lease of a known incarnation goes on.
	Renewed
	// Departed means that the upstream is leaving; tell the other entries.
	Departed
	// Refused means that the incarnation has left, or is older than one heard
	// of not long ago.
	Refused
	// Full means that MaxUpstreams are followed already.
	Full
	// Invalid means that a field is out of range; the error names it.
	Invalid
)

// Announce takes an upstream's word about itself.
func (r *Registry) Announce(now time.Time, a Announcement) (AnnounceResult, error) {
	r.Advance(now)
	if err := a.Validate(); err != nil {
		return Invalid, err
	}
	a.Slots = max(a.Slots, 1)
	word := Departure{Upstream: a.Upstream, Incarnation: a.Incarnation}
	if !a.Leaving && r.departures.refuses(now, word) {
		r.stats.Refused++
		return Refused, nil
	}
	i, known := r.index[a.Upstream]
	// An upstream's clock may step back between its lives. The words of an
	// earlier one stop while those of the present one go on.
	if known && a.Incarnation < r.slots[i].announced.Incarnation && now.Before(r.quietAt(&r.slots[i])) {
		r.stats.Refused++
		return Refused, nil
	}
	if a.Leaving {
		r.depart(now, word)
		return Departed, nil
	}
	if known && a.Incarnation == r.slots[i].announced.Incarnation {
		r.renew(now, i, a)
		return Renewed, nil
	}
	if known {
		r.remove(i)
	}
	if len(r.index) >= r.opts.MaxUpstreams {
		r.stats.Full++
		return Full, nil
	}
	r.register(now, a)
	return Registered, nil
}

// MergeDepartures takes the word of other entries that upstreams are leaving and
// returns those that were news here, to be passed on.
func (r *Registry) MergeDepartures(now time.Time, words []Departure) []Departure {
	r.Advance(now)
	var news []Departure
	for _, word := range words {
		if r.departures.has(word) {
			continue
		}
		if i, ok := r.index[word.Upstream]; ok && r.slots[i].announced.Incarnation > word.Incarnation {
			continue
		}
		r.depart(now, word)
		news = append(news, word)
	}
	return news
}

// Departures appends to out the departures still remembered, for exchange
// with other entries.
func (r *Registry) Departures(out []Departure) []Departure {
	return r.departures.list(out)
}

// depart takes an upstream out of its pools at once. It stays registered
// until its lease runs out, so that work in flight keeps its address.
func (r *Registry) depart(now time.Time, word Departure) {
	r.departures.add(now, word, r.opts.DepartureTTL, r.opts.ContactTimeout)
	i, ok := r.index[word.Upstream]
	if !ok || r.slots[i].announced.Incarnation > word.Incarnation {
		return
	}
	r.slots[i].draining = true
	r.refresh(now, i)
}

func (r *Registry) register(now time.Time, a Announcement) {
	i := r.allocate()
	s := &r.slots[i]
	*s = slot{
		used:       true,
		generation: s.generation + 1,
		announced:  a,
		since:      now,
		heard:      now,
		health:     newHealth(),
		timer:      &timer{at: now, slot: i},
	}
	heap.Push(&r.timers, s.timer)
	r.index[a.Upstream] = i
	r.refresh(now, i)
}

func (r *Registry) renew(now time.Time, i uint32, a Announcement) {
	s := &r.slots[i]
	if !samePools(&s.announced, &a) {
		r.relist(i, unlisted)
	}
	s.announced = a
	s.heard = now
	// What drained it was the word of another life.
	s.draining = false
	r.refresh(now, i)
}

func (r *Registry) allocate() uint32 {
	if last := len(r.free) - 1; last >= 0 {
		i := r.free[last]
		r.free = r.free[:last]
		return i
	}
	r.slots = append(r.slots, slot{})
	return uint32(len(r.slots) - 1)
}

func (r *Registry) remove(i uint32) {
	s := &r.slots[i]
	r.relist(i, unlisted)
	delete(r.index, s.announced.Upstream)
	heap.Remove(&r.timers, s.timer.position)
	*s = slot{generation: s.generation}
	r.free = append(r.free, i)
}

// quietAt is when an upstream that says nothing more gets no more work.
func (r *Registry) quietAt(s *slot) time.Time {
	return s.heard.Add(min(r.opts.ContactTimeout, s.announced.Lease))
}

// goneAt is when an upstream that says nothing more is forgotten.
func (r *Registry) goneAt(s *slot) time.Time {
	return s.heard.Add(max(r.opts.ContactTimeout, s.announced.Lease))
}

// Advance lets leases, ejections and departures run out. Every method with a
// time calls it; a caller needs it only when nothing else happens.
func (r *Registry) Advance(now time.Time) {
	r.departures.expire(now)
	for len(r.timers) > 0 && !r.timers[0].at.After(now) {
		r.refresh(now, r.timers[0].slot)
	}
}

// refresh brings a slot's phase, listing and timer in line with its state.
func (r *Registry) refresh(now time.Time, i uint32) {
	s := &r.slots[i]
	if !now.Before(r.goneAt(s)) {
		r.stats.Expired++
		r.remove(i)
		return
	}
	if s.health.phase == ejected && !now.Before(s.health.until) {
		s.health.readmit()
	}
	quiet := !now.Before(r.quietAt(s))
	switch {
	case s.draining || quiet:
		r.relist(i, unlisted)
	case s.health.phase == ejected:
		r.relist(i, setAside)
	default:
		r.relist(i, offered)
	}
	r.timers.move(s.timer, r.nextTimer(s, quiet))
}

func (r *Registry) nextTimer(s *slot, quiet bool) time.Time {
	next := r.quietAt(s)
	if quiet {
		next = r.goneAt(s)
	}
	if s.health.phase == ejected && s.health.until.Before(next) {
		next = s.health.until
	}
	return next
}

// Len returns the number of registered upstreams.
func (r *Registry) Len() int { return len(r.index) }

// InFlight returns the number of attempts in flight.
func (r *Registry) InFlight() int { return len(r.flights) }

// Stats returns the counts so far.
func (r *Registry) Stats() Stats { return r.stats }
