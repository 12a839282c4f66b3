package gateway

import (
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/placement"
)

// salt identifies the cache entries that a run's prompt may use: those of its model's weight version
// and, for an isolated team, of that team alone. It follows the configuration in force and not that of
// the admission: a request that has waited may be sent after its team, or another one, was isolated.
func (r *run) salt(s *state, version uint64) string {
	scope := cacheindex.Scope{Model: r.request.Prompt.Model, Version: version, Team: s.index.CacheTeam(r.teamName())}
	if scope.Team == "" {
		scope.Pool = uint64(s.index.Document().CachePool())
	}
	return scope.Salt()
}

// promptView is a prompt as placement gets it, under one salt.
type promptView struct {
	salt   string
	prompt placement.Prompt
	keys   []cacheindex.Key
}

func (s *state) describePrompt(prompt *Prompt, salt string, engine *catalog.Engine, candidates []*upstreamState, addresses []string, now time.Time) promptView {
	d := promptView{salt: salt, keys: make([]cacheindex.Key, len(prompt.Parts))}
	d.prompt = placement.Prompt{Parts: prompt.Parts, Output: prompt.Output, TokenBytes: engine.TokenBytes, JointFetches: s.shareParts, Complete: make([][]int, len(prompt.Parts))}
	if s.countsLinks(engine) {
		d.prompt.RunnerLinkMbps = engine.LinkMbps
	}
	d.prompt.CachesKnown = s.cachesKnown(candidates)
	for i, part := range prompt.Parts {
		d.keys[i] = cacheindex.Key{Salt: salt, Part: part.ID}
		if prompt.Merged > 0 {
			// Sources and stores are named part by part, and the last part here stands for several.
			continue
		}
		for index, address := range addresses {
			if s.caches.ReadableTokens(address, d.keys[i]) >= part.Tokens {
				d.prompt.Complete[i] = append(d.prompt.Complete[i], index)
			}
		}
	}
	readers := s.readersOf(prompt.Parts, d.keys, now)
	d.prompt.Cached = func(runner, part int) bool {
		u := candidates[runner]
		if now.After(u.cacheStaleUntil) && s.caches.ReadableTokens(u.record.Address, d.keys[part]) >= prompt.Parts[part].Tokens {
			return true
		}
		return s.recent.has(d.keys[part], u.incarnation(), now) || readers != nil && readers[part] == u.record.ID && u.soonReads(prompt.Parts[part].Tokens, prompt.size(), engine.MemoryTokens)
	}
	return d
}

// cachesKnown reports whether the cache contents of most runners are known to this entry.
func (s *state) cachesKnown(candidates []*upstreamState) bool {
	known := 0
	for _, u := range candidates {
		if s.caches.Inventory(u.record.Address).Len() > 0 {
			known++
		}
	}
	return 2*known > len(candidates)
}

// storeList describes the known stores of the configuration and the runners, whose caches
// other runners may fetch from.
func (s *state) storeList(runners []*upstreamState, engine *catalog.Engine, now time.Time) ([]placement.Store, []string) {
	valid := s.inventoriesValid(now) && s.clock > 0
	var stores []placement.Store
	var addresses []string
	for _, service := range s.index.Stores() {
		known := s.stores[service.Store.Address]
		if known == nil {
			continue
		}
		stores = append(stores, placement.Store{
			Address: service.Store.Address, DataCentre: service.Store.DataCentre, LinkMbps: service.Store.LinkMbps,
			FirstByte: service.Store.FirstByte, Capacity: service.Store.CapacityTokens,
			Used: s.caches.Inventory(service.Store.Address).Tokens() + known.pending.tokens(now), Open: valid && known.open,
			Queued: known.queued(s, service.Store.LinkMbps, engine.TokenBytes, now),
		})
		addresses = append(addresses, service.Store.Address)
	}
	for _, u := range runners {
		known := s.stores[u.record.Address]
		if known == nil || now.Before(u.cacheStaleUntil) || s.caches.Inventory(u.record.Address).Len() == 0 {
			continue
		}
		stores = append(stores, placement.Store{
			Address: u.record.Address, DataCentre: u.record.DataCentre, LinkMbps: engine.LinkMbps,
			Open: valid && !now.Before(u.health.ejectedUntil) && !u.silent, Risk: evictionRisk,
			Queued: known.queued(s, engine.LinkMbps, engine.TokenBytes, now),
		})
		addresses = append(addresses, u.record.Address)
	}
	return stores, addresses
}

// withEvacuated adds the runners of evacuated data centres to the candidates for a prompt:
// they get no work, but cached parts may be fetched from them.
func (s *state) withEvacuated(candidates []*upstreamState) []*upstreamState {
	if len(s.evacuation.DataCentres) == 0 || len(candidates) == 0 {
		return candidates
	}
	all := slices.Clone(candidates)
	for _, u := range s.serving[candidates[0].record.Service] {
		if s.evacuation.Evacuated(u.record.DataCentre) {
			all = append(all, u)
		}
	}
	return all
}

// fetchMs is the predicted time of a choice's fetches in milliseconds.
func fetchMs(p *placement.Prompt, choice placement.Choice, stores []placement.Store) float64 {
	total := 0.0
	for part, at := range choice.Fetch {
		if at >= 0 {
			total += placement.TransferMs(p, part, &stores[at])
		}
	}
	return total
}

// fetchAndSave sets the source of each part and the store that it is saved to.
func (s *state) fetchAndSave(rates *placement.Rates, p *plan, view *promptView, choice placement.Choice, stores []placement.Store, addresses []string, now time.Time) {
	parts := view.prompt.Parts
	fetch, fetches := make([]FetchSource, len(parts)), false
	save, saves := make([]string, len(parts)), false
	for i := range parts[:max(len(parts)-1, 0)] {
		if p.send.Request.Prompt.Merged > 0 {
			break
		}
		if at := choice.Fetch[i]; at >= 0 {
			fetch[i] = FetchSource{Address: addresses[at], Tokens: parts[i].Tokens}
			fetches = true
		}
		if at := s.planCopy(rates, p, view, i, stores, addresses, now); at >= 0 {
			save[i], saves = addresses[at], true
		}
		if choice.Fetch[i] >= 0 {
			continue
		}
		if len(view.prompt.Complete[i]) > 0 || s.isPending(view.keys[i], now) || s.isRetired(view.keys[i], addresses) {
			continue
		}
		if at := placement.KeepAt(rates, s.keepSalt(view.salt, now), parts[i], view.prompt.TokenBytes, stores); at >= 0 {
			save[i] = addresses[at]
			saves = true
		}
	}
	if fetches {
		p.send.Prompt.Fetch = fetch
		if view.prompt.RunnerLinkMbps <= 0 {
			p.planned = planTransfers(rates, &view.prompt, choice, p.upstream.record.DataCentre, stores)
		}
		p.send.Prompt.FetchDeadlineMs = s.upstreamsClock(now) + steward.FetchPermit.Milliseconds()
	}
	if saves {
		p.send.Prompt.Save = save
	}
	p.keys = view.keys
	s.planReads(p, view, choice, now)
}

// commit records the parts that a plan brings to its runner and stores.
func (s *state) commit(p *plan, now time.Time) {
	if p.send.Prompt == nil {
		return
	}
	parts := p.send.Request.Prompt.Parts
	for i := range max(len(parts)-1, 0) {
		s.recent.record(p.keys[i], p.upstream.incarnation(), now)
	}
	p.sources = make([]*storeState, len(p.send.Prompt.Fetch))
	for i, from := range p.send.Prompt.Fetch {
		if from.Address != "" {
			p.sources[i] = s.stores[from.Address]
			s.startTransfer(p, i, p.sources[i], from.Tokens, now)
		}
	}
	s.occupyLink(p, now)
	s.beginReads(p, now)
	s.takeCopies(p, now)
	for i, address := range p.send.Prompt.Save {
		if address != "" {
			s.stores[address].pending.add(p.keys[i], parts[i].Tokens, now)
		}
	}
}

// isRetired reports whether some store is about to free a part: if it were saved there again,
// it would be freed while it is written.
func (s *state) isRetired(key cacheindex.Key, addresses []string) bool {
	for _, address := range addresses {
		if s.caches.Retired(address, key) {
			return true
		}
	}
	return false
}

func (s *state) isPending(key cacheindex.Key, now time.Time) bool {
	for _, store := range s.stores {
		if store.pending.has(key, now) {
			return true
		}
	}
	return false
}
