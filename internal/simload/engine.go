package simload

import (
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// engineSpec holds the parameters shared by the engines of a workload.
type engineSpec struct {
	slots       int
	prefillRate float64 // tokens per second
	cacheBlocks int
	linkRate    float64 // bytes per second
	tokenTime   time.Duration
	// chunkTokens is the number of tokens of prefill between two checks of the
	// queue.
	chunkTokens int
	// overlaps makes prefill start while blocks are still being imported.
	overlaps bool
}

// engine is one runner.
type engine struct {
	name        ident.Upstream
	dc          ident.DataCentre
	incarnation ident.Incarnation
	spec        *engineSpec
	clock       *clock
	link        *link
	cache       *cache
	feed        feed
	check       *checker
	version     ident.Version

	queue   jobQueue // waiting for a slot
	prefill jobQueue // holding a slot, prompt not yet computed
	running int
	busy    bool
	// current is the job whose chunk is being computed.
	current *job
	leaving bool
	// silent stops the announcements.
	silent bool
	// dead is true after a crash: the engine neither answers nor completes jobs.
	dead bool
	// unverified makes the engine use imported blocks without verification. It
	// is set only by the test of the checker.
	unverified bool
	active     []*job
	arrived    uint64
	// computed is the number of prompt tokens computed.
	computed int64
}

func newEngine(s *sim, name ident.Upstream, dc ident.DataCentre, spec *engineSpec) *engine {
	e := &engine{
		name: name, dc: dc, incarnation: 1, spec: spec, clock: &s.clock,
		link: &link{clock: &s.clock, rate: spec.linkRate}, check: &s.check, version: firstVersion,
	}
	e.feed = newFeed(s, e.name)
	e.cache = newCache(spec.cacheBlocks, func(h *cachedBlock) { e.feed.removed(h.id) })
	return e
}

// submit queues a job that has reached the engine.
func (e *engine) submit(j *job) {
	e.arrived++
	j.order = e.arrived
	j.engine = e
	j.queuedAt = e.clock.at
	j.state = jobQueued
	e.queue.push(j)
	e.start()
}

// start assigns free slots to queued jobs.
func (e *engine) start() {
	for e.running < e.spec.slots && e.queue.len() > 0 {
		j := e.queue.pop()
		e.running++
		e.active = append(e.active, j)
		j.state = jobPrefill
		j.startedAt = e.clock.at
		e.prefill.push(j)
	}
	e.compute()
}

// compute runs the next chunk of prefill.
func (e *engine) compute() {
	if e.busy {
		return
	}
	j := e.prefill.popReady()
	if j == nil {
		return
	}
	if !j.lookedUp {
		e.lookUp(j)
		if !j.ready() {
			e.prefill.push(j)
			e.compute()
			return
		}
	}
	chunk := min(e.spec.chunkTokens, j.nextStop()-j.position)
	e.busy = true
	e.current = j
	e.computed += int64(chunk)
	e.clock.after(seconds(float64(chunk)/e.spec.prefillRate), func() {
		if e.dead {
			return
		}
		e.busy, e.current = false, nil
		e.computedChunk(j, chunk)
		e.compute()
	})
}

// lookUp finds the cached prefix of the prompt and pins it.
func (e *engine) lookUp(j *job) {
	j.lookedUp = true
	j.prefillAt = e.clock.at
	reused := e.cache.longest(j.req.blocks)
	for _, h := range reused {
		e.check.read(j, h.origin)
		h.pins++
	}
	e.cache.markUsed(reused)
	j.pinned = append(j.pinned, reused...)
	j.position = min(len(reused)*blockTokens, j.req.tokens-1)
	j.reused = j.position
}

func (e *engine) computedChunk(j *job, chunk int) {
	j.position += chunk
	j.computed += chunk
	if j.state == jobGone {
		return
	}
	if j.position >= j.importFrom && j.position < j.importTo && !j.importing {
		e.useImported(j)
	}
	if j.position < j.req.tokens {
		e.prefill.push(j)
		return
	}
	e.finishPrefill(j)
}

// importDone continues a job that waited for its import.
func (e *engine) importDone(j *job) {
	j.importing = false
	if j.state != jobPrefill {
		return
	}
	if j.lookedUp && j.position >= j.importFrom && j.position < j.importTo {
		e.useImported(j)
	}
	e.compute()
}

// useImported skips the prefill of blocks that were imported while the job computed
// those before them.
func (e *engine) useImported(j *job) {
	first := j.position / blockTokens
	for _, id := range j.req.blocks[first:] {
		h := e.cache.blocks[id]
		if h == nil {
			break
		}
		e.check.read(j, h.origin)
		h.pins++
		j.pinned = append(j.pinned, h)
		next := min((first+1)*blockTokens, j.req.tokens-1)
		j.reused += next - j.position
		j.position = next
		first++
	}
	j.importTo = 0
}

// finishPrefill finishes prefill: it adds the prompt's blocks to the cache and
// starts decoding.
func (e *engine) finishPrefill(j *job) {
	j.state = jobDecode
	for i := len(j.req.blocks) - 1; i >= 0; i-- {
		id := j.req.blocks[i]
		fresh := e.cache.blocks[id] == nil
		h := e.cache.put(id, origin{j.req.team, e.version})
		if h != nil && fresh {
			e.feed.stored(id, nil)
		}
	}
	e.clock.after(e.spec.tokenTime, func() {
		if !e.dead && j.state != jobGone {
			j.firstToken()
		}
	})
	e.clock.after(time.Duration(j.req.output)*e.spec.tokenTime, func() { e.finish(j) })
}

func (e *engine) finish(j *job) {
	if j.state == jobGone || e.dead {
		return
	}
	e.release(j)
	j.done()
}

// release frees a running job's slot and pins.
func (e *engine) release(j *job) {
	j.state = jobGone
	e.running--
	at := slices.Index(e.active, j)
	e.active = slices.Delete(e.active, at, at+1)
	e.unpin(j)
	e.start()
}

func (e *engine) unpin(j *job) {
	for _, h := range j.pinned {
		h.pins--
	}
	j.pinned = nil
}

// cancel removes a job whose caller has left.
func (e *engine) cancel(j *job) {
	if e.dead {
		return
	}
	switch j.state {
	case jobQueued:
		e.queue.remove(j)
		j.state = jobGone
		e.unpin(j)
	case jobPrefill, jobDecode:
		e.prefill.remove(j)
		e.release(j)
	}
}

// queuedTokens returns the number of accepted prompt tokens that are not yet
// computed.
func (e *engine) queuedTokens() int64 {
	total := int64(0)
	if e.current != nil {
		total = int64(e.current.expected())
	}
	for _, j := range e.queue.items {
		total += int64(j.expected())
	}
	for _, j := range e.prefill.items {
		total += int64(j.expected())
	}
	return total
}
