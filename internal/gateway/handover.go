package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/estimate"
	"github.com/lovagereach/lovagereach/handover"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/placement"
)

// thrownAwayLogEvery is the minimum time between two log lines about snapshots that can't be used.
const thrownAwayLogEvery = 10 * time.Second

// distinctMs is the time in milliseconds by which the prefill of a prompt with all its parts must
// exceed that of its last part for the answer's time to tell which was computed. Answers come up to
// this much earlier or later for other reasons.
const distinctMs = 20.0

// exchange is what an entry passes on of what it has learned, and what it was given of others.
type exchange struct {
	enabled  bool
	reporter handover.Reporter
	// revision is that of the latest snapshot received, whether it was used or not.
	revision uint64
	// services holds the values to start from by service.
	services map[string]handover.Service
	// entries is the number of entries as others knew it, 0 if unknown.
	entries int
	// startTokens is the number of tokens of the prompts that waited for the start.
	startTokens int
	// taken is the latest snapshot until it is logged.
	taken *takenSnapshot
	// thrownAwayAt is the time of the latest log line about a snapshot that was not used.
	thrownAwayAt time.Time
}

// reportLearned returns the report that is due now, nil if there is none. The caller holds the
// lock, as for the functions below unless they state otherwise.
func (s *state) reportLearned(now time.Time) []byte {
	if !s.exchange.enabled {
		return nil
	}
	return s.exchange.reporter.Report(s.ownEstimates, now, now)
}

// ownEstimates returns what this entry has observed itself.
func (s *state) ownEstimates() handover.Estimates {
	e := handover.Estimates{Entries: s.entries}
	for name, l := range s.learned {
		service := handover.Service{Name: name, Prefill: l.prefillTime().Observed()}
		if l.size.Sampled() {
			service.Small = l.size.Small()
		}
		if service.Prefill.Weight > 0 || service.Small > 0 {
			e.Services = append(e.Services, service)
		}
	}
	for name, longest := range s.usualWaits {
		if wait := longest.Value().Milliseconds(); wait > 0 {
			e.Routes = append(e.Routes, handover.Route{Name: name, WaitMs: wait})
		}
	}
	return e
}

// takeLearned starts this entry's estimates from what others have learned. It is applied together
// with the configuration: requests that wait for that are placed by it.
func (s *state) takeLearned(answer *steward.WatchAnswer, now time.Time) {
	x := &s.exchange
	if !x.enabled || answer.LearnedRevision == 0 || answer.LearnedRevision == x.revision || s.index == nil {
		return
	}
	x.revision = answer.LearnedRevision
	estimates, result := handover.Decode(answer.Learned, now)
	if result == handover.Used {
		s.startFrom(&estimates)
	}
	x.taken = &takenSnapshot{estimates: estimates, result: result, bytes: len(answer.Learned)}
}

// takenSnapshot is what became of a snapshot.
type takenSnapshot struct {
	estimates handover.Estimates
	result    handover.Result
	bytes     int
}

// logLearned counts and logs what became of the latest snapshot. It takes the lock.
func (g *Gateway) logLearned(now time.Time) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &s.exchange
	taken := x.taken
	if taken == nil {
		return
	}
	x.taken = nil
	g.meter.snapshots[taken.result].Inc()
	switch {
	case taken.result == handover.Used:
		logStart(g.options.Log, s, &taken.estimates)
	case now.Sub(x.thrownAwayAt) >= thrownAwayLogEvery:
		x.thrownAwayAt = now
		g.options.Log.Warn("learned estimates thrown away", "reason", taken.result.String(), "revision", x.revision, "bytes", taken.bytes)
	}
}

func logStart(logger *log.Logger, s *state, e *handover.Estimates) {
	logger.Info("learned estimates used", "revision", s.exchange.revision, "services", len(e.Services), "routes", len(e.Routes),
		"slowest_tokens_per_ms", s.slowestPrefill(), "largest_small_tokens", s.largestSmallSize())
}

// startFrom makes the estimates start from those of others. What this entry has observed itself
// prevails, and services and routes that the configuration lacks are left out.
func (s *state) startFrom(e *handover.Estimates) {
	services := make(map[string]handover.Service, len(e.Services))
	for _, service := range e.Services {
		if s.index.Service(service.Name) != nil {
			services[service.Name] = service
		}
	}
	s.exchange.services, s.exchange.entries = services, e.Entries
	for name := range services {
		s.setStart(name, s.learnedOf(name))
	}
	routes := s.index.Document().Routes
	for _, given := range e.Routes {
		at := slices.IndexFunc(routes, func(r catalog.Route) bool { return r.Name == given.Name })
		if at < 0 || s.usualWaits[given.Name] != nil || len(s.usualWaits) >= maxLearned {
			continue
		}
		longest := &estimate.Longest{}
		longest.Observe(min(time.Duration(given.WaitMs)*time.Millisecond, routes[at].Timeout))
		s.usualWaits[given.Name] = longest
	}
}

// observeAnyPrefill learns the prefill rate from a prompt that found no pending prefill at its
// runner, although other answers were under way and it is unknown which of its shared parts were
// cached: under load, runners are never idle, and most prompts go to where their parts may be.
func (l *learned) observeAnyPrefill(p *plan, took time.Duration) {
	tookMs := float64(took)/float64(time.Millisecond) - l.prefill.BaseMs()
	if tokens, clear := likelyPrefill(p.send.Request.Prompt.Parts, p.choice.FullPrefill, l.prefill.PerMs(), tookMs); clear {
		l.prefill.ObserveBusy(tokens, took)
	}
}

// likelyPrefill returns how many tokens of a prompt were computed in tookMs, and whether that is
// clear. A runner caches the first parts or none, so few numbers are possible; the one whose time
// is nearest counts, if they are far enough apart.
func likelyPrefill(parts []placement.Part, full bool, perMs, tookMs float64) (tokens int, clear bool) {
	likely, apart, last := 0, math.Inf(1), 0
	for i, part := range slices.Backward(parts) {
		tokens += part.Tokens
		if i == len(parts)-1 {
			last = tokens
		}
		if off := math.Abs(float64(tokens)/perMs - tookMs); off < apart {
			likely, apart = tokens, off
		}
	}
	if full || len(parts) == 1 {
		return tokens, true
	}
	return likely, float64(tokens-last)/perMs >= distinctMs
}

// setStart makes the estimates of a service start from those of others, if there are any.
func (s *state) setStart(service string, l *learned) {
	given, known := s.exchange.services[service]
	if !known {
		return
	}
	perMs, baseMs := given.Prefill.Line(s.startPerMs, float64(initialBaseTime/time.Millisecond))
	for _, estimate := range []*estimate.PrefillTime{l.prefill, l.idle} {
		estimate.SetStart(perMs, time.Duration(baseMs*float64(time.Millisecond)))
	}
	if given.Small > 0 {
		l.size.SetStart(given.Small)
	}
}
