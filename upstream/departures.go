package upstream

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// MaxDepartures bounds the departures remembered.
const MaxDepartures = 4096

// departures remembers which incarnations have left.
type departures struct {
	left map[Departure]struct{}
	// latest are the highest incarnations that have left not long ago.
	latest map[ident.Upstream]departedAt
	queue  []departedAt
}

type departedAt struct {
	word Departure
	end  time.Time
}

func newDepartures() departures {
	return departures{left: make(map[Departure]struct{}), latest: make(map[ident.Upstream]departedAt)}
}

// has tells whether an incarnation has left.
func (d *departures) has(word Departure) bool {
	_, left := d.left[word]
	return left
}

// refuses tells whether an announcement comes from an incarnation that has left
// or, as long as such words may still be on their way, from an earlier one.
func (d *departures) refuses(now time.Time, word Departure) bool {
	latest, recent := d.latest[word.Upstream]
	earlier := recent && word.Incarnation < latest.word.Incarnation && now.Before(latest.end)
	return earlier || d.has(word)
}

// add remembers a word for life; for late it also tells of earlier incarnations.
func (d *departures) add(now time.Time, word Departure, life, late time.Duration) {
	if d.has(word) {
		return
	}
	if len(d.queue) >= MaxDepartures {
		d.drop()
	}
	d.left[word] = struct{}{}
	d.queue = append(d.queue, departedAt{word: word, end: now.Add(life)})
	latest, known := d.latest[word.Upstream]
	if !known || word.Incarnation > latest.word.Incarnation || !now.Before(latest.end) {
		d.latest[word.Upstream] = departedAt{word: word, end: now.Add(late)}
	}
}

func (d *departures) expire(now time.Time) {
	for len(d.queue) > 0 && !d.queue[0].end.After(now) {
		d.drop()
	}
}

func (d *departures) drop() {
	word := d.queue[0].word
	d.queue = d.queue[1:]
	delete(d.left, word)
	if d.latest[word.Upstream].word == word {
		delete(d.latest, word.Upstream)
	}
}

func (d *departures) list(out []Departure) []Departure {
	for word := range d.left {
		out = append(out, word)
	}
	return out
}
