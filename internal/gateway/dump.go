package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/roster"
)

// Dump is the state of an entry for operators.
type Dump struct {
	Config   catalog.Version `json:"config"`
	Term     uint64          `json:"term"`
	ViewAge  time.Duration   `json:"view_age_ns"`
	Complete bool            `json:"shelves_complete"`
	Entries  int             `json:"entries"`
	Waiting  int             `json:"waiting"`
	Open     int64           `json:"open"`
	Leaving  bool            `json:"leaving"`
	// Unreached is the share of the upstreams that this entry doesn't reach, in percent.
	Unreached int               `json:"upstreams_unreached_percent"`
	Weights   map[string]uint64 `json:"weights"`
	Upstreams []DumpedUpstream  `json:"upstreams"`
	Stores    []DumpedStore     `json:"stores"`
	Estimates []DumpedEstimate  `json:"estimates"`
	// Evacuated lists the data centres whose upstreams get no new work.
	Evacuated []string `json:"evacuated_data_centres"`
	// Quarantined lists the fingerprints of the requests that are sent to no upstream.
	Quarantined []string `json:"held_requests"`
	// QuarantinedParts lists the fingerprints of the parts of prompts whose requests are sent to no
	// upstream, except for trials.
	QuarantinedParts []string `json:"held_parts"`
}

// DumpedEstimate is what an entry has learned of the engines and prompts of one service.
type DumpedEstimate struct {
	Service string `json:"service"`
	// PrefillPerMs is the prefill rate of a runner in tokens per millisecond, BaseMs the fixed
	// time of a prompt besides its prefill.
	PrefillPerMs float64 `json:"read_tokens_per_ms"`
	BaseMs       float64 `json:"base_ms"`
	// SmallTokens is the largest size in tokens of a small prompt.
	SmallTokens int `json:"light_tokens"`
}

// DumpedUpstream is an entry's view of an upstream.
type DumpedUpstream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	State   string `json:"state"`
	// Software is the version of the upstream's software, empty if unknown.
	Software string       `json:"software"`
	Silent   bool         `json:"silent"`
	Loading  bool         `json:"loading"`
	Cold     bool         `json:"cold"`
	Own      steward.Load `json:"own"`
	Others   steward.Load `json:"others"`
	// Failures is the smoothed share of failed requests and InRow the number of consecutive
	// failures. EjectedFor is the time until the upstream is reinstated, zero if it is not
	// ejected.
	Failures   float64       `json:"failures"`
	InRow      int           `json:"in_row"`
	EjectedFor time.Duration `json:"avoided_for_ns"`
	// BackOff is the time for which the upstream still wants no requests from this entry.
	BackOff time.Duration `json:"back_off_ns"`
	// Lost indicates that the latest new connection to the upstream failed.
	Lost bool `json:"lost"`
	// Limit is the number of requests a second that the upstream takes from all entries
	// together, nil if it names none. Sent is the number that this entry sent in the last 4 s.
	Limit *float64 `json:"limit_per_s,omitempty"`
	Sent  int      `json:"sent_4s"`
}

// DumpedStore is an entry's view of a store or of a runner's cache.
type DumpedStore struct {
	Address     string  `json:"address"`
	Open        bool    `json:"open"`
	Incarnation uint64  `json:"life"`
	Parts       int     `json:"parts"`
	Tokens      int     `json:"tokens"`
	Queued      int     `json:"queued_tokens"`
	Slowness    float64 `json:"slowness"`
}

// Dump returns the state for operators. It holds the lock while it copies the lists, which
// takes less than a millisecond for hundreds of upstreams.
func (g *Gateway) Dump() Dump {
	s, now := g.state, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{
		Config: s.version(), Term: s.term, ViewAge: now.Sub(s.inventoriesAt), Complete: s.caches.Complete(),
		Entries: s.entries, Waiting: s.waitingCount(), Open: g.open.Load(), Leaving: g.leaving.Load(), Unreached: s.unreached, Weights: maps.Clone(s.weights),
	}
	for p := range s.verdicts.quarantined {
		d.Quarantined = append(d.Quarantined, p.String())
	}
	d.Evacuated = slices.Clone(g.state.evacuation.DataCentres)
	for p := range s.verdicts.parts.quarantined {
		d.QuarantinedParts = append(d.QuarantinedParts, p.String())
	}
	slices.Sort(d.Quarantined)
	slices.Sort(d.QuarantinedParts)
	for _, id := range slices.Sorted(maps.Keys(s.upstreams)) {
		u := s.upstreams[id]
		d.Upstreams = append(d.Upstreams, DumpedUpstream{
			ID: id, Service: u.record.Service, Address: u.record.Address, State: stateName(u), Software: u.record.Software,
			Silent: u.silent, Loading: u.loading, Cold: u.cold(now), Own: u.own, Others: u.others,
			Failures: u.health.share(now), InRow: u.health.consecutive, EjectedFor: max(u.health.ejectedUntil.Sub(now), 0),
			BackOff: max(u.backOffUntil.Sub(now), 0), Lost: s.reach.Lost(id), Limit: namedLimit(s.limits.Limit(id)), Sent: u.sentCount.total(now),
		})
	}
	for _, address := range slices.Sorted(maps.Keys(s.stores)) {
		store, inventory := s.stores[address], s.caches.Inventory(address)
		d.Stores = append(d.Stores, DumpedStore{
			Address: address, Open: store.open, Incarnation: inventory.Incarnation(), Parts: inventory.Len(), Tokens: inventory.Tokens(),
			Queued: store.ownQueued(s, now) + store.others, Slowness: store.slowdown.current(now),
		})
	}
	for _, service := range slices.Sorted(maps.Keys(s.learned)) {
		l := s.learned[service]
		d.Estimates = append(d.Estimates, DumpedEstimate{
			Service: service, PrefillPerMs: l.prefillTime().PerMs(), BaseMs: l.prefillTime().BaseMs(), SmallTokens: l.size.Small(),
		})
	}
	return d
}

// stateName returns the name of an upstream's state, by what the control hosts and the upstream's
// own answers state.
func stateName(u *upstreamState) string {
	if u.leaving {
		return max(u.record.State, roster.Leaving).String()
	}
	return u.record.State.String()
}
