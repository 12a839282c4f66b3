package simload

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// secondVersion is the version that a swap loads.
const secondVersion ident.Version = "v2"

// swap replaces the weights of all engines, a few at a time. An engine drains: it is
// offered no new jobs once the entries are informed, and completes those it has under
// the old weights. It then loads and restarts as a new incarnation with an empty cache.
type swap struct {
	sim     *sim
	waiting []*engine
}

// swapVersion starts a rolling swap.
func (s *sim) swapVersion() {
	sw := &swap{sim: s, waiting: append([]*engine(nil), s.engines...)}
	for range s.work.loadsAtOnce {
		sw.next()
	}
}

func (sw *swap) next() {
	if len(sw.waiting) == 0 {
		return
	}
	e := sw.waiting[0]
	sw.waiting = sw.waiting[1:]
	if e.dead || e.leaving {
		sw.next()
		return
	}
	e.leaving = true
	sw.sim.clock.after(drainDelay, func() { sw.drain(e) })
}

// drainDelay is the time after which all entries have been informed that an engine
// drains: one announcement period and the transmission.
const drainDelay = announcePeriod + 100*time.Millisecond

// drain waits until the engine has no jobs, then loads the new version.
func (sw *swap) drain(e *engine) {
	if e.running > 0 || e.queue.len() > 0 {
		sw.sim.clock.after(100*time.Millisecond, func() { sw.drain(e) })
		return
	}
	sw.sim.clock.after(sw.sim.work.loadTime, func() {
		e.restart(secondVersion)
		sw.sim.swapped++
		sw.next()
	})
}

// restart starts a new incarnation of an engine with other weights.
func (e *engine) restart(version ident.Version) {
	e.incarnation++
	e.version = version
	e.leaving = false
	clear(e.cache.blocks)
	e.cache.recent.Init()
	e.feed.batch, e.feed.sequence = nil, 0
}

// versionFor returns the version for a new request. The new version is chosen with
// the probability of its share of the engines that accept work, so that the load on
// both versions is proportional to their engines.
func (s *sim) versionFor() ident.Version {
	if s.swapped == 0 {
		return firstVersion
	}
	offered := s.offered()
	fresh := 0
	for _, e := range offered {
		if e.version == secondVersion {
			fresh++
		}
	}
	if len(offered) > 0 && s.random.IntN(len(offered)) < fresh {
		return secondVersion
	}
	return firstVersion
}

// setVersion changes the version of a request that has not started, and with it the
// IDs of its blocks.
func (s *sim) setVersion(r *request, version ident.Version) {
	if version == r.version {
		return
	}
	r.version = version
	r.blocks = chainOf(r.source, len(r.blocks), version, s.work.sharedScope)
}
