package simload

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/admit"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/route"
	"github.com/lovagereach/lovagereach/upstream"
)

// entry models the decisions of one entry daemon, with the packages connected as in
// the product.
type entry struct {
	cluster    *cluster
	index      int
	registry   *upstream.Registry
	directory  *prefix.Directory
	planner    *route.Planner
	controller *admit.Controller
	random     *rand.Rand
	waiting    map[ident.Request]*job
	ids        map[*job]ident.Request
	wake       time.Time
	// storePending and enginePending are the bytes of this entry's imports in
	// progress.
	storePending  map[tierOf]int64
	enginePending map[ident.Upstream]int64
	inFlight      *route.InFlight
	keeper        *keeper
	// joined holds the jobs that wait for another request's import, by that
	// request.
	joined     map[ident.Request][]*job
	candidates []upstream.Candidate
	matches    []prefix.Match
	located    []prefix.StoredCopy
}

func newEntry(c *cluster, index int) *entry {
	registry, err := upstream.NewRegistry(upstream.Options{Entries: c.count()})
	if err != nil {
		panic(err)
	}
	directory, err := prefix.NewDirectory(prefix.Options{MaxMatches: route.MaxCandidates})
	if err != nil {
		panic(err)
	}
	planner, err := route.New(c.tuning.Route)
	if err != nil {
		panic(err)
	}
	en := &entry{
		cluster: c, index: index, registry: registry, directory: directory, planner: planner,
		controller:   admit.New(c.tuning.Admit),
		random:       rand.New(rand.NewPCG(uint64(index), 4)),
		waiting:      make(map[ident.Request]*job),
		inFlight:     route.NewInFlight(),
		joined:       make(map[ident.Request][]*job),
		ids:          make(map[*job]ident.Request),
		storePending: make(map[tierOf]int64), enginePending: make(map[ident.Upstream]int64),
	}
	en.keeper = newKeeper(en)
	return en
}

func (en *entry) now() time.Time { return en.cluster.sim.clock.now() }

func (en *entry) arrive(j *job) {
	en.cluster.serial++
	var id ident.Request
	binary.LittleEndian.PutUint64(id[:], en.cluster.serial)
	en.ids[j] = id
	decision, _, ok := en.plan(j)
	if !ok {
		en.drop(j)
		en.cluster.sim.refuse(j)
		return
	}
	if en.cluster.tuning.NoAdmit {
		en.dispatch(j, 0)
		return
	}
	due := epoch.Add(j.arrived)
	verdict, grant, _ := en.controller.Offer(en.now(), admit.Request{
		ID: id, Team: j.req.team, Class: j.req.class.Name,
		Cost:    float64(decision.RecomputeTokens) + outputCost*float64(j.req.class.Output),
		Target:  due.Add(j.req.class.Target),
		Service: decision.FirstToken, Deadline: due.Add(j.req.class.Deadline),
	})
	switch verdict {
	case admit.Granted:
		en.dispatch(j, grant.Priority)
	case admit.Queued:
		en.waiting[id] = j
		en.schedule()
	case admit.Refused:
		en.drop(j)
		en.cluster.sim.refuse(j)
	}
}

// outputCost is the cost of an answer token relative to a prompt token.
const outputCost = 4

// schedule schedules a call of next at the time that the controller requests.
func (en *entry) schedule() {
	at, ok := en.controller.Wake()
	if !ok || !en.wake.IsZero() && !at.Before(en.wake) && en.wake.After(en.now()) {
		return
	}
	en.wake = at
	en.cluster.sim.clock.after(at.Sub(en.now()), en.next)
}

func (en *entry) next() {
	en.wake = time.Time{}
	grants, refusals := en.controller.Next(en.now())
	for _, r := range refusals {
		if j := en.waiting[r.ID]; j != nil {
			en.drop(j)
			en.cluster.sim.refuse(j)
		}
	}
	for _, g := range grants {
		j := en.waiting[g.ID]
		delete(en.waiting, g.ID)
		en.dispatch(j, g.Priority)
	}
	en.schedule()
}

func (en *entry) drop(j *job) {
	delete(en.waiting, en.ids[j])
	delete(en.ids, j)
}

// leave removes a job whose caller has left.
func (en *entry) leave(j *job) {
	id, ok := en.ids[j]
	if !ok {
		return
	}
	if en.controller.Cancel(id) {
		en.drop(j)
		return
	}
	en.end(j, upstream.Cancelled)
}

// lost ends a job whose engine has crashed.
func (en *entry) lost(j *job) { en.end(j, upstream.Failed) }

// dispatch starts a granted job on a new plan.
func (en *entry) dispatch(j *job, priority int) {
	decision, sources, ok := en.plan(j)
	if !ok {
		en.end(j, upstream.Cancelled)
		en.cluster.sim.refuse(j)
		return
	}
	j.priority = priority
	j.decision = decision
	j.expectedTokens = decision.RecomputeTokens
	attempt := upstream.Attempt{Request: en.ids[j]}
	if !en.registry.Dispatch(en.now(), attempt, decision.Upstream, int64(decision.RecomputeTokens)) {
		en.end(j, upstream.Cancelled)
		en.cluster.sim.refuse(j)
		return
	}
	j.sent = en.cluster.sim.clock.at
	j.onFirst = en.first
	j.onDone = func(j *job) { en.end(j, upstream.Succeeded) }
	if bringer, ok := en.joins(j); ok {
		j.sources = sources
		en.joined[bringer] = append(en.joined[bringer], j)
		return
	}
	en.bring(j, len(sources) > 0)
	en.start(j, sources)
}

// start sends a job, after an import if it has sources.
func (en *entry) start(j *job, sources []source) {
	engine := en.cluster.engines[j.decision.Upstream]
	if len(sources) == 0 {
		en.cluster.sim.deliver(j, engine)
		return
	}
	en.fetch(j, engine, sources)
}

// joins returns the request whose import in progress the decision depends on.
func (en *entry) joins(j *job) (ident.Request, bool) {
	if j.candidate.CachedAfter == 0 {
		return ident.Request{}, false
	}
	for _, a := range en.inFlight.Lookup(route.Prompt(j.req.blocks[0])) {
		if a.Upstream == j.decision.Upstream && a.Import {
			return a.Request(), true
		}
	}
	return ident.Request{}, false
}

// bring records the prefix that a job will add to its engine's cache.
func (en *entry) bring(j *job, imports bool) {
	en.inFlight.Begin(route.Prompt(j.req.blocks[0]), en.ids[j], route.PendingPrefix{
		Upstream: j.decision.Upstream, Tokens: len(j.req.blocks) * blockTokens,
		Ready: en.now().Add(j.decision.FirstToken), Import: imports,
	})
}

// brought starts the jobs that waited for an import.
func (en *entry) brought(id ident.Request) {
	for _, other := range en.joined[id] {
		if !other.finished && en.ids[other] != (ident.Request{}) {
			en.start(other, other.sources)
		}
	}
	delete(en.joined, id)
}

// first is called on the first token of a job.
func (en *entry) first(j *job) {
	sim := en.cluster.sim
	sim.results.first(sim.clock.at+networkDelay, j)
	id, ok := en.ids[j]
	if !ok {
		return
	}
	en.registry.FirstToken(upstream.Attempt{Request: id})
	measured := sim.clock.at + networkDelay - j.sent
	o := route.Observation{
		Upstream: j.decision.Upstream, Target: j.req.class.Target,
		QueuedTokens: j.candidate.QueuedTokens, Excess: j.candidate.Excess(),
		Wait:             j.prefillAt - j.queuedAt,
		RecomputedTokens: j.computed, Prefill: sim.clock.at - j.prefillAt,
		Predicted: j.decision.FirstToken, FirstToken: measured,
	}
	if j.overlapped {
		// The time includes waiting for blocks and is no measure of the
		// engine's prefill rate.
		o.RecomputedTokens = 0
	} else {
		// The limit protects the engines, so a slow import must not reduce it.
		en.controller.FirstToken(en.now(), j.decision.Wait+j.decision.Prefill, sim.clock.at-j.queuedAt)
	}
	en.planner.Observe(o)
	en.inFlight.End(route.Prompt(j.req.blocks[0]), id)
	en.observeBlocks(j)
	en.keeper.recordUse(j)
}

func (en *entry) observeBlocks(j *job) {
	claimed := (j.decision.CachedTokens + j.decision.FetchTokens) / blockTokens
	if j.decision.Kind == route.PartialFetch {
		claimed = j.decision.CachedTokens / blockTokens
	}
	en.directory.Observe(prefix.Answer{
		Upstream: j.engine.name, Incarnation: j.engine.incarnation, Blocks: j.req.blocks,
		Claimed: claimed, Reused: (j.reused + 1) / blockTokens, Held: len(j.req.blocks),
	})
}

// end releases the resources of a job. Further calls have no effect.
func (en *entry) end(j *job, result upstream.Result) {
	id, ok := en.ids[j]
	if !ok {
		return
	}
	en.registry.Finish(en.now(), upstream.Attempt{Request: id}, result)
	en.inFlight.End(route.Prompt(j.req.blocks[0]), id)
	en.drop(j)
	if en.controller.Done(en.now(), id) {
		en.next()
	}
}
