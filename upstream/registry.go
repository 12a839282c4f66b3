package upstream

import (
	"container/heap"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Registry tracks the upstreams that announced themselves.
type Registry struct {
	opts       Options
	slots      []slot
	free       []uint32
	index      map[ident.Upstream]uint32
	pools      map[Pool]*pool
	inFlight   map[Attempt]*sentAttempt
	departures departures
	timers     timerHeap
	shares     [Service + 1]shareEstimate // by Kind
	stats      Stats
}

// Stats are counters of a registry since its creation.
type Stats struct {
	Refused   uint64 // announcements of an older or departed incarnation
	Full      uint64 // announcements beyond MaxUpstreams
	OldReport uint64 // reports that were not newer, or of another incarnation
	Expired   uint64 // upstreams removed after their last announcement expired
	Ejected   uint64
	// Spared counts ejections that were skipped to keep capacity (MaxEjected).
	Spared uint64
	// Untracked counts attempts that were sent but not tracked: beyond
	// MaxInFlight, or already in flight.
	Untracked uint64
	// Considered counts the upstreams sampled by Pick.
	Considered uint64
	// Unmatched counts calls of Finish for attempts that are not in flight.
	Unmatched uint64
}

// slot is one registered upstream.
type slot struct {
	used         bool
	generation   uint32
	listKind     listKind
	draining     bool
	announced    Announcement
	registeredAt time.Time // first announcement of this incarnation
	lastContact  time.Time
	load         loadState
	health       health
	memberships  []membership
	// backOffUntil is the time until which the upstream wants no requests of this process.
	backOffUntil time.Time
	// timer fires when the slot is refreshed next.
	timer *timer
}

// NewRegistry returns an empty registry.
func NewRegistry(opts Options) (*Registry, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	return &Registry{
		opts:       opts.withDefaults(),
		index:      make(map[ident.Upstream]uint32),
		pools:      make(map[Pool]*pool),
		inFlight:   make(map[Attempt]*sentAttempt),
		departures: newDepartures(),
	}, nil
}

// AnnounceResult is the result of an announcement.
type AnnounceResult uint8

// The results of Announce.
const (
	// Registered means that a new upstream or incarnation was registered.
	Registered AnnounceResult = iota + 1
	// Renewed means that the lease of a known incarnation was extended.
	Renewed
	// Departed means that the upstream is leaving; the caller relays the
	// departure to the other entries.
	Departed
	// Refused means that the incarnation has left, or is older than one that
	// was in contact recently.
	Refused
	// Full means that MaxUpstreams are registered already.
	Full
	// Invalid means that a field is out of range; the error names it.
	Invalid
)

// Announce applies an announcement of an upstream.
func (r *Registry) Announce(now time.Time, a Announcement) (AnnounceResult, error) {
	r.Advance(now)
	if err := a.Validate(); err != nil {
		return Invalid, err
	}
	a.Slots = max(a.Slots, 1)
	departure := Departure{Upstream: a.Upstream, Incarnation: a.Incarnation}
	if !a.Leaving && r.departures.refuses(now, departure) {
		r.stats.Refused++
		return Refused, nil
	}
	i, known := r.index[a.Upstream]
	// A lower incarnation is not always older, since an upstream's clock may
	// step back between two incarnations. It is accepted once the known
	// incarnation is silent: a previous incarnation stops announcing itself,
	// the current one does not.
	if known && a.Incarnation < r.slots[i].announced.Incarnation && now.Before(r.contactDeadline(&r.slots[i])) {
		r.stats.Refused++
		return Refused, nil
	}
	if a.Leaving {
		r.depart(now, departure)
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

// MergeDepartures applies departures received from other entries and returns
// those that were new, to be relayed.
func (r *Registry) MergeDepartures(now time.Time, reported []Departure) []Departure {
	r.Advance(now)
	var added []Departure
	for _, departure := range reported {
		if r.departures.has(departure) {
			continue
		}
		if i, ok := r.index[departure.Upstream]; ok && r.slots[i].announced.Incarnation > departure.Incarnation {
			continue
		}
		r.depart(now, departure)
		added = append(added, departure)
	}
	return added
}

// Departures appends the departures still kept to out, for exchange with other
// entries.
func (r *Registry) Departures(out []Departure) []Departure {
	return r.departures.list(out)
}

// depart removes an upstream from its pools immediately. It stays registered
// until its lease expires, so that work in flight keeps its address.
func (r *Registry) depart(now time.Time, departure Departure) {
	r.departures.add(now, departure, r.opts.DepartureTTL, r.opts.ContactTimeout)
	i, ok := r.index[departure.Upstream]
	if !ok || r.slots[i].announced.Incarnation > departure.Incarnation {
		return
	}
	r.slots[i].draining = true
	r.refresh(now, i)
}

func (r *Registry) register(now time.Time, a Announcement) {
	i := r.allocate()
	s := &r.slots[i]
	*s = slot{
		used:         true,
		generation:   s.generation + 1,
		announced:    a,
		registeredAt: now,
		lastContact:  now,
		health:       newHealth(),
		timer:        &timer{at: now, slot: i},
	}
	heap.Push(&r.timers, s.timer)
	r.index[a.Upstream] = i
	r.refresh(now, i)
}

func (r *Registry) renew(now time.Time, i uint32, a Announcement) {
	s := &r.slots[i]
	if !samePools(&s.announced, &a) {
		r.moveToList(i, noList)
	}
	s.announced = a
	s.lastContact = now
	// The departure that set draining was of another incarnation.
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
	r.moveToList(i, noList)
	delete(r.index, s.announced.Upstream)
	heap.Remove(&r.timers, s.timer.position)
	*s = slot{generation: s.generation}
	r.free = append(r.free, i)
}

// contactDeadline returns the time at which an upstream stops getting new work
// unless it announces itself again.
func (r *Registry) contactDeadline(s *slot) time.Time {
	return s.lastContact.Add(min(r.opts.ContactTimeout, s.announced.Lease))
}

// removalDeadline returns the time at which an upstream is removed unless it
// announces itself again.
func (r *Registry) removalDeadline(s *slot) time.Time {
	return s.lastContact.Add(max(r.opts.ContactTimeout, s.announced.Lease))
}

// Advance expires leases, ejections and departures. Every method that takes the
// time calls it, so callers need it only when they call none of these.
func (r *Registry) Advance(now time.Time) {
	r.departures.expire(now)
	for len(r.timers) > 0 && !r.timers[0].at.After(now) {
		r.refresh(now, r.timers[0].slot)
	}
}

// refresh updates a slot's health phase, list and timer, or removes the slot
// when its lease has expired.
func (r *Registry) refresh(now time.Time, i uint32) {
	s := &r.slots[i]
	if !now.Before(r.removalDeadline(s)) {
		r.stats.Expired++
		r.remove(i)
		return
	}
	if s.health.phase == ejected && !now.Before(s.health.ejectedUntil) {
		s.health.reinstate()
	}
	silent := !now.Before(r.contactDeadline(s))
	switch {
	case s.draining || silent:
		r.moveToList(i, noList)
	case s.health.phase == ejected:
		r.moveToList(i, ejectedList)
	default:
		r.moveToList(i, offeredList)
	}
	r.timers.reschedule(s.timer, r.nextTimer(s, silent))
}

func (r *Registry) nextTimer(s *slot, silent bool) time.Time {
	next := r.contactDeadline(s)
	if silent {
		next = r.removalDeadline(s)
	}
	if s.health.phase == ejected && s.health.ejectedUntil.Before(next) {
		next = s.health.ejectedUntil
	}
	return next
}

// Len returns the number of registered upstreams.
func (r *Registry) Len() int { return len(r.index) }

// InFlight returns the number of attempts in flight.
func (r *Registry) InFlight() int { return len(r.inFlight) }

// Stats returns the counters.
func (r *Registry) Stats() Stats { return r.stats }
