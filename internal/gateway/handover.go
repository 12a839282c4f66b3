package gateway

import (
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/estimate"
	"github.com/lovagereach/lovagereach/handover"
	"github.com/lovagereach/lovagereach/internal/steward"
)

// thrownAwayLogEvery is the minimum time between two log lines about snapshots that can't be used.
const thrownAwayLogEvery = 10 * time.Second

// exchange is what an entry passes on of what it has learned, and what it was given of others.
type exchange struct {
	enabled  bool
	reporter handover.Reporter
	// revision is that of the latest snapshot received, whether it was used or not.
	revision uint64
	// services holds the values to start from by service.
	services map[string]handover.Service
	// used is set once a snapshot was used, thrownAwayAt the time of the latest log line about one
	// that was not.
	used         bool
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
	var e handover.Estimates
	for name, l := range s.learned {
		service := handover.Service{Name: name, Prefill: l.prefill.Observed()}
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

// applyLearned starts this entry's estimates from what others have learned. It takes the lock.
func (g *Gateway) applyLearned(answer *steward.WatchAnswer, now time.Time) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &s.exchange
	if !x.enabled || answer.LearnedRevision == 0 || answer.LearnedRevision == x.revision || s.index == nil {
		return
	}
	x.revision = answer.LearnedRevision
	estimates, result := handover.Decode(answer.Learned, now)
	g.meter.snapshots[result].Inc()
	if result != handover.Used {
		if now.Sub(x.thrownAwayAt) >= thrownAwayLogEvery {
			x.thrownAwayAt = now
			g.options.Log.Warn("learned estimates thrown away", "reason", result.String(), "revision", x.revision, "bytes", len(answer.Learned))
		}
		return
	}
	s.startFrom(&estimates)
	if !x.used {
		x.used = true
		logStart(g.options.Log, s, &estimates)
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
	s.exchange.services = services
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

// setStart makes the estimates of a service start from those of others, if there are any.
func (s *state) setStart(service string, l *learned) {
	given, known := s.exchange.services[service]
	if !known {
		return
	}
	perMs, baseMs := given.Prefill.Line(s.startPerMs, float64(initialBaseTime/time.Millisecond))
	l.prefill.SetStart(perMs, time.Duration(baseMs*float64(time.Millisecond)))
	if given.Small > 0 {
		l.size.SetStart(given.Small)
	}
}
