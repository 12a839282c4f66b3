package loadgen

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/outcome"
)

// Bounds of a recorder.
const (
	maxExamples = 20
	maxReasons  = 32
	// maxMicros is the longest recorded time, ten minutes in microseconds.
	maxMicros         = 600_000_000
	significantDigits = 3
)

// recorder collects the results that callers received.
type recorder struct {
	fresh bool

	mu         sync.Mutex
	classes    map[string]*classStats
	keys       map[string]*keyStats
	refused    []ident.Request // prompts with the outcome not-run
	noOutcome  []ident.Request // prompts whose outcome the caller did not receive
	traces     TraceReport
	examples   []string
	violations Violations
}

type classStats struct {
	counts     [outcome.KindUnknown + 1]uint64
	reasons    map[string]uint64
	overflow   uint64
	resumed    uint64
	fromStore  uint64
	fromCache  uint64
	prompt     uint64
	reused     uint64
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

// keyStats counts the attempts with one idempotency key by outcome.
type keyStats struct {
	sends, notRun, done int
}

func newRecorder(options Options) *recorder {
	l := &recorder{fresh: options.Fresh, classes: make(map[string]*classStats), keys: make(map[string]*keyStats)}
	for i := range options.Prompts {
		l.class(className(&options.Prompts[i]))
	}
	for i := range options.Calls {
		l.class(serviceName(&options.Calls[i]))
	}
	return l
}

func (l *recorder) class(name string) *classStats {
	c := l.classes[name]
	if c == nil {
		c = &classStats{
			reasons:    make(map[string]uint64),
			firstToken: hdrhistogram.New(1, maxMicros, significantDigits),
			total:      hdrhistogram.New(1, maxMicros, significantDigits),
		}
		l.classes[name] = c
	}
	return c
}

// count counts an outcome and its reason, if not empty.
func (c *classStats) count(kind outcome.Kind, reason string) {
	c.counts[kind]++
	if reason == "" {
		return
	}
	name := kind.String() + ": " + reason
	if _, known := c.reasons[name]; !known && len(c.reasons) >= maxReasons {
		name = kind.String() + ": other"
	}
	c.reasons[name]++
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A time outside the histogram's range is recorded as the nearest bound.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicros))
}

func (l *recorder) overflow(class string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.class(class).overflow++
}

// recordPrompt records the result of a prompt.
func (l *recorder) recordPrompt(job promptJob, result promptResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.class(className(job.load))
	c.count(result.kind, result.detail)
	if result.crossed {
		l.violations.Crossed++
		l.addExample("crossed", job.request.String(), result.detail)
	}
	if result.kind == outcome.KindNotRun {
		l.refused = append(l.refused, job.request)
	}
	if result.noOutcome && len(l.noOutcome) < maxNoOutcome {
		l.noOutcome = append(l.noOutcome, job.request)
	}
	if result.kind != outcome.KindDone {
		return
	}
	if result.short {
		l.violations.Short++
		l.addExample("short", job.request.String(), result.detail)
	}
	if l.fresh && job.first && result.reused > 0 {
		l.violations.Shared++
		l.addExample("shared", job.request.String(), fmt.Sprintf("reused %d tokens on first sight", result.reused))
	}
	if result.resumes > 0 {
		c.resumed++
	}
	switch result.keptFrom {
	case string(entry.KeptInStore):
		c.fromStore++
	case string(entry.KeptInCache):
		c.fromCache++
	}
	c.prompt += uint64(result.prompt)
	c.reused += uint64(result.reused)
	record(c.firstToken, result.firstToken)
	record(c.total, result.total)
}

// recordCall records the result of one attempt of a call.
func (l *recorder) recordCall(job callJob, result callResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.class(serviceName(job.load))
	c.count(result.kind, result.detail)
	if result.crossed {
		l.violations.Crossed++
		l.addExample("crossed", job.key, result.detail)
	}
	if result.kind == outcome.KindDone {
		record(c.total, result.total)
	}
	if job.key == "" {
		return
	}
	if result.run > 1 {
		l.addExample("second run answered", job.key, fmt.Sprint(result.run))
	}
	key := l.keys[job.key]
	if key == nil {
		key = &keyStats{}
		l.keys[job.key] = key
	}
	key.sends++
	switch result.kind {
	case outcome.KindNotRun:
		key.notRun++
	case outcome.KindDone:
		key.done++
	}
}

func (l *recorder) addExample(kind, name, detail string) {
	if len(l.examples) < maxExamples {
		l.examples = append(l.examples, strings.TrimSpace(kind+" "+name+" "+detail))
	}
}

func (l *recorder) addNote(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addExample("note:", text, "")
}

// Check compares the outcomes that callers received with the runs on upstreams,
// and counts the violations.
func (l *recorder) Check(ran Ran) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, key := range l.keys {
		runs := ran.Keys[name]
		if runs > 1 {
			l.violations.Doubled++
			l.addExample("doubled", name, fmt.Sprintf("ran %d times", runs))
		}
		if key.notRun == key.sends && runs > 0 {
			l.violations.FalseRefusals++
			l.addExample("false refusal", name, "every answer said not run")
		}
		if key.done > 0 && runs == 0 {
			l.violations.NeverRun++
			l.addExample("never run", name, "an answer said done")
		}
	}
	for _, id := range l.refused {
		if ran.Requests[id] {
			l.violations.FalseRefusals++
			l.addExample("false refusal", id.String(), "an engine began it")
		}
	}
}

func sortLinks(links []Link) []Link {
	slices.SortFunc(links, func(a, b Link) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
	return links
}
