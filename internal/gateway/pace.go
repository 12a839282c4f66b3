package gateway

import (
	"math"
	"time"

	"github.com/lovagereach/lovagereach/internal/decision"
)

const (
	// paceWeight is the weight of the newest transfer in a store's pace.
	paceWeight = 0.3
	// paceFor is how long a pace counts without a new transfer; a store that
	// was slow is then tried again.
	paceFor = 3 * time.Second
	// paceLeast is the shortest predicted transfer that tells anything: the
	// rest of the time to the first event varies by some 20 ms.
	paceLeast = 8.0
	// paceMost bounds one observation.
	paceMost = 40.0
	// firstEvent is what a runner takes to a first event besides fetching and
	// reading, until an entry has observed it.
	firstEvent = 50 * time.Millisecond
	// paceNormal is the slowness up to which a store counts as sound.
	paceNormal = 2.0
)

// pace is how much longer a store's transfers take than its link says. It is for the
// log and the state dump alone. From one answer an entry can't tell a slow store from
// a runner that is busier than it knows: taken into the choice, sound stores would count
// as slow, and parts be read again that stand in them.
type pace struct {
	factor float64
	at     time.Time
}

func (p *pace) note(factor float64, now time.Time) {
	factor = min(max(factor, 0), paceMost)
	if now.Sub(p.at) > paceFor {
		p.factor = 1
	}
	p.factor += paceWeight * (factor - p.factor)
	p.at = now
}

func (p *pace) slowness(now time.Time) float64 {
	if now.Sub(p.at) > paceFor || p.factor < paceNormal {
		return 1
	}
	return p.factor
}

// notePace learns from a prompt whose answer has begun how fast its fetches
// were. The caller holds the lock.
func (g *Gateway) notePace(p *plan, now time.Time) {
	s := g.state
	if p.send.Prompt == nil || p.fetchMs < paceLeast {
		return
	}
	reading := s.readingOf(p.upstream.record.Service)
	rest := reading.BaseMs() + float64(p.reads+p.logged.PendingPrefill)/reading.PerMs()
	took := milliseconds(now.Sub(p.sent)) - rest
	for i, store := range p.sources {
		if store == nil {
			continue
		}
		before := store.pace.slowness(now) > 1
		store.pace.note(took/p.fetchMs, now)
		if slow := store.pace.slowness(now) > 1; slow != before {
			g.options.Decisions.Emit(&decision.StoreSlowdown{
				Store: p.send.Prompt.Fetch[i].Address, Slow: slow, Slowdown: math.Round(store.pace.factor*10) / 10,
				Took: time.Duration(took) * time.Millisecond, Predicted: time.Duration(p.fetchMs) * time.Millisecond,
			})
		}
	}
}
