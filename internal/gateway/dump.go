package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/steward"
)

// Dump is the state of an entry for operators.
type Dump struct {
	Config    catalog.Version   `json:"config"`
	Term      uint64            `json:"term"`
	ViewAge   time.Duration     `json:"view_age_ns"`
	Complete  bool              `json:"shelves_complete"`
	Entries   int               `json:"entries"`
	Waiting   int               `json:"waiting"`
	Open      int64             `json:"open"`
	Leaving   bool              `json:"leaving"`
	Weights   map[string]uint64 `json:"weights"`
	Upstreams []DumpedUpstream  `json:"upstreams"`
	Stores    []DumpedStore     `json:"stores"`
	Estimates []DumpedEstimate  `json:"estimates"`
	// Evacuated are the data centres whose upstreams get no new work.
	Evacuated []string `json:"evacuated_data_centres"`
	// Quarantined are the prints of requests that are sent to no upstream.
	Quarantined []string `json:"held_requests"`
}

// DumpedEstimate is what an entry has learnt of one service's engines and prompts.
type DumpedEstimate struct {
	Service string `json:"service"`
	// PrefillPerMs are the tokens that a runner reads in a millisecond, BaseMs what a
	// prompt takes besides.
	PrefillPerMs float64 `json:"read_tokens_per_ms"`
	BaseMs       float64 `json:"base_ms"`
	// SmallTokens is the largest size of a prompt that counts as light.
	SmallTokens int `json:"light_tokens"`
}

// DumpedUpstream is an upstream as an entry sees it.
type DumpedUpstream struct {
	ID      string       `json:"id"`
	Service string       `json:"service"`
	Address string       `json:"address"`
	State   string       `json:"state"`
	Silent  bool         `json:"silent"`
	Loading bool         `json:"loading"`
	Cold    bool         `json:"cold"`
	Own     steward.Load `json:"own"`
	Others  steward.Load `json:"others"`
	// Failures is the smoothed share of failed requests and InRow the failures
	// without an answer between; AvoidedFor is zero while it is trusted.
	Failures   float64       `json:"failures"`
	InRow      int           `json:"in_row"`
	EjectedFor time.Duration `json:"avoided_for_ns"`
}

// DumpedStore is a store or a runner's cache as an entry sees it.
type DumpedStore struct {
	Address     string  `json:"address"`
	Open        bool    `json:"open"`
	Incarnation uint64  `json:"life"`
	Parts       int     `json:"parts"`
	Tokens      int     `json:"tokens"`
	Queued      int     `json:"queued_tokens"`
	Slowness    float64 `json:"slowness"`
}

// Dump returns the state for operators. It takes the lock for as long as a copy
// of the lists needs, which is below a millisecond for hundreds of upstreams.
func (g *Gateway) Dump() Dump {
	s, now := g.state, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{
		Config: s.version(), Term: s.term, ViewAge: now.Sub(s.shelvesAt), Complete: s.book.Complete(),
		Entries: s.entries, Waiting: len(s.waiting), Open: g.open.Load(), Leaving: g.leaving.Load(), Weights: maps.Clone(s.weights),
	}
	for p := range s.verdicts.held {
		d.Quarantined = append(d.Quarantined, p.String())
	}
	d.Evacuated = slices.Clone(g.state.evacuation.DataCentres)
	slices.Sort(d.Quarantined)
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		u := s.members[id]
		d.Upstreams = append(d.Upstreams, DumpedUpstream{
			ID: id, Service: u.record.Service, Address: u.record.Address, State: u.record.State.String(),
			Silent: u.silent, Loading: u.loading, Cold: u.cold(now), Own: u.own, Others: u.others,
			Failures: u.trust.share(now), InRow: u.trust.inRow, EjectedFor: max(u.trust.avoided.Sub(now), 0),
		})
	}
	for _, address := range slices.Sorted(maps.Keys(s.stores)) {
		store, shelf := s.stores[address], s.book.Inventory(address)
		d.Stores = append(d.Stores, DumpedStore{
			Address: address, Open: store.open, Incarnation: shelf.Incarnation(), Parts: shelf.Len(), Tokens: shelf.Tokens(),
			Queued: store.own + store.others, Slowness: store.pace.slowness(now),
		})
	}
	for _, service := range slices.Sorted(maps.Keys(s.learned)) {
		l := s.learned[service]
		d.Estimates = append(d.Estimates, DumpedEstimate{
			Service: service, PrefillPerMs: l.reading.PerMs(), BaseMs: l.reading.BaseMs(), SmallTokens: l.size.Small(),
		})
	}
	return d
}
