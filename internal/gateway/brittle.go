package gateway

import (
	"math"
	"math/rand/v2"
	"time"
)

// Brittle upstreams fall over if they have to refuse more than a few requests in a second. The
// loads that entries know of each other are some 0.2 s old, so that all entries see the same free
// capacity and use it at the same moment. At a brittle upstream an entry therefore uses its own
// share of the capacity, and more only if it wins a draw: as many entries win at a time, on
// average, as there is capacity for.
const (
	// brittleMemory is how long a statement counts without another one.
	brittleMemory = 10 * time.Second
	// drawInterval is the interval between draws, about the age of the other entries' loads.
	drawInterval = 200 * time.Millisecond
	// winShare is the part of the free capacity that the winners of a draw use on average: more of
	// them may win than expected.
	winShare = 0.5
	// queuedMemory is how long an upstream that reported waiting requests gets no others, unless it
	// reports that none wait any more.
	queuedMemory = 300 * time.Millisecond
)

// brittle is what the upstreams of a service stated about refusals.
type brittle struct {
	// perSecond is the number that each can refuse in a second, 0 for any number, stated at at.
	perSecond int
	at        time.Time
}

// recordBrittle records an upstream's statement. All upstreams of a service make the same one.
func (r *run) recordBrittle(p *plan, perSecond int) {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.learnedOf(p.upstream.record.Service)
	if perSecond == 0 && p.sent.Before(l.brittle.at) {
		// The request may have been answered before the latest statement was made.
		return
	}
	l.brittle = brittle{perSecond: perSecond, at: time.Now()}
}

// brittleness returns the number of requests that each upstream of a service can refuse in a
// second, 0 for any number. The caller holds the lock, as for the functions below.
func (s *state) brittleness(service string, now time.Time) int {
	l := s.learned[service]
	if l == nil || now.Sub(l.brittle.at) >= brittleMemory {
		return 0
	}
	return l.brittle.perSecond
}

// pauseBrittle stops requests to a brittle upstream that has refused one, so that all entries
// together have no more refused than it can bear. The times differ between entries.
func (s *state) pauseBrittle(u *upstreamState, now time.Time) {
	if perSecond := s.brittleness(u.record.Service, now); perSecond > 0 {
		pause := time.Duration(float64(s.sendingEntries()) / float64(perSecond) * float64(time.Second))
		u.pausedUntil = now.Add(pause/2 + rand.N(pause) + fullFor)
	}
}

// sendingEntries returns the number of entries that send requests, at least one.
func (s *state) sendingEntries() int {
	if s.activeEntries > 0 {
		return s.activeEntries
	}
	return max(s.entries, 1)
}

// mayUse reports whether an upstream has capacity for a request and this entry may use it.
func (s *state) mayUse(u *upstreamState, n need, now time.Time) bool {
	if !u.mayConnect(n.connections) || !u.hasCapacity(n) {
		return false
	}
	if s.brittleness(u.record.Service, now) == 0 || u.record.Slots <= 0 {
		return true
	}
	if u.queued > 0 && now.Sub(u.queuedAt) < queuedMemory {
		return false
	}
	entries := float64(s.sendingEntries())
	chance := 1.0
	slots := float64(u.record.Slots)
	share := math.Floor(slots / entries)
	if float64(u.own.Requests) >= share {
		left := slots - max(float64(u.own.Requests+u.others.Requests), share*entries)
		chance = winShare * left / entries
	}
	if n.memory > 0 && !n.small {
		left := maxMemoryShare*float64(n.memory) - float64(u.own.Tokens+u.others.Tokens)
		chance = min(chance, winShare*left/float64(max(n.tokens, 1))/entries)
	}
	if chance >= 1 {
		return true
	}
	// A win is for one request at a time beyond the share.
	return float64(u.own.Requests) <= share && u.draw.wins(chance, now)
}

// draw is an entry's draw for the free capacity of a brittle upstream. It counts for drawInterval.
type draw struct {
	at    time.Time
	value float64
}

// wins reports whether the draw is won with a probability.
func (d *draw) wins(chance float64, now time.Time) bool {
	if now.Sub(d.at) >= drawInterval {
		*d = draw{at: now, value: rand.Float64()}
	}
	return d.value < chance
}
