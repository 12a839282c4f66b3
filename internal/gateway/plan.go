package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/placement"
)

const (
	// oldWeightsCost is added for a runner whose weights are not the newest.
	oldWeightsCost = 150 * time.Millisecond
	// loadingCost is added for a runner that is being ordered to load: it takes
	// no request until it is done.
	loadingCost = 2 * time.Second
	// doubtCost is added for a runner that refused both the version it was known for and
	// the newest, until its own word or the loader's has come.
	doubtCost = 2 * time.Second
	// noRoomCost is added for a runner without room. For light prompts one with
	// room comes first whatever it has to read; for the others a part that is
	// read again may cost more than a wait.
	noRoomCost      = 800 * time.Millisecond
	noRoomCostLight = 20 * time.Second
	// loadDoubt spreads the choice among replicas whose loads differ by less
	// requests than the entries' words are late by: all would else choose the
	// same one.
	loadDoubt = 2.0
	// fullFor is how long an upstream that said it is full is avoided.
	fullFor = 60 * time.Millisecond
	// fullCost is added meanwhile.
	fullCost = 400 * time.Millisecond
	// crossBase and crossPerKB are added for an upstream in another data
	// centre: the way there and back, and the traffic between data centres.
	crossBase  = 3 * time.Millisecond
	crossPerKB = 350 * time.Microsecond
	// saveFor is how long a save on its way counts.
	saveFor = 4 * time.Second
	// cacheRisk is the probability that a part has left a runner's cache by the
	// time that another one asks for it. What is known of caches is 100 to
	// 300 ms old, and a cache turns over in two to three seconds.
	cacheRisk = 0.1
	// maxRank is the lowest rank that upstreams know.
	maxRank = 9
	// connectionShare is how much of an upstream's connections the entries use
	// together; the rest is for those that restart before theirs are closed.
	connectionShare = 0.8
	// fewestConnections is the least that an entry may open to an upstream.
	fewestConnections = 4
)

// plan is one send and what it counts for until it ends.
type plan struct {
	send     *Send
	upstream *upstreamState
	tokens   int
	reads    int
	begun    bool
	done     bool
	choice   placement.Choice
	// candidates is the number of upstreams that the choice was made among.
	candidates int
	keys       []cacheindex.Key
	// sources are the accounts that the fetches are entered in, part by part.
	sources []*storeState
	// fetchMs is the predicted time of the fetches, at the pace that the links
	// should have; sent is when the request left.
	fetchMs float64
	sent    time.Time
	logged  decision.Choice
}

// tryPlan chooses an upstream and accounts for the send. It returns nothing
// when no upstream has room. The caller holds the lock.
func (r *run) tryPlan(now time.Time) (*plan, error) {
	s := r.gateway.state
	// The service as it was at admission: without it a prompt whose service was
	// dropped meanwhile would be sent without the salt that keeps teams apart.
	service := r.index.Service(r.service)
	candidates, heldBack := r.candidates(s, now)
	if len(candidates) == 0 && heldBack {
		return nil, nil
	}
	if len(candidates) == 0 {
		return nil, r.noCandidate(s)
	}
	p := &plan{candidates: len(candidates)}
	p.send = &Send{
		Request: r.request, Team: r.teamName(), Rank: min(max(r.rank(), 0), maxRank), ResumeAfter: r.lastEvent,
		Wait: r.deadline.Sub(now), Connections: s.connections(service),
	}
	if r.request.Prompt != nil && service != nil && service.Engine != nil {
		r.placePrompt(s, p, service, candidates, now)
	} else {
		p.upstream = r.leastLoaded(candidates, now)
	}
	p.send.Upstream, p.send.Address, p.send.StartedMs = p.upstream.record.ID, p.upstream.record.Address, p.upstream.record.StartedMs
	s.describePlan(p, now)
	r.last = p
	if !p.upstream.hasRoom(r.need(s, service, p.tokens, p.reads)) {
		return nil, nil
	}
	p.sent = now
	s.commit(p, now)
	s.noteSent(p.upstream, now)
	p.upstream.own.Requests++
	s.engaged[p.upstream.record.ID] = p.upstream
	p.upstream.own.Tokens += p.tokens
	p.upstream.own.Unread += p.reads
	s.returnsOf(r).Sent(now)
	if r.sends == 0 && r.unsent == 0 {
		s.budgets.first(r.service, now)
	}
	return p, nil
}

// connections is this entry's share of an upstream's connections.
func (s *state) connections(service *catalog.Service) int {
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	share := connectionShare * float64(service.MaxConnections) / float64(max(s.entries, 1))
	return max(int(share), fewestConnections)
}

// extra is what an upstream costs besides its load.
func (r *run) extra(u *upstreamState, now time.Time) time.Duration {
	cost := u.trust.cost(now, u.silent)
	if now.Before(u.fullUntil) {
		cost += fullCost
	}
	if now.Before(u.doubtUntil) {
		cost += doubtCost
	}
	if u.loading {
		cost += loadingCost
	}
	if u.record.DataCentre != r.gateway.options.DataCentre {
		cost += crossBase + crossPerKB*time.Duration(len(r.request.Body)/1024)
	}
	return cost
}

// leastLoaded chooses among the replicas of a plain service.
func (r *run) leastLoaded(candidates []*upstreamState, now time.Time) *upstreamState {
	var best *upstreamState
	var lowest float64
	start := rand.IntN(len(candidates))
	for i := range candidates {
		u := candidates[(start+i)%len(candidates)]
		under := float64(u.own.Requests+u.others.Requests) + loadDoubt*rand.Float64()
		cost := under*r.gateway.options.Rates.SlotMs/float64(max(u.record.Slots, 1)) + milliseconds(r.extra(u, now))
		if over := int(under) + 1 - u.record.Slots; over > 0 {
			cost += float64(over) * r.gateway.options.Rates.SlotMs
		}
		if best == nil || cost < lowest {
			best, lowest = u, cost
		}
	}
	return best
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// placePrompt chooses the runner and the stores for a prompt.
func (r *run) placePrompt(s *state, p *plan, service *catalog.Service, candidates []*upstreamState, now time.Time) {
	prompt := r.request.Prompt
	newest := s.weights[prompt.Model]
	noRoom := noRoomCost
	if r.light() {
		noRoom = noRoomCostLight
	}
	own := 0
	if len(prompt.Parts) > 0 {
		own = prompt.Parts[len(prompt.Parts)-1].Tokens
	}
	needed := r.need(s, service, prompt.size(), own)
	rates := s.ratesOf(service.Name, r.gateway.options.Rates)
	read := int(rates.PrefillPerMs * milliseconds(now.Sub(s.loadsAt)))
	runners := make([]placement.Runner, len(candidates))
	version := uint64(0)
	for i, u := range candidates {
		version = max(version, r.versionOf(u))
		extra := r.extra(u, now)
		if r.versionOf(u) < newest {
			extra += oldWeightsCost
		}
		full := !u.hasRoom(needed)
		if full {
			extra += noRoom
		}
		runners[i] = placement.Runner{
			ID: u.record.ID, DataCentre: u.record.DataCentre, Slots: u.record.Slots, Memory: service.Engine.MemoryTokens,
			Requests: u.own.Requests + u.others.Requests, Tokens: u.own.Tokens + u.others.Tokens,
			PendingPrefill: u.own.Unread + max(u.others.Unread-read, 0), HealthPenalty: extra, Full: full,
		}
	}
	stores, addresses := s.storeList(s.withEvacuated(candidates), service.Engine, now)
	// The choice is made as for the newest version; the runner's own decides
	// what may be fetched.
	asked := s.describe(prompt, salt(prompt.Model, version, r.team), service.Engine, candidates, addresses, now)
	choice, _ := placement.Choose(&rates, asked.salt, &asked.prompt, runners, stores)
	p.upstream = candidates[choice.Runner]
	if has := r.versionOf(p.upstream); has != version {
		version = has
		chosen := choice.Runner
		asked = s.describe(prompt, salt(prompt.Model, version, r.team), service.Engine, candidates[chosen:chosen+1], addresses, now)
		choice, _ = placement.Choose(&rates, asked.salt, &asked.prompt, runners[chosen:chosen+1], stores)
	}
	p.choice = choice
	p.fetchMs = fetchMs(&asked.prompt, choice, stores)
	p.tokens = asked.prompt.Tokens() + prompt.Output
	p.reads = choice.PrefillTokens
	p.send.Prompt = &PromptSend{Salt: asked.salt, Version: version}
	s.fetchAndSave(&rates, p, &asked, choice, stores, addresses, now)
}
