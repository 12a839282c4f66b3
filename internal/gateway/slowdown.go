package gateway

import (
	"math"
	"time"

	"github.com/lovagereach/lovagereach/internal/decision"
)

const (
	// slowdownWeight is the weight of the newest transfer in a store's slowdown.
	slowdownWeight = 0.3
	// slowdownTTL is how long a slowdown counts without a new transfer; after that the store no
	// longer counts as slow.
	slowdownTTL = 3 * time.Second
	// minFetchMs is the shortest predicted transfer in milliseconds that is observed: the rest
	// of the time to the first event varies by some 20 ms.
	minFetchMs = 8.0
	// maxSlowdown bounds one observation.
	maxSlowdown = 40.0
	// initialBaseTime is the time that a runner takes until the first event besides fetches
	// and prefill, until an entry has observed it.
	initialBaseTime = 50 * time.Millisecond
	// slowThreshold is the slowdown from which on a store counts as slow.
	slowThreshold = 2.0
)

// slowdown is the ratio of actual to predicted transfer time of a store. It is only used in
// the log and the state dump. From one answer an entry can't distinguish a slow store from a
// runner that is busier than known: if the choice used it, healthy stores would count as slow,
// and parts that they hold would be recomputed.
type slowdown struct {
	factor float64
	at     time.Time
}

func (s *slowdown) observe(factor float64, now time.Time) {
	factor = min(max(factor, 0), maxSlowdown)
	if now.Sub(s.at) > slowdownTTL {
		s.factor = 1
	}
	s.factor += slowdownWeight * (factor - s.factor)
	s.at = now
}

func (s *slowdown) current(now time.Time) float64 {
	if now.Sub(s.at) > slowdownTTL || s.factor < slowThreshold {
		return 1
	}
	return s.factor
}

// observeFetches learns the speed of the fetches from a prompt whose answer has begun. The
// caller holds the lock.
func (g *Gateway) observeFetches(p *plan, now time.Time) {
	s := g.state
	if p.send.Prompt == nil || p.fetchMs < minFetchMs {
		return
	}
	prefill := s.prefillOf(p.upstream.record.Service)
	otherMs := prefill.BaseMs() + float64(p.prefillTokens+p.logged.PendingPrefill)/prefill.PerMs()
	took := milliseconds(now.Sub(p.sent)) - otherMs
	for i, store := range p.sources {
		if store == nil {
			continue
		}
		wasSlow := store.slowdown.current(now) > 1
		store.slowdown.observe(took/p.fetchMs, now)
		if slow := store.slowdown.current(now) > 1; slow != wasSlow {
			g.options.Decisions.Emit(&decision.StoreSlowdown{
				Store: p.send.Prompt.Fetch[i].Address, Slow: slow, Slowdown: math.Round(store.slowdown.factor*10) / 10,
				Took: time.Duration(took) * time.Millisecond, Predicted: time.Duration(p.fetchMs) * time.Millisecond,
			})
		}
	}
}
