package simload

import (
	"time"

	"github.com/lovagereach/lovagereach/prefix"
)

// importWindow is the number of blocks of one import in transfer at the same
// time.
const importWindow = 4

// unreachableDelay is the time after which a request to an unreachable store host
// fails.
const unreachableDelay = 20 * time.Millisecond

// source is a block to import, with its location in the policy's local view.
type source struct {
	id         prefix.BlockID
	store      *store
	generation uint64
	// slow is true if the block is on disk in the policy's local view.
	slow bool
	// held is true if the engine already has the block in the policy's local
	// view.
	held bool
}

// importer transfers blocks from store hosts into an engine's cache.
type importer struct {
	engine   *engine
	job      *job
	sources  []source
	next     int
	inFlight int
	arrived  int
	missing  []source
	started  time.Duration
	done     func(*importer)
	finished bool
}

func (s *sim) startImport(e *engine, j *job, sources []source, done func(*importer)) {
	im := &importer{engine: e, job: j, sources: sources, done: done, started: s.clock.at}
	im.fetchNext()
}

func (im *importer) fetchNext() {
	for im.inFlight < importWindow && im.next < len(im.sources) {
		src := im.sources[im.next]
		im.next++
		im.inFlight++
		im.fetch(src)
	}
	if im.inFlight == 0 && !im.finished {
		im.finished = true
		im.done(im)
	}
}

func (im *importer) fetch(src source) {
	if im.engine.cache.blocks[src.id] != nil {
		im.present(src)
		return
	}
	h, tier := src.store.open(src.id, src.generation)
	if h == nil {
		im.engine.clock.after(unreachableDelay, func() { im.failed(src) })
		return
	}
	from := h.origin
	path := []*link{src.store.link, im.engine.link}
	if tier == prefix.Disk {
		path = []*link{src.store.disk, src.store.link, im.engine.link}
	}
	sendThrough(path, blockBytes, false, func() {
		// The reader verifies generation and checksum after the transfer: if the
		// store host has crashed in the meantime, the block is missing, but never
		// wrong.
		if h, _ := src.store.open(src.id, src.generation); h == nil && !im.engine.unverified {
			im.failed(src)
			return
		}
		im.engine.check.imported(src)
		im.landed(src, from)
	})
}

// present pins a block that the engine already has until the job has run.
// Otherwise the cached prefix could be evicted during the import of the rest, and
// the complete prompt would be recomputed.
func (im *importer) present(src source) {
	im.inFlight--
	im.pin(im.engine.cache.blocks[src.id])
}

func (im *importer) pin(h *cachedBlock) {
	if im.job.state == jobGone {
		return
	}
	h.pins++
	im.job.pinned = append(im.job.pinned, h)
}

func (im *importer) landed(src source, from origin) {
	im.inFlight--
	im.arrived++
	e := im.engine
	fresh := e.cache.blocks[src.id] == nil
	if h := e.cache.put(src.id, from); h != nil {
		if fresh {
			e.feed.stored(src.id, nil)
		}
		im.pin(h)
	}
	im.fetchNext()
}

func (im *importer) failed(src source) {
	im.inFlight--
	im.missing = append(im.missing, src)
	im.fetchNext()
}
