package control

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagereach/lovagereach/config"
)

// stats contains the metrics of a Server.
type stats struct {
	set       *metrics.Set
	renewals  *metrics.Counter
	refusals  *metrics.Counter
	redirects *metrics.Counter
	deltas    *metrics.Counter
	fulls     *metrics.Counter
	idle      *metrics.Counter
	epochs    *metrics.Counter
	// inForce measures the seconds from an apply until its revision is in force.
	inForce *metrics.Histogram
}

func newStats(s *Server) *stats {
	set := metrics.NewSet()
	counter := func(name string) *metrics.Counter { return set.NewCounter("lovagereach_" + name + "_total") }
	set.NewGauge("lovagereach_config_revision", func() float64 { return float64(s.opts.Machine.Current().Revision()) })
	set.NewGauge("lovagereach_config_in_force_revision", func() float64 { return float64(s.inForceRevision()) })
	set.NewGauge("lovagereach_control_leading", func() float64 { return boolGauge(s.leadership.Load() != nil) })
	set.NewGauge("lovagereach_lease_holders", func() float64 { return float64(s.holderCount()) })
	return &stats{
		set:       set,
		renewals:  counter("lease_renewals"),
		refusals:  counter("lease_refusals"),
		redirects: counter("control_redirects"),
		deltas:    counter("config_delta_answers"),
		fulls:     counter("config_full_answers"),
		idle:      counter("config_idle_answers"),
		epochs:    counter("control_epochs"),
		inForce:   set.NewHistogram("lovagereach_config_in_force_seconds"),
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Metrics returns the set of the server's metrics.
func (s *Server) Metrics() *metrics.Set { return s.stats.set }

// countVerdict counts the answer to an apply. There is a small fixed set of
// verdicts, so the metric's cardinality is bounded.
func (s *stats) countVerdict(verdict config.Verdict) {
	s.set.GetOrCreateCounter(fmt.Sprintf("lovagereach_config_applies_total{verdict=%q}", verdict)).Inc()
}

// inForceRevision returns the revision in force, zero on a host that does not
// lead.
func (s *Server) inForceRevision() config.Revision {
	var revision config.Revision
	_ = s.withLeadership(func(l *leadership, now time.Time) { revision = l.parent.InForce(now) })
	return revision
}

// holderCount returns the number of lease holders, zero on a host that does not
// lead.
func (s *Server) holderCount() int {
	holders := 0
	_ = s.withLeadership(func(l *leadership, now time.Time) { holders = len(l.parent.Holders(now)) })
	return holders
}
