package simload

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/route"
	"github.com/lovagereach/lovagereach/upstream"
)

// plan returns the routing decision for a job. A request that has not started is
// changed to the new version if no engine has its version.
func (en *entry) plan(j *job) (route.Decision, []source, bool) {
	decision, sources, ok := en.planVersion(j)
	if ok || en.cluster.sim.swapped == 0 || j.req.version == secondVersion {
		return decision, sources, ok
	}
	en.cluster.sim.setVersion(j.req, secondVersion)
	return en.planVersion(j)
}

func (en *entry) planVersion(j *job) (route.Decision, []source, bool) {
	req := route.Request{
		PromptTokens: j.req.tokens,
		Arrived:      epoch.Add(j.arrived),
		Target:       j.req.class.Target,
		Deadline:     epoch.Add(j.arrived + j.req.class.Deadline),
		Candidates:   en.offer(j),
	}
	var chosen []source
	if !en.cluster.tuning.NoFetch {
		req.Copies, chosen = en.copies(j)
	}
	en.cluster.sim.check.decisions++
	decision, err := en.planner.Plan(en.now(), req, en.random)
	if err != nil {
		return route.Decision{}, nil, false
	}
	for _, c := range req.Candidates {
		if c.Upstream == decision.Upstream {
			j.candidate = c
		}
	}
	return decision, sourcesOf(decision, chosen), true
}

// offer returns as candidates the holders of the prompt and a sample of the least
// loaded engines.
func (en *entry) offer(j *job) []route.Candidate {
	if en.cluster.tuning.Exact {
		return en.offerArriving(j, en.offerExact(j))
	}
	now := en.now()
	out := make([]route.Candidate, 0, route.MaxCandidates)
	en.matches = en.directory.Longest(j.req.blocks, en.matches[:0])
	for _, m := range en.matches {
		e := en.cluster.engines[m.Upstream]
		if e == nil {
			continue
		}
		if c, ok := en.registry.Candidate(now, en.pool(e.dc, j), m.Upstream); ok {
			candidate := en.candidate(c, m.Blocks*blockTokens)
			if !en.cluster.tuning.NoVerify {
				candidate.CacheAccuracy = m.Accuracy
			}
			out = append(out, candidate)
		}
	}
	if !en.cluster.tuning.NoJoin {
		out = en.offerArriving(j, out)
	}
	for _, dc := range en.cluster.sim.work.DataCentres {
		en.candidates = en.registry.Pick(now, en.random, en.pool(dc, j), en.cluster.tuning.Sample, en.candidates[:0])
		for _, c := range en.candidates {
			if !offers(out, c.Upstream) {
				out = append(out, en.candidate(c, 0))
			}
		}
	}
	return out
}

// offerArriving adds or updates the candidates that will hold the prompt after a
// prefill or import in progress.
func (en *entry) offerArriving(j *job, out []route.Candidate) []route.Candidate {
	for _, a := range en.inFlight.Lookup(route.Prompt(j.req.blocks[0])) {
		tokens := min(a.Tokens, len(j.req.blocks)*blockTokens)
		after := max(a.Ready.Sub(en.now()), time.Millisecond)
		at := slices.IndexFunc(out, func(c route.Candidate) bool { return c.Upstream == a.Upstream })
		if at >= 0 {
			if out[at].CachedTokens < tokens {
				out[at].CachedTokens, out[at].CachedAfter = tokens, after
			}
			continue
		}
		e := en.cluster.engines[a.Upstream]
		if c, ok := en.registry.Candidate(en.now(), en.pool(e.dc, j), a.Upstream); ok {
			candidate := en.candidate(c, tokens)
			candidate.CachedAfter = after
			out = append(out, candidate)
		}
	}
	return out
}

// sortCandidates sorts by cached tokens, highest first, then by queued tokens, lowest
// first.
func sortCandidates(candidates []route.Candidate) {
	slices.SortStableFunc(candidates, func(a, b route.Candidate) int {
		return cmp.Or(cmp.Compare(b.CachedTokens, a.CachedTokens), cmp.Compare(a.QueuedTokens, b.QueuedTokens))
	})
}

func offers(candidates []route.Candidate, name ident.Upstream) bool {
	for _, c := range candidates {
		if c.Upstream == name {
			return true
		}
	}
	return false
}

func (en *entry) pool(dc ident.DataCentre, j *job) upstream.Pool {
	return upstream.EnginePool(ident.Cell{Model: theModel, DataCentre: dc}, j.req.version, "")
}

func (en *entry) candidate(c upstream.Candidate, cached int) route.Candidate {
	return route.Candidate{
		Upstream: c.Upstream, DataCentre: c.DataCentre, Slots: c.Slots,
		Running: int(c.Load.Requests), QueuedTokens: int64(c.Load.QueuedTokens), LoadAge: c.Load.Age,
		CachedTokens:       cached,
		PendingImportBytes: en.enginePending[c.Upstream],
		LinkBytesPerSecond: int64(en.cluster.sim.work.engine.linkRate),
		NetworkDelay:       networkDelay,
		Share:              c.Weight,
		Overlaps:           en.cluster.engines[c.Upstream].spec.overlaps,
	}
}

// copies returns the stored blocks of a prompt, grouped into runs on one store host
// and tier, and the source of each block.
func (en *entry) copies(j *job) ([]route.Copy, []source) {
	var runs []route.Copy
	sources := make([]source, 0, len(j.req.blocks))
	for i, id := range j.req.blocks {
		located, ok := en.locate(id)
		if !ok {
			break
		}
		sources = append(sources, source{id: id, store: en.cluster.stores[located.Store], generation: located.Copy.Generation, slow: located.Copy.Tier == prefix.Disk})
		slow := located.Copy.Tier == prefix.Disk
		last := len(runs) - 1
		if last >= 0 && runs[last].Store == located.Store && runs[last].Slow == slow {
			runs[last].To += blockTokens
			runs[last].Bytes += blockBytes
			continue
		}
		if len(runs) == route.MaxCopies {
			break
		}
		runs = append(runs, route.Copy{
			Store: located.Store, From: i * blockTokens, To: (i + 1) * blockTokens, Bytes: blockBytes,
			PendingBytes: en.storePending[tierOf{located.Store, slow}], Slow: slow,
			LinkBytesPerSecond: int64(en.cluster.sim.work.store.linkRate),
		})
	}
	return runs, sources
}

// locate returns a copy of a block on an available store host, in memory rather than
// on disk.
func (en *entry) locate(id prefix.BlockID) (prefix.StoredCopy, bool) {
	if en.cluster.tuning.Exact {
		return en.locateExact(id)
	}
	en.located = en.directory.Copies(id, en.located[:0])
	best := -1
	for i, l := range en.located {
		st := en.cluster.stores[l.Store]
		if _, ok := en.registry.Candidate(en.now(), upstream.StorePool(st.dc, 0), l.Store); !ok {
			continue
		}
		if best < 0 || l.Copy.Tier < en.located[best].Copy.Tier {
			best = i
		}
	}
	if best < 0 {
		return prefix.StoredCopy{}, false
	}
	return en.located[best], true
}

// sourcesOf returns the blocks that a decision imports.
func sourcesOf(d route.Decision, sources []source) []source {
	var out []source
	if len(d.Parts) == 0 && !d.Verify {
		return nil
	}
	// The blocks that the engine already holds are included, so that it pins
	// them.
	for _, src := range sources[:min(d.CachedTokens/blockTokens, len(sources))] {
		src.held = true
		out = append(out, src)
	}
	for _, part := range d.Parts {
		from := (part.From + blockTokens - 1) / blockTokens
		out = append(out, sources[from:min(part.To/blockTokens, len(sources))]...)
	}
	return out
}

// tierOf identifies one tier of a store host.
type tierOf struct {
	store ident.Upstream
	slow  bool
}

func (s source) tier() tierOf { return tierOf{s.store.name, s.slow} }

// tiers returns all tiers in a fixed order.
func (s *sim) tiers() []tierOf {
	out := make([]tierOf, 0, 2*len(s.stores))
	for _, st := range s.stores {
		out = append(out, tierOf{st.name, false}, tierOf{st.name, true})
	}
	return out
}

// fetch imports blocks and sends the job: immediately if the engine can overlap
// prefill with the import, otherwise after the import.
func (en *entry) fetch(j *job, e *engine, sources []source) {
	sim := en.cluster.sim
	pending := make(map[tierOf]int64)
	bytes := int64(0)
	for _, src := range sources {
		if !src.held {
			pending[src.tier()] += blockBytes
			bytes += blockBytes
		}
	}
	before := make(map[tierOf]int64)
	for _, tier := range sim.tiers() {
		before[tier] = en.storePending[tier]
		en.storePending[tier] += pending[tier]
	}
	en.enginePending[e.name] += bytes
	id := en.ids[j]
	if e.spec.overlaps && len(j.decision.Parts) > 0 {
		j.importing, j.overlapped = true, true
		j.importFrom = j.decision.Parts[0].From
		j.importTo = j.decision.Parts[len(j.decision.Parts)-1].To
		sim.send(j, e)
	}
	pins := en.keeper.pin(j, sources)
	sim.startImport(e, j, sources, func(im *importer) {
		en.keeper.unpin(pins)
		en.enginePending[e.name] -= bytes
		took := sim.clock.at - im.started
		for _, tier := range sim.tiers() {
			if pending[tier] == 0 {
				continue
			}
			en.storePending[tier] -= pending[tier]
			if len(im.missing) == 0 {
				en.planner.ObserveTransfer(route.Transfer{
					Store: tier.store, Slow: tier.slow,
					PendingBytes: before[tier], Bytes: pending[tier], Took: took,
				})
			}
		}
		en.inFlight.ImportDone(route.Prompt(j.req.blocks[0]), id)
		en.imported(j, e, im)
		en.brought(id)
	})
}

// imported continues a job after its import.
func (en *entry) imported(j *job, e *engine, im *importer) {
	for _, src := range im.missing {
		en.directory.Retract(src.store.name, src.id)
	}
	en.judgeStores(im)
	if j.state == jobGone || j.finished || en.ids[j] == (ident.Request{}) {
		e.unpin(j)
		return
	}
	if j.importing {
		e.importDone(j)
		return
	}
	en.cluster.sim.deliver(j, e)
}

// judgeStores records in the registry a failed attempt for each store host that did
// not serve a block of the import.
func (en *entry) judgeStores(im *importer) {
	failed := make(map[*store]int)
	for _, src := range im.missing {
		failed[src.store]++
	}
	for _, st := range en.cluster.sim.stores {
		if failed[st] == 0 {
			continue
		}
		en.cluster.serial++
		attempt := upstream.Attempt{Number: uint32(en.cluster.serial)}
		if en.registry.Dispatch(en.now(), attempt, st.name, 0) {
			en.registry.Finish(en.now(), attempt, upstream.Failed)
		}
	}
}
