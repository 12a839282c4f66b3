package upstream

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// MaxDepartures is the largest number of departures a registry keeps.
const MaxDepartures = 4096

// departures records which incarnations have left.
type departures struct {
	departed map[Departure]struct{}
	// latest holds the highest incarnation of each upstream that has left
	// recently.
	latest map[ident.Upstream]departureRecord
	queue  []departureRecord // by time of arrival, for expiry
}

// departureRecord is a departure and the time until which it applies.
type departureRecord struct {
	departure Departure
	expiry    time.Time
}

func newDepartures() departures {
	return departures{departed: make(map[Departure]struct{}), latest: make(map[ident.Upstream]departureRecord)}
}

// has reports whether an incarnation has left.
func (d *departures) has(departure Departure) bool {
	_, departed := d.departed[departure]
	return departed
}

// refuses reports whether an announcement comes from an incarnation that has
// left or, while stale announcements may still arrive, from an earlier one.
func (d *departures) refuses(now time.Time, departure Departure) bool {
	latest, recent := d.latest[departure.Upstream]
	earlier := recent && departure.Incarnation < latest.departure.Incarnation && now.Before(latest.expiry)
	return earlier || d.has(departure)
}

// add keeps a departure for ttl. For earlierTTL it also applies to earlier
// incarnations of the upstream.
func (d *departures) add(now time.Time, departure Departure, ttl, earlierTTL time.Duration) {
	if d.has(departure) {
		return
	}
	if len(d.queue) >= MaxDepartures {
		d.removeOldest()
	}
	d.departed[departure] = struct{}{}
	d.queue = append(d.queue, departureRecord{departure: departure, expiry: now.Add(ttl)})
	latest, known := d.latest[departure.Upstream]
	if !known || departure.Incarnation > latest.departure.Incarnation || !now.Before(latest.expiry) {
		d.latest[departure.Upstream] = departureRecord{departure: departure, expiry: now.Add(earlierTTL)}
	}
}

func (d *departures) expire(now time.Time) {
	for len(d.queue) > 0 && !d.queue[0].expiry.After(now) {
		d.removeOldest()
	}
}

func (d *departures) removeOldest() {
	departure := d.queue[0].departure
	d.queue = d.queue[1:]
	delete(d.departed, departure)
	if d.latest[departure.Upstream].departure == departure {
		delete(d.latest, departure.Upstream)
	}
}

// list appends the departures to out, in no order.
func (d *departures) list(out []Departure) []Departure {
	for departure := range d.departed {
		out = append(out, departure)
	}
	return out
}
