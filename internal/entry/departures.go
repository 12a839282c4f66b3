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
	// departureEvery is how often a departure is told again, since a message
	// to another entry may be lost.
	departureEvery = time.Second
	// departureRepeat is how long it is told again after the upstream's own
	// last word. It is shorter than upstream.DefaultDepartureLife: entries that
	// told each other of departures which they had already forgotten would
	// bring them back for ever.
	departureRepeat = 30 * time.Second
	// maxDepartureWords bounds the departures in one message.
	maxDepartureWords = 256
)

// departureWord names one incarnation of an upstream that is leaving. It may
// be taken any number of times, in any order.
type departureWord struct {
	Upstream    ident.Upstream    `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
}

type departureMessage struct {
	Words []departureWord `cbor:"1,keyasint"`
}

// departureNews are the departures that upstreams announced to this entry
// itself and that it tells the other entries.
type departureNews struct {
	words    map[ident.Upstream]toldDeparture
	lastTold time.Time
}

type toldDeparture struct {
	incarnation ident.Incarnation
	until       time.Time
}

func newDepartureNews() departureNews {
	return departureNews{words: make(map[ident.Upstream]toldDeparture)}
}

// add begins or prolongs the telling of a departure. Beyond the bound it is
// told only once, by the caller.
func (n *departureNews) add(now time.Time, word departureWord) {
	if _, known := n.words[word.Upstream]; !known && len(n.words) >= upstream.MaxDepartures {
		return
	}
	n.words[word.Upstream] = toldDeparture{incarnation: word.Incarnation, until: now.Add(departureRepeat)}
}

// due returns the departures that are to be told again at now.
func (n *departureNews) due(now time.Time) []departureWord {
	if now.Sub(n.lastTold) < departureEvery {
		return nil
	}
	n.lastTold = now
	var words []departureWord
	for id, told := range n.words {
		if now.After(told.until) {
			delete(n.words, id)
			continue
		}
		words = append(words, departureWord{Upstream: id, Incarnation: told.incarnation})
	}
	return words
}

// tellDepartures sends departures to the other entries. The mutex is not held.
func (e *Entry) tellDepartures(words []departureWord) {
	for part := range slices.Chunk(words, maxDepartureWords) {
		e.options.SendDepartures(wire.MustMarshal(departureMessage{Words: part}))
	}
}

// departed takes an upstream out of the entry's own sums. The caller holds the
// mutex.
func (e *Entry) departed(word departureWord) {
	f := e.followed[word.Upstream]
	if f == nil || f.incarnation > word.Incarnation {
		return
	}
	e.countSlots(f, -1)
	f.announced.Leaving, f.announced.Slots = true, 0
}

// TakeDepartures takes another entry's word that upstreams are leaving. What
// was news here is passed on once: the entry that heard it from the upstream
// may not reach all others.
func (e *Entry) TakeDepartures(body []byte) error {
	var message departureMessage
	if err := wire.UnmarshalStrict(body, &message); err != nil {
		return eris.Wrap(err, "entry: departures")
	}
	if len(message.Words) > maxDepartureWords {
		return eris.Errorf("entry: departures: %d words, more than %d", len(message.Words), maxDepartureWords)
	}
	words := make([]upstream.Departure, 0, len(message.Words))
	for _, word := range message.Words {
		if word.Upstream == "" || len(word.Upstream) > upstream.MaxNameLength {
			return eris.Errorf("entry: departures: upstream: a name of %d bytes", len(word.Upstream))
		}
		words = append(words, upstream.Departure(word))
	}
	e.tellDepartures(e.takeDepartures(words))
	return nil
}

func (e *Entry) takeDepartures(words []upstream.Departure) []departureWord {
	e.mu.Lock()
	defer e.mu.Unlock()
	var passOn []departureWord
	for _, departure := range e.registry.MergeDepartures(time.Now(), words) {
		word := departureWord(departure)
		e.departed(word)
		e.counts.departuresHeard.Inc()
		e.options.Log.Info("upstream leaves", "upstream", string(word.Upstream), "heard", "entry")
		passOn = append(passOn, word)
	}
	return passOn
}
