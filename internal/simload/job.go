package simload

import (
	"time"

	"github.com/lovagereach/lovagereach/route"
)

type jobState uint8

const (
	jobNew jobState = iota
	jobQueued
	jobPrefill
	jobDecode
	jobGone
)

// job is one attempt to serve a request.
type job struct {
	req      *request
	arrived  time.Duration
	priority int
	order    uint64
	state    jobState
	engine   *engine
	sent     time.Duration
	// expectedTokens is the prompt work that the sender expects.
	expectedTokens int
	lookedUp       bool
	position       int
	reused         int
	computed       int
	pinned         []*cachedBlock
	// importFrom and importTo bound the tokens that are imported while the job
	// runs.
	importing bool
	// overlapped is true if the job was sent before its import was complete.
	overlapped           bool
	importFrom, importTo int

	queuedAt, startedAt, prefillAt time.Duration
	// successor is the job that replaced this one after its connection was
	// lost.
	successor *job
	// sources are the blocks to import after another job's import has
	// completed.
	sources         []source
	decision        route.Decision
	candidate       route.Candidate
	onFirst, onDone func(*job)
	entry           int
	answered        bool
	finished        bool
}

// nextStop returns the token up to which prefill may run now.
func (j *job) nextStop() int {
	if j.importTo > 0 && j.position < j.importFrom {
		return j.importFrom
	}
	return j.req.tokens
}

// ready reports whether prefill can continue. It must wait when it reaches blocks
// that are still being imported.
func (j *job) ready() bool {
	if !j.importing {
		return true
	}
	return j.importFrom > 0 && (!j.lookedUp || j.position < j.importFrom)
}

func (j *job) expected() int {
	if j.lookedUp {
		return j.req.tokens - j.position
	}
	return j.expectedTokens
}

// latest returns the current job of the request.
func (j *job) latest() *job {
	for j.successor != nil {
		j = j.successor
	}
	return j
}

func (j *job) firstToken() {
	if j.state == jobGone || j.answered {
		return
	}
	j.answered = true
	j.onFirst(j)
}

func (j *job) done() {
	if j.finished {
		return
	}
	j.finished = true
	j.onDone(j)
}

// jobQueue orders jobs by priority, then by arrival.
type jobQueue struct{ items []*job }

func (h *jobQueue) len() int { return len(h.items) }

func (h *jobQueue) before(a, b *job) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.order < b.order
}

// push inserts a job and keeps the items sorted. Queues are short, and a sorted
// slice allows popReady to skip jobs that wait for their import.
func (h *jobQueue) push(j *job) {
	at := len(h.items)
	for at > 0 && h.before(j, h.items[at-1]) {
		at--
	}
	h.items = append(h.items, nil)
	copy(h.items[at+1:], h.items[at:])
	h.items[at] = j
}

func (h *jobQueue) pop() *job { return h.takeAt(0) }

func (h *jobQueue) popReady() *job {
	for i, j := range h.items {
		if j.ready() {
			return h.takeAt(i)
		}
	}
	return nil
}

func (h *jobQueue) takeAt(i int) *job {
	j := h.items[i]
	h.items = append(h.items[:i], h.items[i+1:]...)
	return j
}

func (h *jobQueue) remove(j *job) {
	for i, other := range h.items {
		if other == j {
			h.takeAt(i)
			return
		}
	}
}
