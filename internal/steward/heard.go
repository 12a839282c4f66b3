package steward

import (
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/relay"
	"github.com/lovagereach/lovagereach/roster"
)

// LastContact is an upstream that announced itself to a control host that does not lead,
// and how long ago.
type LastContact struct {
	Upstream string        `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
}

// hearing collects the upstreams that announced themselves to this host until the
// leader has been told of them. Announcements that change nothing end here: passed
// on one by one they take a leader of three thousand upstreams all of its time.
type hearing struct {
	announcing announcing

	mu sync.Mutex
	at map[string]time.Time
}

// note takes in an announcement.
func (h *hearing) note(id string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = make(map[string]time.Time)
	}
	h.at[id] = now
}

// list is what the leader may not have been told.
func (h *hearing) list(now time.Time) []LastContact {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]LastContact, 0, len(h.at))
	for id, at := range h.at {
		list = append(list, LastContact{Upstream: id, Age: now.Sub(at)})
	}
	return list
}

// toldMargin is for how long before a question something is listed again by the next
// one: it may have come when the question was written already.
const toldMargin = 100 * time.Millisecond

// told forgets what was noted before a question that the leader answered. What is
// older than an upstream may be silent for says nothing any more.
func (h *hearing) told(asked, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, at := range h.at {
		if at.Before(asked.Add(-toldMargin)) || now.Sub(at) > h.announcing.silentAfter() {
			delete(h.at, id)
		}
	}
}

// takesBeat reports whether an announcement can end at this host, which does not
// lead: it tells nothing new, as far as a word of the leader says that is young
// enough to answer watches by.
func (s *Steward) takesBeat(u *roster.Upstream, now time.Time) bool {
	return u.State == roster.Serving && s.branch.fresh(s.branch.at(now)) && s.machine.hear(*u) == ownWord && !s.machine.wouldChange(*u)
}

// AnnounceTo is the host that an upstream should announce itself to: one that answers
// watches in its data centre, else any such host, else the leader.
func (s *Steward) AnnounceTo(id, dataCentre string) string {
	relays := s.branch.relays()
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
