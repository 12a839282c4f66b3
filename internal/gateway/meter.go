package gateway

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagereach/lovagereach/admit"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/handover"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/replicate"
)

// meter holds an entry's counters and histograms. Their number is fixed: no label takes its
// values from requests.
type meter struct {
	set *metrics.Set
	// ended counts requests by the kind of their route and their outcome; requests without a
	// route count under kind zero.
	ended [catalog.Stream + 1][outcome.KindUnknown + 1]*metrics.Counter
	// first is the time until an answer began and waited the time spent waiting for capacity,
	// by kind of route.
	first, waited [catalog.Stream + 1]*metrics.Histogram
	// oldWeights is the time since when the runner of a prompt has lacked newer weights as the prompt
	// begins, lateBegins counts the prompts that began after the bound of these.
	// overdue counts those that were ended because they had not begun by then.
	oldWeights          *metrics.Histogram
	lateBegins, overdue *metrics.Counter
	// late counts answers that began after their route's target.
	late *metrics.Counter
	// excess is the time by which first events came later than predicted, and behindPrediction counts
	// those that came later by more than the route's target. Many of them at a time show that entries
	// choose the same upstreams without knowing it of each other.
	excess           *metrics.Histogram
	behindPrediction *metrics.Counter
	// linkWait is the predicted time that fetches wait for the links between stores and runners.
	linkWait *metrics.Histogram
	// sends counts all sends, retried the sends after the first of a request, resumed the
	// streams that were resumed at another upstream.
	sends, retried, resumed *metrics.Counter
	// continued counts the streams that went on after an interruption, by who resumed them and
	// by whether the upstream's software version is the one that began them.
	continued map[continuation]*metrics.Counter
	// choices counts choices of an upstream, also those that found no capacity. Each takes some
	// 100 us of processor time.
	choices *metrics.Counter
	// certainRefusals counts requests that were refused at once because they could not be served
	// in the time that they may wait, lateGrants requests past their targets that were sent after
	// a wait.
	certainRefusals, lateGrants *metrics.Counter
	// budgetRefusals counts retries that the shared budget didn't allow.
	budgetRefusals *metrics.Counter
	// limitedSends counts sends to upstreams that name a limit.
	limitedSends *metrics.Counter
	// backOffSends counts sends to upstreams that want no requests from this entry.
	backOffSends *metrics.Counter
	// connectionsUsed counts sends that found this entry's connections to an upstream in use.
	connectionsUsed *metrics.Counter
	// outputsGrown counts the times that an answer became longer than was accounted for.
	outputsGrown *metrics.Counter
	// forwarded counts requests that were sent to another entry, received those that another
	// entry forwarded to this one.
	forwarded, received *metrics.Counter
	// snapshots counts what was received of other entries' estimates, by what became of it.
	snapshots map[handover.Result]*metrics.Counter
	// startedAt is the time at which this entry was created; firstServed is the time from then to
	// its first served request in milliseconds, 0 before it.
	startedAt   time.Time
	firstServed atomic.Int64
	// unframed counts answers that ended with their connection, without a length or chunks.
	unframed *metrics.Counter
	// invalid counts pieces of answers that were not what was due, by reason.
	invalid map[string]*metrics.Counter
	// crashes counts upstreams that were found to have crashed under requests.
	crashes *metrics.Counter
	// unprovedCrashes counts upstreams that refused connections, as all others did.
	unprovedCrashes *metrics.Counter
	// refutedCrashes counts reported crashes of upstreams that ran on.
	refutedCrashes *metrics.Counter
	// quarantined counts requests that were sent to no upstream because they crash upstreams.
	quarantined *metrics.Counter
	// trials counts requests that were sent although a part of their prompt is quarantined.
	trials *metrics.Counter
	// partsRead counts the tokens of shared parts that runners are expected to read, partsReadAgain
	// those of parts that some store or runner is known to hold or to be reading.
	partsRead, partsReadAgain *metrics.Counter
	// notRun counts requests that did not run, by reason.
	notRun map[outcome.Reason]*metrics.Counter
	other  *metrics.Counter
}

// countedReasons are the reasons with a counter of their own.
var countedReasons = []outcome.Reason{
	ReasonNoConfig, ReasonNoRoute, ReasonTooLong, outcome.ReasonUnauthorized, outcome.ReasonOverloaded, outcome.ReasonNoUpstream,
	outcome.ReasonDial, ReasonConnections, ReasonPeer, outcome.ReasonRefused, outcome.ReasonDeadline, outcome.ReasonDraining, ReasonOrigin, ReasonRestarted, outcome.ReasonQuarantinedPart,
}

func newMeter(s *state, open func() float64) *meter {
	m := &meter{set: metrics.NewSet(), notRun: make(map[outcome.Reason]*metrics.Counter), startedAt: time.Now()}
	for kind := range m.ended {
		name := "none"
		if kind > 0 {
			name = catalog.Kind(kind).String()
		}
		for result := range m.ended[kind] {
			m.ended[kind][result] = m.set.NewCounter(fmt.Sprintf(`lovagereach_gateway_requests_total{kind=%q,outcome=%q}`, name, outcome.Kind(result)))
		}
		m.first[kind] = m.set.NewHistogram(fmt.Sprintf(`lovagereach_gateway_first_seconds{kind=%q}`, name))
		m.waited[kind] = m.set.NewHistogram(fmt.Sprintf(`lovagereach_gateway_waited_seconds{kind=%q}`, name))
	}
	counter := func(part string) *metrics.Counter { return m.set.NewCounter("lovagereach_gateway_" + part + "_total") }
	m.excess = m.set.NewHistogram("lovagereach_gateway_first_excess_seconds")
	m.oldWeights = m.set.NewHistogram("lovagereach_gateway_old_weights_seconds")
	m.lateBegins, m.overdue = counter("late_begins"), counter("overdue_begins")
	m.linkWait = m.set.NewHistogram("lovagereach_gateway_link_wait_seconds")
	m.behindPrediction = counter("behind_prediction")
	m.late, m.sends, m.retried, m.choices = counter("late"), counter("sends"), counter("sent_again"), counter("choices")
	m.certainRefusals, m.lateGrants = counter("certain_refusals"), counter("late_grants")
	m.resumed, m.budgetRefusals = counter("resumed"), counter("budget_refusals")
	m.continued = make(map[continuation]*metrics.Counter)
	for _, by := range []string{byEntry, byCaller} {
		for _, version := range []string{sameVersion, otherVersion, unknownVersion} {
			m.continued[continuation{by, version}] = m.set.NewCounter(fmt.Sprintf(`lovagereach_gateway_streams_resumed_total{by=%q,version=%q}`, by, version))
		}
	}
	m.limitedSends, m.backOffSends = counter("limited_sends"), counter("back_off_sends")
	m.connectionsUsed, m.outputsGrown = counter("connections_used"), counter("outputs_grown")
	m.forwarded, m.received = counter("forwarded"), counter("forwarded_received")
	m.unframed = counter("unframed_answers")
	m.invalid = make(map[string]*metrics.Counter)
	for _, reason := range invalidReasons {
		m.invalid[reason] = m.set.NewCounter(fmt.Sprintf(`lovagereach_gateway_invalid_answers_total{reason=%q}`, reason))
	}
	m.partsRead, m.partsReadAgain = counter("shared_tokens_read"), counter("shared_tokens_read_again")
	m.crashes, m.quarantined, m.trials = counter("upstream_ends"), counter("held"), counter("trials")
	m.unprovedCrashes, m.refutedCrashes = counter("unproved_upstream_ends"), counter("refuted_upstream_ends")
	m.snapshots = make(map[handover.Result]*metrics.Counter)
	for _, result := range handover.Results {
		m.snapshots[result] = m.set.NewCounter(fmt.Sprintf(`lovagereach_gateway_learned_snapshots_total{result=%q}`, result.String()))
	}
	m.set.NewGauge("lovagereach_gateway_first_served_seconds", func() float64 { return float64(m.firstServed.Load()) / 1000 })
	for _, reason := range countedReasons {
		m.notRun[reason] = m.set.NewCounter(fmt.Sprintf(`lovagereach_gateway_not_run_total{reason=%q}`, reason))
	}
	m.other = m.set.NewCounter(`lovagereach_gateway_not_run_total{reason="other"}`)
	gauge := func(part string, read func(*state, time.Time) float64) {
		m.set.NewGauge("lovagereach_gateway_"+part, func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return read(s, time.Now())
		})
	}
	for decision, name := range map[replicate.Decision]string{replicate.Copy: "made", replicate.NoBudget: "no_budget", replicate.NoRoom: "no_room"} {
		m.set.NewGauge(fmt.Sprintf(`lovagereach_gateway_part_copies_total{result=%q}`, name), func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(s.copies.decided[decision])
		})
	}
	m.set.NewGauge("lovagereach_gateway_open_requests", open)
	gauge("waiting_requests", func(s *state, _ time.Time) float64 { return float64(s.waitingCount()) })
	waiting := func(name string, count func(admit.QueueStatus) int) {
		gauge(fmt.Sprintf(`queued_requests{state=%q}`, name), func(s *state, now time.Time) float64 {
			if s.shares == nil {
				return 0
			}
			return float64(count(s.shares.status(now)))
		})
	}
	waiting("in-time", func(n admit.QueueStatus) int { return n.InTime })
	waiting("late", func(n admit.QueueStatus) int { return n.Late })
	waiting("relaxed", func(n admit.QueueStatus) int { return n.Relaxed })
	gauge("own_minimum_versions_total", func(s *state, _ time.Time) float64 { return float64(s.ownMinimums) })
	gauge("config_version", func(s *state, _ time.Time) float64 { return float64(s.version()) })
	gauge("entries", func(s *state, _ time.Time) float64 { return float64(s.entries) })
	gauge("upstreams", func(s *state, _ time.Time) float64 { return float64(len(s.upstreams)) })
	upstreams := func(part string, match func(*upstreamState, time.Time) bool) {
		gauge(part, func(s *state, now time.Time) float64 {
			return s.countUpstreams(func(u *upstreamState) bool { return match(u, now) })
		})
	}
	upstreams("upstreams_silent", func(u *upstreamState, _ time.Time) bool { return u.silent })
	upstreams("upstreams_avoided", func(u *upstreamState, now time.Time) bool { return now.Before(u.health.ejectedUntil) })
	gauge("slowest_reading_tokens_per_ms", func(s *state, _ time.Time) float64 { return s.slowestPrefill() })
	gauge("largest_light_tokens", func(s *state, _ time.Time) float64 { return s.largestSmallSize() })
	upstreams("upstreams_slow", s.slow)
	upstreams("upstreams_cold", (*upstreamState).cold)
	gauge("upstreams_unreached_percent", func(s *state, _ time.Time) float64 { return float64(s.unreached) })
	gauge("upstreams_limited", func(s *state, _ time.Time) float64 { return float64(s.limitedCount()) })
	upstreams("upstreams_backed_off", (*upstreamState).backsOff)
	gauge("evacuated_data_centres", func(s *state, _ time.Time) float64 { return float64(len(s.evacuation.DataCentres)) })
	gauge("held_requests", func(s *state, _ time.Time) float64 { return float64(len(s.verdicts.quarantined)) })
	gauge("held_parts", func(s *state, _ time.Time) float64 { return float64(len(s.verdicts.parts.quarantined)) })
	gauge("view_age_seconds", func(s *state, now time.Time) float64 { return now.Sub(s.inventoriesAt).Seconds() })
	return m
}

// request counts the end of a request. route is nil for a request without a route.
func (m *meter) request(route *catalog.Route, cause error, first, waited time.Duration, sends int) {
	kind := catalog.Kind(0)
	if route != nil {
		kind = route.Kind
	}
	m.ended[kind][outcome.KindOf(cause)].Inc()
	if first > 0 {
		m.first[kind].Update(first.Seconds())
		if route != nil && first > route.Target {
			m.late.Inc()
		}
	}
	if waited > 0 {
		m.waited[kind].Update(waited.Seconds())
	}
	m.sends.Add(sends)
	m.retried.Add(max(sends-1, 0))
	var unknown *outcome.Unknown
	if errors.As(cause, &unknown) && unknown.Reason == outcome.ReasonCrashesUpstreams {
		m.quarantined.Inc()
	}
	var refused *outcome.NotRun
	if !errors.As(cause, &refused) {
		return
	}
	if counter := m.notRun[refused.Reason]; counter != nil {
		counter.Inc()
		return
	}
	m.other.Inc()
}

// served records that a request was served.
func (m *meter) served(now time.Time) {
	if m.firstServed.Load() == 0 {
		m.firstServed.CompareAndSwap(0, max(now.Sub(m.startedAt).Milliseconds(), 1))
	}
}

// Metrics returns the entry's counters and histograms.
func (g *Gateway) Metrics() *metrics.Set { return g.meter.set }

// version is the version of the configuration in force, 0 without one. The caller holds the
// lock, as for the functions below.
func (s *state) version() catalog.Version {
	if s.index == nil {
		return 0
	}
	return s.index.Version()
}

// countUpstreams returns the number of upstreams that match.
func (s *state) countUpstreams(match func(*upstreamState) bool) float64 {
	n := 0
	for _, u := range s.upstreams {
		if match(u) {
			n++
		}
	}
	return float64(n)
}

func (s *state) limitedCount() int {
	n := 0
	for _, u := range s.upstreams {
		if s.limits.Limit(u.record.ID).Limited {
			n++
		}
	}
	return n
}
