package gateway

import (
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/placement"
)

// salt names the memory that a prompt may use: of its model's weight version
// and, for an isolated team, of that team alone.
func salt(model string, version uint64, team *catalog.Team) string {
	if team != nil && team.Isolated {
		return cacheindex.Salt(model, version, team.Name)
	}
	return cacheindex.Salt(model, version, "")
}

// described is a prompt under one salt.
type described struct {
	salt   string
	prompt placement.Prompt
	keys   []cacheindex.Key
}

func (s *state) describe(prompt *Prompt, salt string, engine *catalog.Engine, candidates []*upstreamState, addresses []string, now time.Time) described {
	d := described{salt: salt, keys: make([]cacheindex.Key, len(prompt.Parts))}
	d.prompt = placement.Prompt{Parts: prompt.Parts, Output: prompt.Output, TokenBytes: engine.TokenBytes, Whole: make([][]int, len(prompt.Parts))}
	d.prompt.CachesKnown = s.cachesTold(candidates)
	for i, part := range prompt.Parts {
		d.keys[i] = cacheindex.Key{Salt: salt, Part: part.ID}
		for index, address := range addresses {
			if s.book.ReadableTokens(address, d.keys[i]) >= part.Tokens {
				d.prompt.Whole[i] = append(d.prompt.Whole[i], index)
			}
		}
	}
	d.prompt.Cached = func(runner, part int) bool {
		u := candidates[runner]
		if now.After(u.unlisted) && s.book.ReadableTokens(u.record.Address, d.keys[part]) >= prompt.Parts[part].Tokens {
			return true
		}
		return s.recent.at(d.keys[part], u.life(), now)
	}
	return d
}

// cachesTold reports whether this entry is told what most of the runners have cached.
func (s *state) cachesTold(candidates []*upstreamState) bool {
	told := 0
	for _, u := range candidates {
		if s.book.Inventory(u.record.Address).Len() > 0 {
			told++
		}
	}
	return 2*told > len(candidates)
}

// storeList describes the stores of the configuration that are followed, and
// the runners, whose caches others may fetch from.
func (s *state) storeList(runners []*upstreamState, engine *catalog.Engine, now time.Time) ([]placement.Store, []string) {
	trusted := s.shelvesTrusted(now) && s.clock > 0
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
			Used: s.book.Inventory(service.Store.Address).Tokens() + known.pendingTokens(now), Open: trusted && known.open,
			Queued: known.own + known.others,
		})
		addresses = append(addresses, service.Store.Address)
	}
	for _, u := range runners {
		known := s.stores[u.record.Address]
		if known == nil || now.Before(u.unlisted) || s.book.Inventory(u.record.Address).Len() == 0 {
			continue
		}
		stores = append(stores, placement.Store{
			Address: u.record.Address, DataCentre: u.record.DataCentre, LinkMbps: engine.LinkMbps,
			Open: trusted && !now.Before(u.trust.avoided) && !u.silent, Risk: cacheRisk,
			Queued: known.own + known.others,
		})
		addresses = append(addresses, u.record.Address)
	}
	return stores, addresses
}

// withEvacuated adds to the candidates for a prompt the runners of evacuated data
// centres: they get no work, and what they hold is fetched from them.
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

func (st *storeState) pendingTokens(now time.Time) int {
	total := 0
	for key, save := range st.pending {
		if now.After(save.until) {
			delete(st.pending, key)
			continue
		}
		total += save.tokens
	}
	return total
}

// fetchAndSave fills in where parts come from and where they are to be kept.
func (s *state) fetchAndSave(rates *placement.Rates, p *plan, asked *described, choice placement.Choice, stores []placement.Store, addresses []string, now time.Time) {
	parts := asked.prompt.Parts
	fetch, fetches := make([]FetchSource, len(parts)), false
	save, saves := make([]string, len(parts)), false
	for i := range parts[:max(len(parts)-1, 0)] {
		if at := choice.Fetch[i]; at >= 0 {
			fetch[i] = FetchSource{Address: addresses[at], Tokens: parts[i].Tokens}
			fetches = true
			continue
		}
		if len(asked.prompt.Whole[i]) > 0 || s.isPending(asked.keys[i], now) || s.isRetired(asked.keys[i], addresses) {
			continue
		}
		if at := placement.KeepAt(rates, asked.salt, parts[i], asked.prompt.TokenBytes, stores); at >= 0 {
			save[i] = addresses[at]
			saves = true
		}
	}
	if fetches {
		p.send.Prompt.Fetch = fetch
		p.send.Prompt.FetchDeadlineMs = s.upstreamsClock(now) + steward.FetchPermit.Milliseconds()
	}
	if saves {
		p.send.Prompt.Save = save
	}
	p.keys = asked.keys
}

// commit notes what a plan that goes ahead brings to its runner and stores.
func (s *state) commit(p *plan, now time.Time) {
	if p.send.Prompt == nil {
		return
	}
	parts := p.send.Request.Prompt.Parts
	for i := range max(len(parts)-1, 0) {
		s.recent.note(p.keys[i], p.upstream.life(), now)
	}
	p.sources = make([]*storeState, len(p.send.Prompt.Fetch))
	for i, from := range p.send.Prompt.Fetch {
		if from.Address != "" {
			p.sources[i] = s.stores[from.Address]
			p.sources[i].own += from.Tokens
		}
	}
	for i, address := range p.send.Prompt.Save {
		if address != "" {
			s.stores[address].pending[p.keys[i]] = pendingSave{tokens: parts[i].Tokens, until: now.Add(saveFor)}
		}
	}
}

// isRetired reports whether a part is about to be freed somewhere: kept again
// there, it would be freed while it is written.
func (s *state) isRetired(key cacheindex.Key, addresses []string) bool {
	for _, address := range addresses {
		if s.book.Retired(address, key) {
			return true
		}
	}
	return false
}

func (s *state) isPending(key cacheindex.Key, now time.Time) bool {
	for _, store := range s.stores {
		if save, known := store.pending[key]; known && now.Before(save.until) {
			return true
		}
	}
	return false
}
