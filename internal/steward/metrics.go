package steward

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/handover"
)

// controlMetrics holds a control host's counters.
type controlMetrics struct {
	set *metrics.Set
	// asLeader and asRelay count the watches answered here as the leader or as a relay, and
	// redirects those that were redirected.
	asLeader, asRelay, redirects *metrics.Counter
	// partsSent counts the parts of inventories that were sent.
	partsSent *metrics.Counter
	// termsLed counts the terms in which this host led.
	termsLed *metrics.Counter
	// storesLost counts the times that a store was lost, and listings the store listings that
	// were received.
	storesLost, listings *metrics.Counter
	// commits is the time from proposing a command until it is in the log of a quorum, and
	// failed counts the commands that were not committed.
	commits *metrics.Histogram
	failed  *metrics.Counter
	orders  *metrics.Counter
	// minimumsRaised counts the minimum versions that this host raised as the leader.
	minimumsRaised *metrics.Counter
	// announced is the time until announcements were answered, and unannounced counts those
	// that were not acknowledged. shed counts the watches that a leader turned away because it
	// had no time.
	announced         *metrics.Histogram
	unannounced, shed *metrics.Counter
}

func newControlMetrics(s *Steward) *controlMetrics {
	m := &controlMetrics{set: metrics.NewSet()}
	counter := func(part string) *metrics.Counter { return m.set.NewCounter("lovagereach_steward_" + part) }
	m.asLeader, m.asRelay = counter(`watches_total{as="leader"}`), counter(`watches_total{as="relay"}`)
	m.redirects, m.partsSent, m.termsLed = counter("redirects_total"), counter("parts_told_total"), counter("terms_led_total")
	m.storesLost, m.listings = counter("stores_lost_total"), counter("store_listings_total")
	m.commits, m.failed = m.set.NewHistogram("lovagereach_steward_commit_seconds"), counter("commit_failures_total")
	m.orders, m.shed = counter("orders_total"), counter("watches_shed_total")
	m.minimumsRaised = counter("minimum_versions_raised_total")
	m.announced, m.unannounced = m.set.NewHistogram("lovagereach_steward_announcement_seconds"), counter("announcement_failures_total")
	s.learned.results = make(map[handover.Result]*metrics.Counter)
	for _, result := range handover.Results {
		s.learned.results[result] = counter(fmt.Sprintf("learned_reports_total{result=%q}", result.String()))
	}
	gauge := func(part string, read func(now time.Time) float64) {
		m.set.NewGauge("lovagereach_steward_"+part, func() float64 { return read(time.Now()) })
	}
	gauge("leading", func(time.Time) float64 {
		if s.leading.Load() != nil {
			return 1
		}
		return 0
	})
	gauge("led_seconds", func(now time.Time) float64 {
		if l := s.leading.Load(); l != nil {
			return now.Sub(l.since).Seconds()
		}
		return 0
	})
	gauge("behind_entries", func(now time.Time) float64 { return float64(len(s.behind(now))) })
	gauge("config_version", func(time.Time) float64 {
		if d := s.machine.Document(); d != nil {
			return float64(d.Version)
		}
		return 0
	})
	gauge("entries", func(time.Time) float64 { return float64(len(s.entryList())) })
	gauge("upstreams", func(time.Time) float64 { return float64(len(s.machine.live())) })
	gauge("lacking_weights_upstreams", func(time.Time) float64 {
		if l := s.leading.Load(); l != nil {
			return float64(l.loader.account().Lacking)
		}
		return 0
	})
	gauge("lacking_weights_seconds", func(now time.Time) float64 {
		if l := s.leading.Load(); l != nil {
			behind := l.loader.account()
			return behind.Age(now).Seconds()
		}
		return 0
	})
	gauge("requests_held", func(time.Time) float64 {
		held, _ := s.machine.quarantined()
		return float64(len(held))
	})
	gauge("parts_held", func(time.Time) float64 {
		held, _ := s.machine.quarantinedParts()
		return float64(len(held))
	})
	gauge("parts_suspected", func(time.Time) float64 {
		_, suspects := s.machine.quarantinedParts()
		return float64(suspects)
	})
	gauge("requests_suspected", func(time.Time) float64 {
		_, suspects := s.machine.quarantined()
		return float64(suspects)
	})
	gauge("evacuated_data_centres", func(time.Time) float64 { return float64(len(s.machine.evacuated().DataCentres)) })
	gauge("unreached_voters", func(now time.Time) float64 { return float64(unreachedVoters(s.voterViews(now))) })
	gauge("leader_heard_seconds", func(now time.Time) float64 {
		if s.leading.Load() != nil {
			return 0
		}
		return s.relay.leaderContactAge(s.relay.now()).Seconds()
	})
	return m
}

// countAnswer counts an answer to a watch.
func (m *controlMetrics) countAnswer(b watchSource, answer *WatchAnswer) {
	if _, leads := b.(*leadership); leads {
		m.asLeader.Inc()
	} else {
		m.asRelay.Inc()
	}
	if answer.Inventories == nil {
		return
	}
	for i := range answer.Inventories.Batches {
		m.partsSent.Add(len(answer.Inventories.Batches[i].Parts))
	}
}

// Metrics returns the metrics of the control host, its connections and its replica.
func (s *Steward) Metrics() []*metrics.Set {
	return []*metrics.Set{s.counters.set, s.transport.Metrics(), s.manager.Metrics()}
}

// Dump is the state of a control host for operators.
type Dump struct {
	Leader   string           `json:"leader"`
	Members  []string         `json:"members"`
	Voters   []VoterView      `json:"other_voters"`
	Leading  bool             `json:"leading"`
	Document catalog.Version  `json:"config"`
	Weights  []WeightsOf      `json:"weights"`
	Entries  []EntryView      `json:"entries"`
	Relays   []RelayView      `json:"relays"`
	Silent   []string         `json:"silent_upstreams"`
	Loading  []string         `json:"loading_upstreams"`
	Roster   []DumpedUpstream `json:"upstreams"`
	// Quarantined are the fingerprints of requests that are sent to no upstream.
	Quarantined []string `json:"held_requests"`
	// QuarantinedParts are the fingerprints of parts of prompts whose requests are sent to no
	// upstream, except for trials.
	QuarantinedParts []string `json:"held_parts"`
	// Evacuated are the data centres whose upstreams get no new work.
	Evacuated []string `json:"evacuated_data_centres"`
	// Behind are entries with an older configuration, at most maxBehind of them.
	Behind []string `json:"behind_entries"`
	// LeadingFor is the time for which this host has led, and LeaderContactAge the time
	// since the latest successful request to the leader.
	LeadingFor       time.Duration `json:"led_ns"`
	LeaderContactAge time.Duration `json:"leader_heard_ns"`
}

// WeightsOf is the newest target version of a model.
type WeightsOf struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// DumpedUpstream is an upstream's record in the log.
type DumpedUpstream struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	State    string `json:"state"`
	Sequence uint64 `json:"sequence"`
}

// maxBehind bounds the entries that a dump lists as behind.
const maxBehind = 50

// behind lists the entries with an older configuration than the newest, on the leader.
func (s *Steward) behind(now time.Time) []string {
	l := s.leading.Load()
	if l == nil {
		return nil
	}
	newest := s.machine.currentRevisions().document
	var hosts []string
	for _, view := range l.watchers.recentEntries(now) {
		if view.Document < newest {
			hosts = append(hosts, view.Host)
		}
	}
	return hosts
}

// Dump returns the state for operators.
func (s *Steward) Dump() Dump {
	now := time.Now()
	d := Dump{Leader: s.Leader(), Members: s.memberNames(), Entries: s.entryList(), Document: s.machine.currentRevisions().document, Voters: s.voterViews(now)}
	for _, w := range s.machine.newestWeights() {
		d.Weights = append(d.Weights, WeightsOf(w))
	}
	live := s.machine.live()
	for i := range live {
		u := &live[i]
		d.Roster = append(d.Roster, DumpedUpstream{ID: u.ID, Service: u.Service, Address: u.Address, State: u.State.String(), Sequence: u.Sequence})
	}
	d.Evacuated = s.machine.evacuated().DataCentres
	parts, _ := s.machine.quarantinedParts()
	for _, p := range parts {
		d.QuarantinedParts = append(d.QuarantinedParts, p.String())
	}
	held, _ := s.machine.quarantined()
	for _, p := range held {
		d.Quarantined = append(d.Quarantined, p.String())
	}
	if l := s.leading.Load(); l != nil {
		d.Leading, d.LeadingFor = true, now.Sub(l.since)
		d.Behind = s.behind(now)
		d.Behind = d.Behind[:min(len(d.Behind), maxBehind)]
		d.Relays, d.Silent, d.Loading = l.relays(now), l.silent(live, now), l.loader.loading()
	} else {
		d.LeaderContactAge = s.relay.leaderContactAge(s.relay.now())
	}
	return d
}
