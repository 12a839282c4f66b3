package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/replicate"
	"github.com/lovagereach/lovagereach/resumption"
)

const (
	// oldWeightsCost is added for a runner whose weights are not the newest.
	oldWeightsCost = 150 * time.Millisecond
	// loadingCost is added for a runner that is ordered to load weights: it takes no request
	// until the load is complete.
	loadingCost = 2 * time.Second
	// versionUnknownCost is added for a runner that refused both the version it was known for
	// and the newest, until its next announcement or the loader's report.
	versionUnknownCost = 2 * time.Second
	// noCapacityCost is added for a runner without capacity. Small prompts go to a runner with
	// capacity first, however much prefill they need there; for large ones recomputing a part
	// may cost more than a wait.
	noCapacityCost      = 800 * time.Millisecond
	noCapacityCostSmall = 20 * time.Second
	// loadUncertainty spreads the choice among replicas whose loads differ by fewer requests
	// than the reports of the entries lag behind; otherwise all entries would choose the same
	// one.
	loadUncertainty = 2.0
	// fullFor is how long an upstream that refused a request as full gets a penalty.
	fullFor = 60 * time.Millisecond
	// fullCost is the penalty of a full upstream.
	fullCost = 400 * time.Millisecond
	// crossDCBase and crossDCPerKB are added for an upstream in another data centre, for the
	// round trip and for the traffic between data centres.
	crossDCBase  = 3 * time.Millisecond
	crossDCPerKB = 350 * time.Microsecond
	// evictionRisk is the probability that a part has been evicted from a runner's cache by
	// the time that another runner fetches it. The view of the caches is 100 to 300 ms old,
	// and a cache turns over in two to three seconds.
	evictionRisk = 0.1
)

// plan is one send and the load that it is accounted for until it ends.
type plan struct {
	send     *Send
	upstream *upstreamState
	// origin is the upstream's software version as far as it was known at the send.
	origin        resumption.Origin
	tokens        int
	prefillTokens int
	// uncachedTokens is the number of tokens that the runner prefills unless it caches more than is
	// known, 0 if work isn't counted in them.
	uncachedTokens int
	// output is the number of tokens of the answer that tokens includes, events the number of its
	// events so far, the latest at eventAt.
	output, events int
	eventAt        time.Time
	// slowdown is the factor by which work was predicted to take longer than usual. alone indicates
	// that the answer waited behind no other request as far as the upstream states.
	slowdown float64
	alone    bool
	// late indicates that the request was past its target. The upstream was told a lower rank if there
	// is one.
	late          bool
	answerStarted bool
	released      bool
	// overdue indicates that the send was ended because it had not begun within the bound of newer
	// weights.
	overdue bool
	// silent indicates that the send was ended because nothing of the answer that was to confirm another's
	// end came in time.
	silent bool
	// headCame indicates that the head of an answer has come.
	headCame bool
	// checked indicates that it is known, or being checked, whether the upstream has crashed.
	checked bool
	choice  placement.Choice
	// candidates is the number of upstreams that the choice was made among.
	candidates int
	keys       []cacheindex.Key
	// sources are the stores whose queue accounts for the fetches, part by part.
	sources []*storeState
	// transfers are those of sources that count, planned the predictions, part by part.
	transfers []sourceTransfer
	planned   []plannedTransfer
	// reads are the large parts that the runner is expected to read, toRead their indices.
	reads  []*replicate.Ongoing
	toRead []int
	// copies are the second copies that the send may make.
	copies []plannedCopy
	// sharedRead are the tokens of shared parts that the runner is expected to read, readAgain
	// those of them that are known or assumed to be held elsewhere, and readHeld those that are known
	// to be.
	sharedRead, readAgain, readHeld int
	// fetchMs is the predicted time of the fetches in milliseconds at the nominal rate of the
	// links, sent the time of the send.
	fetchMs float64
	// linkWait is the part of it until the links are free, if they are accounted for.
	linkWait time.Duration
	sent     time.Time
	logged   decision.Choice
	// unreported is the number of pending tokens that the other entries were expected to have sent
	// to the runner. predicted is the time from the send to the first event by the entry's view,
	// zero for a plain service, and took the actual one.
	// open is the number of candidates that had capacity.
	unreported, open int
	predicted, took  time.Duration
}

// tryPlan chooses an upstream and accounts for the send. It returns nil if no upstream has
// capacity. The caller holds the lock.
func (r *run) tryPlan(now time.Time) (*plan, error) {
	s := r.gateway.state
	r.gateway.meter.choices.Inc()
	r.late = r.lateAt(s, now)
	// The service is that of the admission: without it a prompt whose service was removed
	// since would be sent without the salt that isolates teams.
	service := r.index.Service(r.service)
	candidates, throttled := r.candidates(s, now)
	if len(candidates) == 0 && throttled {
		return nil, nil
	}
	if len(candidates) == 0 {
		return nil, r.noCandidateError(s)
	}
	p := &plan{candidates: len(candidates), late: r.late}
	p.send = &Send{
		Request: r.request, Team: r.teamName(), Rank: r.sendRank(), Stream: r.isStream(), ResumeAfter: r.lastEvent,
		Wait: r.timeForAnswer(now), Connections: s.connections(service), SameIncarnation: r.pinned && r.origin.Software != "", StatesStart: statesStart(service),
	}
	if r.request.Prompt != nil && service != nil && service.Engine != nil {
		r.placePrompt(s, p, service, candidates, now)
	} else {
		p.upstream = r.leastLoaded(candidates, p.send.Connections, now)
	}
	p.send.Upstream, p.send.Address, p.send.StartedMs = p.upstream.record.ID, p.upstream.record.Address, p.upstream.record.StartedMs
	p.origin = s.originAt(p.upstream)
	s.describePlan(p, now)
	r.last = p
	if !s.mayUse(p.upstream, r.need(s, service, p.tokens, p.choice.PrefillTokens), now) {
		return nil, nil
	}
	p.sent, p.slowdown = now, r.slowdownOf(s, p.upstream, now)
	s.commit(p, now)
	s.recordSent(p.upstream, now)
	s.limits.RecordSent(p.upstream.record.ID, now)
	s.reach.Sent(p.upstream.record.ID, now)
	r.gateway.countSent(p.upstream, now)
	if p.linkWait > 0 {
		r.gateway.meter.linkWait.Update(p.linkWait.Seconds())
	}
	r.gateway.meter.partsRead.Add(p.sharedRead)
	r.gateway.meter.partsReadAgain.Add(p.readAgain)
	r.gateway.countBackOff(p.upstream, now)
	p.upstream.own.Requests++
	s.activeUpstreams[p.upstream.record.ID] = p.upstream
	p.upstream.own.Tokens += p.tokens
	p.upstream.own.Unread += p.prefillTokens
	r.recordWork(s, p, now)
	s.retriesOf(r).Sent(now)
	if r.sends == 0 && r.unsent == 0 && r.unconnected == 0 {
		s.budgets.countRequest(r.service, now)
	}
	return p, nil
}

// penalty is the predicted cost of an upstream besides its load.
func (r *run) penalty(u *upstreamState, now time.Time) time.Duration {
	cost := u.health.penalty(now, u.silent)
	if now.Before(u.fullUntil) {
		cost += fullCost
	}
	if r.gateway.state.reach.Lost(u.record.ID) {
		cost += ejectedCost
	}
	if now.Before(u.versionUnknownUntil) {
		cost += versionUnknownCost
	}
	if u.loading {
		cost += loadingCost
	}
	if u.record.DataCentre != r.gateway.options.DataCentre {
		cost += crossDCBase + crossDCPerKB*time.Duration(len(r.request.Body)/1024)
	}
	return cost
}

// leastLoaded chooses among the replicas of a plain service, at each of which this entry may use a
// number of connections.
func (r *run) leastLoaded(candidates []*upstreamState, connections int, now time.Time) *upstreamState {
	s := r.gateway.state
	var best *upstreamState
	var lowest float64
	start := rand.IntN(len(candidates))
	unreported := r.unreportedRequests(s, candidates, now)
	for i := range candidates {
		u := candidates[(start+i)%len(candidates)]
		load := float64(u.own.Requests+u.others.Requests) + loadUncertainty*rand.Float64()
		if unreported != nil {
			load += unreported[(start+i)%len(candidates)]
		}
		cost := r.loadCost(s, u, load, now) + milliseconds(r.penalty(u, now))
		if !u.mayConnect(connections) || s.brittleness(r.service, now) > 0 && !s.mayUse(u, need{small: true}, now) {
			cost += milliseconds(noCapacityCost)
		}
		if excess := int(load) + 1 - u.record.Slots; excess > 0 {
			cost += float64(excess) * r.gateway.options.Rates.SlotMs
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
	noCapacity := noCapacityCost
	if r.small() {
		noCapacity = noCapacityCostSmall
	}
	p.output = r.expectedOutput(s)
	needed := r.need(s, service, r.expectedSize(s), prompt.lastPart())
	rates := s.ratesOf(service.Name, r.gateway.options.Rates)
	prefilled := int(rates.PrefillPerMs * milliseconds(now.Sub(s.loadsAt)))
	countsLinks := s.countsLinks(service.Engine)
	runners := make([]placement.Runner, len(candidates))
	version := uint64(0)
	for i, u := range candidates {
		version = max(version, r.versionOf(u))
		extra := r.penalty(u, now)
		if r.versionOf(u) < newest {
			extra += oldWeightsCost
		}
		full := !s.mayUse(u, needed, now)
		if full {
			extra += noCapacity
		} else {
			p.open++
		}
		runners[i] = placement.Runner{
			ID: u.record.ID, DataCentre: u.record.DataCentre, Slots: u.record.Slots, Memory: service.Engine.MemoryTokens,
			Requests: u.own.Requests + u.others.Requests, Tokens: u.own.Tokens + u.others.Tokens,
			PendingPrefill: u.own.Unread + max(u.others.Unread-prefilled, 0), HealthPenalty: extra, Full: full,
			Slowdown: r.slowdownOf(s, u, now),
		}
		if countsLinks {
			runners[i].LinkQueued = s.linkQueued(u, service.Engine, now)
		}
	}
	stores, addresses := s.storeList(s.withEvacuated(candidates), service.Engine, now)
	// The choice assumes the newest version among the candidates; the version of the chosen
	// runner decides what may be fetched.
	view := s.describePrompt(prompt, r.salt(s, version), service.Engine, candidates, addresses, now)
	view.prompt.Output = p.output
	if r.gateway.options.Load.ExpectOthers {
		r.expectOthers(s, &view.prompt, &rates, candidates, runners, now)
	}
	view.prompt.HomeDataCentre = s.homeDataCentre(&rates, &view, stores, now)
	choice, _ := placement.Choose(&rates, view.salt, &view.prompt, runners, stores)
	at := choice.Runner
	p.upstream = candidates[at]
	if has := r.versionOf(p.upstream); has != version {
		version = has
		view = s.describePrompt(prompt, r.salt(s, version), service.Engine, candidates[at:at+1], addresses, now)
		view.prompt.Output = p.output
		choice, _ = placement.Choose(&rates, view.salt, &view.prompt, runners[at:at+1], stores)
	}
	p.choice = choice
	p.unreported = runners[at].Unreported
	p.fetchMs = fetchMs(&view.prompt, choice, stores)
	if countsLinks {
		s.planLinks(p, &rates, &view.prompt, &runners[at], stores)
	}
	p.tokens = view.prompt.Tokens() + p.output
	p.prefillTokens = choice.PrefillTokens
	if r.gateway.options.Load.ExpectOthers {
		// That the home runner may have got a part just now counts for the choice. As work it
		// counts in full, and the prefill rate is learnt in the same measure.
		p.prefillTokens, p.uncachedTokens = choice.UncachedTokens, choice.UncachedTokens
	}
	p.predicted = s.predict(p, service.Name, &runners[at])
	p.send.Prompt = &PromptSend{Salt: view.salt, Version: version}
	s.fetchAndSave(&rates, p, &view, choice, stores, addresses, now)
}
