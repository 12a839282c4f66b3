package entry

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/upstream"
)

const (
	// departureInterval is the interval at which a departure is sent again,
	// since messages between entries may be lost.
	departureInterval = time.Second
	// departureRepeat is how long a departure is sent again after the
	// upstream's last announcement of it. It is shorter than
	// upstream.DefaultDepartureTTL: otherwise entries would resend departures
	// that the receivers have already forgotten, and the departures would
	// circulate forever.
	departureRepeat = 30 * time.Second
	// maxDeparturesPerMessage bounds the departures in one message.
	maxDeparturesPerMessage = 256
)

// departureNotice identifies the incarnation of an upstream that is leaving.
// Applying it is idempotent and independent of order.
type departureNotice struct {
	Upstream    ident.Upstream    `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
}

type departureMessage struct {
	Departures []departureNotice `cbor:"1,keyasint"`
}

// departureRepeater holds the departures that upstreams announced directly to
// this entry and that it sends repeatedly to the other entries.
type departureRepeater struct {
	repeated map[ident.Upstream]repeatedDeparture
	lastSent time.Time
}

type repeatedDeparture struct {
	incarnation ident.Incarnation
	until       time.Time
}

func newDepartureRepeater() departureRepeater {
	return departureRepeater{repeated: make(map[ident.Upstream]repeatedDeparture)}
}

// add starts or extends the repetition of a departure. When MaxDepartures are
// already repeated, a new one is not added; it is then sent only once, by the
// caller.
func (n *departureRepeater) add(now time.Time, notice departureNotice) {
	if _, known := n.repeated[notice.Upstream]; !known && len(n.repeated) >= upstream.MaxDepartures {
		return
	}
	n.repeated[notice.Upstream] = repeatedDeparture{incarnation: notice.Incarnation, until: now.Add(departureRepeat)}
}

// due returns the departures to send again at now, at most once per
// departureInterval.
func (n *departureRepeater) due(now time.Time) []departureNotice {
	if now.Sub(n.lastSent) < departureInterval {
		return nil
	}
	n.lastSent = now
	var notices []departureNotice
	for id, departure := range n.repeated {
		if now.After(departure.until) {
			delete(n.repeated, id)
			continue
		}
		notices = append(notices, departureNotice{Upstream: id, Incarnation: departure.incarnation})
	}
	return notices
}

// sendDepartures sends departures to the other entries. The mutex must not be
// held.
func (e *Entry) sendDepartures(notices []departureNotice) {
	for part := range slices.Chunk(notices, maxDeparturesPerMessage) {
		e.options.SendDepartures(wire.MustMarshal(departureMessage{Departures: part}))
	}
}

// markLeaving removes the slots of a leaving upstream from its pools. The
// caller holds the mutex.
func (e *Entry) markLeaving(notice departureNotice) {
	f := e.followed[notice.Upstream]
	if f == nil || f.incarnation > notice.Incarnation {
		return
	}
	e.countSlots(f, -1)
	f.announced.Leaving, f.announced.Slots = true, 0
}

// ApplyDepartures applies another entry's message about leaving upstreams.
// Departures that were not known here are forwarded once, since the entry that
// received them from the upstream may not reach all others.
func (e *Entry) ApplyDepartures(body []byte) error {
	var message departureMessage
	if err := wire.UnmarshalStrict(body, &message); err != nil {
		return eris.Wrap(err, "entry: departures")
	}
	if len(message.Departures) > maxDeparturesPerMessage {
		return eris.Errorf("entry: departures: %d departures, more than %d", len(message.Departures), maxDeparturesPerMessage)
	}
	departures := make([]upstream.Departure, 0, len(message.Departures))
	for _, notice := range message.Departures {
		if notice.Upstream == "" || len(notice.Upstream) > upstream.MaxNameLength {
			return eris.Errorf("entry: departures: upstream: a name of %d bytes", len(notice.Upstream))
		}
		departures = append(departures, upstream.Departure(notice))
	}
	e.sendDepartures(e.applyDepartures(departures))
	return nil
}

func (e *Entry) applyDepartures(departures []upstream.Departure) []departureNotice {
	e.mu.Lock()
	defer e.mu.Unlock()
	var forward []departureNotice
	for _, departure := range e.registry.MergeDepartures(time.Now(), departures) {
		notice := departureNotice(departure)
		e.markLeaving(notice)
		e.counts.departuresReceived.Inc()
		e.options.Log.Info("upstream is leaving", "upstream", string(notice.Upstream), "heard", "entry")
		forward = append(forward, notice)
	}
	return forward
}
