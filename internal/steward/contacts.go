package steward

import (
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/relay"
	"github.com/lovagereach/lovagereach/roster"
)

// LastContact is an upstream that announced itself to a control host that doesn't lead, with
// the time since then.
type LastContact struct {
	Upstream string        `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
}

// contactTracker collects the upstreams that announced themselves to this host until the leader
// has been notified. Announcements that change nothing are absorbed here: forwarded one by one,
// those of three thousand upstreams take all of the leader's time.
type contactTracker struct {
	announceEvery announceInterval

	mu     sync.Mutex
	lastAt map[string]time.Time
}

// record records an announcement.
func (h *contactTracker) record(id string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastAt == nil {
		h.lastAt = make(map[string]time.Time)
	}
	h.lastAt[id] = now
}

// list returns the contacts that the leader may not have received.
func (h *contactTracker) list(now time.Time) []LastContact {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]LastContact, 0, len(h.lastAt))
	for id, at := range h.lastAt {
		list = append(list, LastContact{Upstream: id, Age: now.Sub(at)})
	}
	return list
}

// ackMargin is the period before a request within which a contact is listed again in the next
// request: it may have been recorded after the request was encoded.
const ackMargin = 100 * time.Millisecond

// acknowledge drops the contacts recorded before a request that the leader answered, and those
// that are older than the silence limit of an upstream and so carry no information.
func (h *contactTracker) acknowledge(requestedAt, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, at := range h.lastAt {
		if at.Before(requestedAt.Add(-ackMargin)) || now.Sub(at) > h.announceEvery.silentAfter() {
			delete(h.lastAt, id)
		}
	}
}

// absorbsAnnouncement reports whether an announcement needs no forwarding from this host, which
// doesn't lead: it changes nothing, according to state of the leader that is fresh enough to
// answer watches.
func (s *Steward) absorbsAnnouncement(u *roster.Upstream, now time.Time) bool {
	return u.State == roster.Serving && s.relay.fresh(s.relay.clockAt(now)) && s.machine.classify(*u) == currentAnnouncement && !s.machine.changesRoster(*u)
}

// AnnounceTo returns the host that an upstream should announce itself to: a relay in its data
// centre, otherwise any relay, otherwise the leader.
func (s *Steward) AnnounceTo(id, dataCentre string) string {
	relays := s.relay.relays()
	if l := s.leading.Load(); l != nil {
		relays = l.relays(time.Now())
	}
	var near, far []string
	for _, view := range relays {
		far = append(far, view.Host)
		if view.DataCentre == dataCentre {
			near = append(near, view.Host)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return s.Leader()
	}
	return relay.Order(ident.Host(id), near)[0]
}
