package route

import (
	"cmp"
	"slices"

	"github.com/lovagereach/lovagereach/ident"
)

// LearnedUpstream describes the model of one upstream and urgency band.
type LearnedUpstream struct {
	Upstream ident.Upstream
	// Band is the urgency band, 0 for the tightest targets.
	Band int
	// PrefillTokensPerSecond is the marginal rate of prefill.
	PrefillTokensPerSecond float64
	// WaitPerToken and WaitPerRequest are the seconds of queue wait per token ahead
	// and per request beyond the free slots.
	WaitPerToken, WaitPerRequest float64
	// MeanError is the mean absolute error of the predicted time to first token, in
	// seconds.
	MeanError float64
}

// LearnedLink describes the model of reading from one tier of a store host.
type LearnedLink struct {
	Store          ident.Upstream
	Slow           bool
	BytesPerSecond float64
	// MeanError is the mean absolute error of the predicted transfer time, in seconds.
	MeanError float64
}

// Learned returns descriptions of all models for dumps, ordered by upstream and band
// and by store and tier.
func (p *Planner) Learned() ([]LearnedUpstream, []LearnedLink) {
	upstreams := make([]LearnedUpstream, 0, len(p.upstreams))
	for name, m := range p.upstreams {
		for i := range m.bands {
			band := &m.bands[i]
			upstreams = append(upstreams, LearnedUpstream{
				Upstream: name, Band: i, PrefillTokensPerSecond: 1 / band.prefill.coef[1],
				WaitPerToken: band.wait.coef[0], WaitPerRequest: band.wait.coef[1], MeanError: band.predictionError,
			})
		}
	}
	slices.SortFunc(upstreams, func(a, b LearnedUpstream) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Band, b.Band))
	})
	links := make([]LearnedLink, 0, len(p.links))
	for key, l := range p.links {
		links = append(links, LearnedLink{
			Store: key.store, Slow: key.slow, BytesPerSecond: 1 / l.coef[1], MeanError: l.meanError,
		})
	}
	slices.SortFunc(links, func(a, b LearnedLink) int {
		if order := cmp.Compare(a.Store, b.Store); order != 0 || a.Slow == b.Slow {
			return order
		}
		if a.Slow {
			return 1
		}
		return -1
	})
	return upstreams, links
}
