package standin

import (
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/lovagereach/lovagereach/ident"
)

// maxBegun bounds the number of started requests that a requestRing keeps.
const maxBegun = 1 << 16

// Runs is the answer of PathRuns: the requests that a stand-in has run.
type Runs struct {
	// Keys is the number of runs of each idempotency key on a service.
	Keys map[string]int `json:"keys,omitempty"`
	// Begun lists the requests that an engine has started, oldest first. Only
	// the newest 65,536 are kept.
	Begun []ident.Request `json:"begun,omitempty"`
}

// PathRuns is the path that lists the requests that a stand-in has run.
const PathRuns = "/runs"

// RunLog writes a line at the start of each run, so that the runs of a killed
// stand-in remain on record. Several stand-ins may share one RunLog.
type RunLog struct {
	mu  sync.Mutex
	out io.Writer
}

// NewRunLog returns a RunLog that writes to out.
func NewRunLog(out io.Writer) *RunLog { return &RunLog{out: out} }

// The kinds of lines in a run log.
const (
	RunKey     = "key"
	RunRequest = "request"
)

// add writes a line with kind and value; a nil log writes nothing. It panics if
// the write fails, because an incomplete log invalidates every check based on
// it.
func (l *RunLog) add(kind, value string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := fmt.Fprintf(l.out, "%s %q\n", kind, value); err != nil {
		panic("standin: run log: " + err.Error())
	}
}

// requestRing holds the newest maxBegun request identities.
type requestRing struct {
	mu   sync.Mutex
	ids  []ident.Request
	next int
}

func (r *requestRing) add(id ident.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ids) < maxBegun {
		r.ids = append(r.ids, id)
		return
	}
	r.ids[r.next] = id
	r.next = (r.next + 1) % maxBegun
}

func (r *requestRing) list() []ident.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Concat(r.ids[r.next:], r.ids[:r.next])
}
