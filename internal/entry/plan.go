package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/crash"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/route"
	"github.com/lovagereach/lovagereach/upstream"
)

// Bounds of one planning run.
const (
	// picksPerCentre is the number of least loaded engines per data centre that
	// are considered in addition to those that hold the prefix.
	picksPerCentre = 4
	// resumePicksPerCentre replaces it for an answer that must go on at one of several software
	// versions.
	resumePicksPerCentre = 16
	// maxVersions bounds the target versions that are considered.
	maxVersions = 4
)

// job is one prompt being served, across its attempts.
type job struct {
	prompt Prompt
	// fingerprint identifies the prompt for quarantine.
	fingerprint quarantine.Fingerprint
	// parts identify the blocks of the prompt that others may share, and trial those of them that
	// are quarantined and that it may be sent with, once.
	parts, trial []quarantine.Fingerprint
	// crashChecks are the checks of the upstreams at which its attempts broke off.
	crashChecks crash.Checks
	model       *config.Model
	class       *config.Class
	arrived     time.Time
	deadline    time.Time
	priority    int
	// version is set once a token has been delivered: the answer must continue
	// under the weights with which it began.
	version ident.Version
	// software is, from then on, the version of the software of the engine that began the
	// answer: what two versions generate doesn't fit together.
	software string
	// avoid lists upstreams that failed this request.
	avoid  []ident.Upstream
	chains map[ident.Version]chain
}

// chain lists the prompt's blocks under one version.
type chain struct {
	blocks []prefix.BlockID
	ids    []port.BlockID
}

// plan is the upstream chosen for one attempt and the blocks to import.
type plan struct {
	decision  route.Decision
	candidate upstream.Candidate
	load      route.Candidate
	version   ident.Version
	chain     chain
	// claimed is the number of blocks that the engine holds according to the
	// directory.
	claimed int
	// sources are the copies to import, in prompt order.
	sources []port.BlockSource
	// cachedSources are copies of blocks that the engine is expected to hold.
	// The import names them too: the engine keeps those it has and fetches the
	// others.
	cachedSources []port.BlockSource
	// slowBlocks are the blocks whose copies are in a tier below memory.
	slowBlocks map[port.BlockID]bool
}

// continuesAt reports whether an answer may begin or go on at an engine's software version.
func (j *job) continuesAt(c upstream.Candidate) bool {
	return j.version == "" || c.Software == j.software
}

// blocksOf returns the prompt's blocks under a version. It hashes the whole
// prompt and must not be called with the mutex held.
func (e *Entry) blocksOf(j *job, version ident.Version) chain {
	if known, ok := j.chains[version]; ok {
		return known
	}
	scope := prefix.Scope{
		Team:    j.prompt.Caller.Team(),
		Model:   j.prompt.Model,
		Version: version,
		Adapter: j.prompt.Adapter,
	}
	blocks := prefix.Chain(e.options.BlockKey, scope, j.prompt.Tokens, j.model.BlockTokens)
	c := chain{blocks: blocks, ids: make([]port.BlockID, len(blocks))}
	for i, block := range blocks {
		c.ids[i] = port.BlockID(block.String())
	}
	if j.chains == nil {
		j.chains = make(map[ident.Version]chain, 1)
	}
	j.chains[version] = c
	return c
}

// versions lists the versions that an attempt may use, in order of preference.
func (j *job) versions() []ident.Version {
	if j.version != "" {
		return []ident.Version{j.version}
	}
	wanted := j.model.Versions[:min(len(j.model.Versions), maxVersions)]
	versions := make([]ident.Version, 0, len(wanted))
	for _, version := range wanted {
		if j.prompt.Adapter == "" || slices.Contains(version.Adapters, j.prompt.Adapter) {
			versions = append(versions, version.Version)
		}
	}
	return versions
}

// choose plans the request for each target version. The first version that
// meets the target of the class is chosen, so that new weights take over as
// they are loaded. If none meets it, the one with the earliest first token is
// chosen.
//
// Upstreams that failed this request are chosen only if there is no other: the
// cause of a failure has often passed by the next attempt.
func (e *Entry) choose(j *job) (plan, error) {
	chosen, err := e.chooseAvoiding(j, j.avoid)
	if err != nil && len(j.avoid) > 0 {
		return e.chooseAvoiding(j, nil)
	}
	return chosen, err
}

func (e *Entry) chooseAvoiding(j *job, avoid []ident.Upstream) (plan, error) {
	var best plan
	found := false
	for _, version := range j.versions() {
		chain := e.blocksOf(j, version)
		next, ok := e.planVersion(j, version, chain, avoid)
		if !ok {
			continue
		}
		if !found || next.decision.FirstToken < best.decision.FirstToken {
			best, found = next, true
		}
		if next.decision.MeetsTarget {
			return next, nil
		}
	}
	if !found {
		return plan{}, &outcome.NotRun{
			Reason:     outcome.ReasonNoUpstream,
			Detail:     "no upstream has the model, version and adapter loaded",
			RetryAfter: time.Second,
		}
	}
	return best, nil
}

// planVersion chooses among the upstreams that have one version loaded.
func (e *Entry) planVersion(j *job, version ident.Version, chain chain, avoid []ident.Upstream) (plan, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	candidates := e.candidates(now, j, version, chain, avoid)
	if len(candidates) == 0 {
		return plan{}, false
	}
	located, copies := e.copies(now, j, chain)
	request := route.Request{
		PromptTokens: len(j.prompt.Tokens),
		Arrived:      j.arrived,
		Target:       j.class.FirstToken.Within.Std(),
		Deadline:     j.deadline,
		Candidates:   make([]route.Candidate, 0, len(candidates)),
		Copies:       copies,
	}
	for _, c := range candidates {
		request.Candidates = append(request.Candidates, e.routeCandidate(c, j.model.BlockTokens))
	}
	decision, err := e.planner.Plan(now, request, e.options.Random)
	if err != nil {
		return plan{}, false
	}
	chosen := slices.IndexFunc(candidates, func(c candidate) bool { return c.Upstream == decision.Upstream })
	return plan{
		decision:      decision,
		candidate:     candidates[chosen].Candidate,
		load:          request.Candidates[chosen],
		version:       version,
		chain:         chain,
		claimed:       candidates[chosen].blocks,
		sources:       e.sources(decision, located, j.model.BlockTokens),
		cachedSources: e.cachedSources(decision, located, j.model.BlockTokens),
		slowBlocks:    slowOf(decision, located),
	}, true
}

// candidate is an engine, the number of the prompt's blocks that it holds, the
// accuracy of that number, and the prefix that it is going to hold.
type candidate struct {
	upstream.Candidate
	blocks   int
	accuracy float64
	pending  pendingPrefix
}

// reusable returns how many of the prompt's blocks are present or pending.
func (c candidate) reusable() int { return max(c.blocks, c.pending.blocks) }

// candidates lists the engines that hold or are going to hold a prefix first,
// then the least loaded engines of each data centre. The caller holds the
// mutex.
func (e *Entry) candidates(now time.Time, j *job, version ident.Version, chain chain, avoid []ident.Upstream) []candidate {
	var out []candidate
	var picks []upstream.Candidate
	pendingPrefixes := e.pendingPrefixes(now, chain)
	perCentre := picksPerCentre
	if j.version != "" {
		perCentre = resumePicksPerCentre
	}
	for _, centre := range e.centres[poolKey{model: j.prompt.Model}] {
		cell := ident.Cell{Model: j.prompt.Model, DataCentre: centre}
		key := upstream.EnginePool(cell, version, j.prompt.Adapter)
		picks = e.registry.Pick(now, e.options.Random, key, perCentre, picks)
		for _, pending := range pendingPrefixes {
			if c, ok := e.registry.Candidate(now, key, pending.upstream); ok && j.continuesAt(c) && !slices.Contains(avoid, c.Upstream) {
				out = append(out, candidate{Candidate: c, pending: pending})
			}
		}
		directory := e.cells[cell]
		if directory == nil || len(chain.blocks) == 0 {
			continue
		}
		var matches [prefix.DefaultMaxMatches]prefix.Match
		for _, match := range directory.Longest(chain.blocks, matches[:0]) {
			at := slices.IndexFunc(out, func(o candidate) bool { return o.Upstream == match.Upstream })
			if at >= 0 {
				out[at].blocks, out[at].accuracy = match.Blocks, match.Accuracy
				continue
			}
			if c, ok := e.registry.Candidate(now, key, match.Upstream); ok && j.continuesAt(c) && !slices.Contains(avoid, c.Upstream) {
				out = append(out, candidate{Candidate: c, blocks: match.Blocks, accuracy: match.Accuracy})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Compare(b.reusable(), a.reusable()) })
	slices.SortStableFunc(picks, func(a, b upstream.Candidate) int { return cmp.Compare(a.Score, b.Score) })
	for _, c := range picks {
		known := slices.ContainsFunc(out, func(o candidate) bool { return o.Upstream == c.Upstream })
		if !known && j.continuesAt(c) && !slices.Contains(avoid, c.Upstream) {
			out = append(out, candidate{Candidate: c})
		}
	}
	return out[:min(len(out), route.MaxCandidates)]
}

func (e *Entry) routeCandidate(c candidate, blockTokens int) route.Candidate {
	running := min(int(c.Load.Requests), c.Slots)
	out := route.Candidate{
		Upstream:           c.Upstream,
		DataCentre:         c.DataCentre,
		Slots:              c.Slots,
		Running:            running,
		Queued:             int(c.Load.Requests) - running,
		QueuedTokens:       int64(c.Load.QueuedTokens),
		LoadAge:            c.Load.Age,
		CachedTokens:       c.blocks * blockTokens,
		CacheAccuracy:      c.accuracy,
		PendingImportBytes: e.fetching.into[c.Upstream],
		NetworkDelay:       e.delayTo(c.DataCentre),
		Share:              c.Weight,
	}
	if c.pending.blocks > c.blocks {
		out.CachedTokens, out.CachedAfter = c.pending.blocks*blockTokens, c.pending.after
	}
	return out
}

func (e *Entry) delayTo(centre ident.DataCentre) time.Duration {
	if centre == e.options.DataCentre {
		return e.options.LocalDelay
	}
	return e.options.RemoteDelay
}

// copies chooses a store copy for each of the prompt's blocks that has one, and
// merges adjacent blocks in the same store tier into runs. The caller holds the
// mutex.
func (e *Entry) copies(now time.Time, j *job, chain chain) ([]prefix.StoredCopy, []route.Copy) {
	var located []prefix.StoredCopy
	var runs []route.Copy
	var found []prefix.StoredCopy
	tokens := j.model.BlockTokens
	for i, block := range chain.blocks {
		found = e.stores.Copies(block, found[:0])
		best, ok := e.bestCopy(now, found, runs)
		if !ok {
			continue
		}
		if located == nil {
			located = make([]prefix.StoredCopy, len(chain.blocks))
		}
		located[i] = best
		last := len(runs) - 1
		if last >= 0 && runs[last].To == i*tokens && tierOfRun(runs[last]) == tierOfCopy(best) {
			runs[last].To += tokens
			runs[last].Bytes += best.Copy.Bytes
			continue
		}
		if len(runs) == route.MaxCopies {
			break
		}
		runs = append(runs, e.newRun(now, best, i*tokens, tokens))
	}
	return located, runs
}

// bestCopy prefers memory over disk, then the store of the current run, then
// the store with the fewest bytes being fetched from it.
func (e *Entry) bestCopy(now time.Time, found []prefix.StoredCopy, runs []route.Copy) (prefix.StoredCopy, bool) {
	var best prefix.StoredCopy
	ok := false
	for _, c := range found {
		if !e.offered(now, c.Store) {
			continue
		}
		if !ok || e.betterCopy(c, best, runs) {
			best, ok = c, true
		}
	}
	return best, ok
}

func (e *Entry) betterCopy(a, b prefix.StoredCopy, runs []route.Copy) bool {
	if a.Copy.Tier != b.Copy.Tier {
		return a.Copy.Tier < b.Copy.Tier
	}
	if last := len(runs) - 1; last >= 0 && (runs[last].Store == a.Store) != (runs[last].Store == b.Store) {
		return runs[last].Store == a.Store
	}
	return e.fetching.from[tierOfCopy(a)] < e.fetching.from[tierOfCopy(b)]
}

func (e *Entry) offered(now time.Time, store ident.Upstream) bool {
	f := e.followed[store]
	if f == nil {
		return false
	}
	_, ok := e.registry.Candidate(now, f.pool, store)
	return ok
}

func (e *Entry) newRun(now time.Time, c prefix.StoredCopy, from, tokens int) route.Copy {
	run := route.Copy{
		Store:        c.Store,
		From:         from,
		To:           from + tokens,
		Bytes:        c.Copy.Bytes,
		PendingBytes: e.fetching.from[tierOfCopy(c)],
		Slow:         c.Copy.Tier != prefix.Memory,
	}
	if f := e.followed[c.Store]; f != nil {
		if store, ok := e.registry.Candidate(now, f.pool, c.Store); ok {
			run.LinkBusy = store.Load.LinkBusy
		}
	}
	return run
}

// sources converts the parts of the decision to the copies that the engine
// fetches. The caller holds the mutex.
func (e *Entry) sources(decision route.Decision, located []prefix.StoredCopy, blockTokens int) []port.BlockSource {
	var out []port.BlockSource
	for _, part := range decision.Parts {
		out = e.appendSources(out, located, part.From/blockTokens, part.To/blockTokens)
	}
	return out
}

// cachedSources lists copies of the blocks that the engine is expected to hold,
// if the import has to name them. Otherwise the engine could evict these blocks
// while the rest arrives, and the rest alone is useless. The caller holds the
// mutex.
func (e *Entry) cachedSources(decision route.Decision, located []prefix.StoredCopy, blockTokens int) []port.BlockSource {
	if !decision.Verify && len(decision.Parts) == 0 {
		return nil
	}
	return e.appendSources(nil, located, 0, decision.CachedTokens/blockTokens)
}

// appendSources appends the copies of the blocks with indexes in [from, to).
func (e *Entry) appendSources(out []port.BlockSource, located []prefix.StoredCopy, from, to int) []port.BlockSource {
	for i := from; i < min(to, len(located)); i++ {
		c := located[i]
		if f := e.followed[c.Store]; f != nil {
			out = append(out, sourceOf(c.Block, c.Store, f.address, c.Copy))
		}
	}
	return out
}
