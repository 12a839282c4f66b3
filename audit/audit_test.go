package audit

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

var testNow = time.Unix(1_764_700_000, 0)

func opening(n byte, batch, item string) Opening {
	return Opening{
		Request: ident.Request{n}, Team: "ledger", Class: "mapping-checks", Entry: "e1",
		Accepted: testNow, Deadline: testNow.Add(time.Minute), Mode: ModeFull, Batch: batch, Item: item,
	}
}

func closing(kind outcome.Kind) Closing {
	return Closing{Kind: kind, Upstream: "kwasi-1", Version: "v3", KeptPrompt: "b7", ReusedTokens: 7000, Decided: testNow}
}

// A request is accepted and the entry host loses it, so it never gets an outcome. It
// must be listed as soon as its deadline has passed: once in the log, and in queries
// for as long as it is open.
func TestRequestsWithoutOutcomeAreListed(t *testing.T) {
	table := NewTable(DefaultOptions())
	for n := range byte(3) {
		if err := table.Open(opening(n, "", "")); err != nil {
			t.Fatal(err)
		}
	}
	if err := table.Open(opening(0, "", "")); !errors.Is(err, ErrDuplicate) {
		t.Errorf("second opening: %v", err)
	}
	if _, ok := table.Close(ident.Request{1}, closing(outcome.KindDone)); !ok {
		t.Error("an open request can't be closed")
	}
	if _, ok := table.Close(ident.Request{1}, closing(outcome.KindDone)); ok {
		t.Error("a request was closed twice")
	}
	due := testNow.Add(time.Minute)
	if got := table.NewlyOverdue(due); len(got) != 0 {
		t.Errorf("%d requests overdue at their deadline", len(got))
	}
	late := due.Add(time.Second)
	if got := table.NewlyOverdue(late); len(got) != 2 {
		t.Errorf("%d requests newly overdue, want 2", len(got))
	}
	if got := table.NewlyOverdue(late); len(got) != 0 {
		t.Errorf("%d requests reported twice", len(got))
	}
	if got := table.Query(late, Query{Open: true}).Records; len(got) != 2 || got[0].Opening.Request != (ident.Request{0}) {
		t.Errorf("open requests: %+v", got)
	}
	want := Counts{Opened: 3, Closed: 1, Overdue: 2, Unmatched: 1}
	if got := table.Counts(); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}

// More requests arrive than the table has capacity for. The one beyond the limit must
// be refused before it runs, instead of being answered without a trace. The oldest
// closed records are dropped, so that their number is bounded.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(Options{MaxOpen: 2, MaxClosed: 3, SampleEvery: 4})
	for n := range byte(2) {
		if err := table.Open(opening(n, "", "")); err != nil {
			t.Fatal(err)
		}
	}
	if err := table.Open(opening(9, "", "")); !errors.Is(err, ErrFull) {
		t.Errorf("opening beyond the limit: %v", err)
	}
	table.Close(ident.Request{0}, closing(outcome.KindDone))
	table.Close(ident.Request{1}, closing(outcome.KindDone))
	for n := range byte(40) {
		o := opening(n, "", "")
		o.Mode = ModeSampled
		if err := table.Open(o); err != nil {
			t.Fatal(err)
		}
		table.Close(o.Request, closing(outcome.KindDone))
	}
	if got := table.Query(testNow, Query{}).Records; len(got) != 3 {
		t.Errorf("%d closed records are retained, want 3", len(got))
	}
	if got := table.Query(testNow, Query{Limit: 2}); len(got.Records) != 2 || !got.More {
		t.Errorf("limited query: %d records, more %v", len(got.Records), got.More)
	}
}

// reporter executes commands on a trace and on a second trace restored from its
// snapshot, and checks that both have equal results and states.
type reporter struct {
	t        *testing.T
	trace    *Trace
	sequence uint64
}

func (r *reporter) send(c TraceCommand) TraceResult {
	r.t.Helper()
	r.sequence++
	c.Source, c.Sequence, c.NowMillis = Source{Host: "e1", Incarnation: 1}, r.sequence, testNow.UnixMilli()
	return r.apply(c)
}

func (r *reporter) apply(c TraceCommand) TraceResult {
	r.t.Helper()
	before, err := r.trace.Snapshot()
	if err != nil {
		r.t.Fatal(err)
	}
	restored := NewTrace()
	if err := restored.Restore(before); err != nil {
		r.t.Fatal(err)
	}
	got, other := r.trace.Execute(c), restored.Execute(c)
	if fmt.Sprint(got) != fmt.Sprint(other) {
		r.t.Fatalf("the restored trace returned %+v, the original %+v", other, got)
	}
	state, _ := r.trace.Snapshot()
	restoredState, _ := restored.Snapshot()
	if !bytes.Equal(state, restoredState) {
		r.t.Fatal("the restored trace differs from the original after the same command")
	}
	return got
}

func (r *reporter) status(now time.Time) BatchStatus {
	r.t.Helper()
	found := r.trace.Query(now, Query{Batch: "night-1"})
	if len(found.Batches) != 1 {
		r.t.Fatalf("%d batches found", len(found.Batches))
	}
	return found.Batches[0]
}

// One item of a batch is refused as not run and not resent, another is never sent. The
// batch must stay open, and be listed as overdue after its deadline, until both items
// are resolved.
func TestBatchIsCompleteOnlyWhenAllItemsAreResolved(t *testing.T) {
	r := &reporter{t: t, trace: NewTrace()}
	late := testNow.Add(time.Hour)
	declaration := Declaration{BatchID: BatchID{Team: "ledger", Batch: "night-1"}, Expected: 3, Deadline: testNow.Add(time.Minute)}
	if got := r.send(TraceCommand{Open: []Opening{opening(1, "night-1", "t1")}}); len(got.Full) != 1 {
		t.Error("a request was accepted into a batch that is not declared")
	}
	r.send(TraceCommand{Declare: []Declaration{declaration}})
	other := declaration
	other.Expected = 4
	if got := r.send(TraceCommand{Declare: []Declaration{declaration, other}}); len(got.Refused) != 1 {
		t.Errorf("repeated declaration and one with another count: %+v", got)
	}
	r.send(TraceCommand{
		Open:  []Opening{opening(1, "night-1", "t1"), opening(2, "night-1", "t2")},
		Close: []TracedClosing{{Request: ident.Request{1}, Closing: closing(outcome.KindDone)}},
	})
	r.send(TraceCommand{Close: []TracedClosing{{Request: ident.Request{2}, Closing: closing(outcome.KindNotRun)}}})
	if s := r.status(testNow); s.State != BatchOpen || s.Resolved != 1 || s.Unresolved != 1 || s.Missing != 1 {
		t.Errorf("status %+v", s)
	}
	if got := r.trace.Query(late, Query{Open: true}).Batches; len(got) != 1 || got[0].State != BatchOverdue {
		t.Errorf("overdue batches: %+v", got)
	}
	r.send(TraceCommand{
		Open: []Opening{opening(3, "night-1", "t2"), opening(4, "night-1", "t3")},
		Close: []TracedClosing{
			{Request: ident.Request{3}, Closing: closing(outcome.KindDone)},
			{Request: ident.Request{4}, Closing: closing(outcome.KindFailed)},
		},
	})
	if s := r.status(late); s.State != BatchComplete || s.Resolved != 3 {
		t.Errorf("status %+v", s)
	}
	if got := r.trace.Query(late, Query{Open: true}); len(got.Batches)+len(got.Records) != 0 {
		t.Errorf("listed after completion: %+v", got)
	}
}

// A report is resent after a lost answer, or a duplicate arrives after the request was
// closed. Opening the request a second time would list a completed request as lost.
func TestReportsAreAppliedOnce(t *testing.T) {
	r := &reporter{t: t, trace: NewTrace()}
	source := Source{Host: "e1", Incarnation: 2}
	openReport := TraceCommand{Source: source, Sequence: 1, Open: []Opening{opening(1, "", "")}}
	closeReport := TraceCommand{Source: source, Sequence: 2, Close: []TracedClosing{{Request: ident.Request{1}, Closing: closing(outcome.KindDone)}}}
	stale := openReport
	stale.Source.Incarnation, stale.Sequence = 1, 9
	steps := []struct {
		name    string
		command TraceCommand
		applied bool
		open    int
	}{
		{"opened", openReport, true, 1},
		{"resent immediately", openReport, true, 1},
		{"closed", closeReport, true, 0},
		{"late duplicate", openReport, false, 0},
		{"report of a previous incarnation", stale, false, 0},
	}
	for _, s := range steps {
		if got := r.apply(s.command); got.Applied != s.applied || r.trace.OpenCount() != s.open {
			t.Errorf("%s: applied %v with %d open", s.name, got.Applied, r.trace.OpenCount())
		}
	}
	if got := r.trace.Query(testNow, Query{Team: "ledger"}).Records; len(got) != 1 || got[0].KeptPrompt != "b7" {
		t.Errorf("records %+v", got)
	}
}

func TestRecordAsJSON(t *testing.T) {
	closed := Record{Opening: opening(1, "", ""), Closing: closing(outcome.KindNotRun), Closed: true}
	open := Record{Opening: opening(1, "", "")}
	for want, record := range map[string]Record{`"outcome":"not-run"`: closed, `"outcome":"none"`: open} {
		data, err := json.Marshal(record)
		if err != nil || !strings.Contains(string(data), want) {
			t.Errorf("%s (%v) lacks %s", data, err, want)
		}
	}
}
