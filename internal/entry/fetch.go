package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/route"
)

// fetch has the engine import the blocks of the plan. Blocks that don't arrive
// are recomputed, so a failed import costs time but does not fail the answer.
func (a *answer) fetch() {
	if len(a.plan.sources)+len(a.plan.cachedSources) == 0 {
		return
	}
	e := a.entry
	pinned := a.pin()
	var missing []port.BlockID
	defer func() { e.keeper.unpin(pinned, missing) }()
	named := slices.Concat(a.plan.cachedSources, a.plan.sources)
	if len(named) == 0 {
		return
	}
	before := e.beginFetching(a.plan)
	defer e.endFetching(a.plan)
	ctx, cancel := context.WithTimeout(a.ctx, a.fetchTimeout())
	defer cancel()
	start := time.Now()
	result, err := e.options.Upstreams.Engine(a.plan.candidate.Address).Import(ctx, port.ImportRequest{
		Request: a.job.prompt.Request,
		Model:   a.job.prompt.Model,
		Version: a.plan.version,
		Adapter: a.job.prompt.Adapter,
		Sources: named,
	})
	if err != nil {
		e.counts.importFailures.Inc()
		e.options.Log.Warn("import failed", "request", a.job.prompt.Request.String(),
			"upstream", string(a.plan.candidate.Upstream), "err", err)
		return
	}
	missing = result.Missing
	if result.Bytes > 0 {
		a.importedBlocks = len(result.Present)
	}
	e.recordImport(a.plan, result, before, time.Since(start))
}

// pin pins the copies that the import names, and removes those from the plan
// that may no longer be read.
func (a *answer) pin() pins {
	e := a.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	now, scope := time.Now(), a.plan.scope(a.job)
	var pinned, cachedPins pins
	a.plan.sources, pinned = e.keeper.pin(now, scope, a.plan.sources)
	a.plan.cachedSources, cachedPins = e.keeper.pin(now, scope, a.plan.cachedSources)
	maps.Copy(pinned, cachedPins)
	return pinned
}

// fetchFactor is the multiple of its predicted duration that an import may
// take, in addition to at least fetchSlack, before the request continues
// without it.
const (
	fetchFactor = 4
	fetchSlack  = 250 * time.Millisecond
)

// fetchTimeout returns the timeout of an import: fetchFactor times its
// predicted duration plus a slack, which is at least the time to compute the
// prompt. With a shorter timeout, a fetch that is merely late would cost both
// its own time and the computation.
func (a *answer) fetchTimeout() time.Duration {
	compute := time.Duration(0)
	for _, considered := range a.plan.decision.Considered {
		compute = max(compute, considered.Prefill)
	}
	wait := fetchFactor*a.plan.decision.Fetch + max(fetchSlack, compute)
	return min(wait, a.entry.options.ImportTimeout)
}

// recordImport updates metrics, link speeds and the store directory from a
// finished import. before is the volume of imports in progress when it began.
func (e *Entry) recordImport(p plan, result port.ImportResult, before map[storeTier]int64, took time.Duration) {
	e.counts.importedBlocks.Add(len(result.Present))
	e.counts.missingBlocks.Add(len(result.Missing))
	e.counts.importedBytes.Add(int(result.Bytes))
	missing := make(map[port.BlockID]bool, len(result.Missing))
	for _, block := range result.Missing {
		missing[block] = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retractMissing(p.cachedSources, missing)
	e.retractMissing(p.sources, missing)
	for _, transfer := range p.transfers(result, missing, before, took) {
		e.planner.ObserveTransfer(transfer)
	}
}

// transfers returns the measured transfer of each store tier that an import
// read from.
func (p plan) transfers(result port.ImportResult, missing map[port.BlockID]bool, before map[storeTier]int64, took time.Duration) []route.Transfer {
	read := make(map[storeTier]int64, 1)
	planned := int64(0)
	for _, source := range p.sources {
		if !missing[source.Block] {
			read[p.tierOf(source)] += source.Bytes
			planned += source.Bytes
		}
	}
	if result.Bytes > planned {
		// The store also sent blocks that the engine was expected to hold. The
		// result doesn't report from which store and how many, so the duration
		// can't be attributed to a link.
		return nil
	}
	transfers := make([]route.Transfer, 0, len(read))
	for tier, bytes := range read {
		transfers = append(transfers, route.Transfer{
			Store:        tier.store,
			Slow:         tier.slow,
			PendingBytes: before[tier],
			Bytes:        bytes,
			Took:         took,
		})
	}
	return transfers
}

// retractMissing removes copies that the engine did not find from the store
// directory. The caller holds the mutex.
func (e *Entry) retractMissing(sources []port.BlockSource, missing map[port.BlockID]bool) {
	for _, source := range sources {
		if !missing[source.Block] {
			continue
		}
		if block, err := prefix.ParseBlockID(string(source.Block)); err == nil {
			e.stores.Retract(source.Store, block)
		}
	}
}
