package gateway

import (
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/replicate"
)

// countsLinks reports whether the links of a service's runners count: if some store sends faster. If
// none does, the stores' own links determine the time of nearly all transfers.
func (s *state) countsLinks(engine *catalog.Engine) bool {
	if !s.runnerLinks || engine.LinkMbps <= 0 {
		return false
	}
	return slices.ContainsFunc(s.index.Stores(), func(service *catalog.Service) bool { return service.Store.LinkMbps > engine.LinkMbps })
}

// linkQueued returns the tokens whose transfers occupy a runner's link: fetches to it, saves from it
// and fetches of others from its cache. Entries report them under the runner's address, as those of
// stores. The caller holds the lock, as for the functions below.
func (s *state) linkQueued(u *upstreamState, engine *catalog.Engine, now time.Time) int {
	if link := s.stores[u.record.Address]; link != nil {
		return link.queued(s, engine.LinkMbps, engine.TokenBytes, now)
	}
	return 0
}

// addReportedLinks adds the runners' links that other entries report, so that their transfers count
// at an entry that has used none of them yet.
func (s *state) addReportedLinks(loads []steward.Load) {
	if !s.runnerLinks {
		return
	}
	unknown := make(map[string]bool)
	for i := range loads {
		name := loads[i].Upstream
		if _, isRead := replicate.ParseName(name); !isRead && s.upstreams[name] == nil && s.stores[name] == nil {
			unknown[name] = true
		}
	}
	if len(unknown) == 0 {
		return
	}
	for _, u := range s.upstreams {
		if unknown[u.record.Address] {
			s.store(u.record.Address)
		}
	}
}

// planLinks predicts the fetches of a choice, one after the other on the runner's link.
func (s *state) planLinks(p *plan, rates *placement.Rates, prompt *placement.Prompt, runner *placement.Runner, stores []placement.Store) {
	p.planned = make([]plannedTransfer, len(p.choice.Fetch))
	end := 0.0
	for part, at := range p.choice.Fetch {
		if at < 0 {
			continue
		}
		t := placement.PlanTransfer(rates, prompt, part, &stores[at], runner)
		if end == 0 {
			p.linkWait = inMilliseconds(t.WaitMs)
		}
		begin := max(end, t.WaitMs)
		end = begin + t.Ms
		p.planned[part] = plannedTransfer{tokens: t.SourceTokens, linkTokens: t.LinkTokens, wait: inMilliseconds(begin), time: inMilliseconds(end)}
	}
	p.fetchMs = end
}

func inMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// occupyLink accounts for the fetches of a plan at its runner's link, until they end as predicted
// or the answer begins.
func (s *state) occupyLink(p *plan, now time.Time) {
	for _, planned := range p.planned {
		if planned.linkTokens > 0 {
			link := s.store(p.upstream.record.Address)
			p.transfers = append(p.transfers, sourceTransfer{link, link.queue.AddFrom(planned.linkTokens, now, now.Add(planned.wait), now.Add(planned.time))})
		}
	}
}

// occupyLinksWithSaves accounts for the saves of a plan at the links of both ends: they begin when
// the prompt has been read, and end as predicted.
func (s *state) occupyLinksWithSaves(p *plan, rates *placement.Rates, now time.Time) {
	if p.send.Prompt == nil || s.index == nil || s.upstreams[p.upstream.record.ID] != p.upstream {
		return
	}
	service := s.index.Service(p.upstream.record.Service)
	if service == nil || service.Engine == nil || !s.countsLinks(service.Engine) {
		return
	}
	engine := service.Engine
	prompt := placement.Prompt{Parts: p.send.Request.Prompt.Parts, TokenBytes: engine.TokenBytes, RunnerLinkMbps: engine.LinkMbps}
	for part, address := range p.send.Prompt.Save {
		kept := s.keeper(address)
		if kept == nil {
			continue
		}
		store, link := s.store(address), s.store(p.upstream.record.Address)
		runner := placement.Runner{DataCentre: p.upstream.record.DataCentre, LinkQueued: link.queued(s, engine.LinkMbps, engine.TokenBytes, now)}
		t := placement.PlanTransfer(rates, &prompt, part, &placement.Store{
			DataCentre: kept.DataCentre, LinkMbps: kept.LinkMbps, FirstByte: kept.FirstByte,
			Queued: store.queued(s, kept.LinkMbps, engine.TokenBytes, now),
		}, &runner)
		begin, end := now.Add(inMilliseconds(t.WaitMs)), now.Add(inMilliseconds(t.WaitMs+t.Ms))
		link.queue.AddFrom(t.LinkTokens, now, begin, end)
		store.queue.AddFrom(t.SourceTokens, now, begin, end)
	}
}

// keeper returns the store at an address, nil if there is none.
func (s *state) keeper(address string) *catalog.Store {
	if address == "" {
		return nil
	}
	for _, service := range s.index.Stores() {
		if service.Store.Address == address {
			return service.Store
		}
	}
	return nil
}

// homeDataCentre returns the data centre of the store that holds the last shared part of a prompt,
// or that it will be saved to, if the runners' links are slower than the store's: a home runner there
// saves and fetches the part without leaving the data centre, in half of the time. It is empty if
// any will do.
func (s *state) homeDataCentre(rates *placement.Rates, view *promptView, stores []placement.Store, now time.Time) string {
	last := len(view.prompt.Parts) - 2
	if view.prompt.RunnerLinkMbps <= 0 || last < 0 {
		return ""
	}
	keeper := -1
	for _, at := range view.prompt.Complete[last] {
		if stores[at].Open && stores[at].Capacity > 0 {
			keeper = at
			break
		}
	}
	if keeper < 0 {
		keeper = placement.KeepAt(rates, s.keepSalt(view.salt, now), view.prompt.Parts[last], view.prompt.TokenBytes, stores)
	}
	if keeper < 0 || stores[keeper].LinkMbps <= view.prompt.RunnerLinkMbps {
		return ""
	}
	return stores[keeper].DataCentre
}
