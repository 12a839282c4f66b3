package audit_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/retry"
)

// BenchmarkRepeatableRequest measures the audit and outcome tracking of a repeatable
// request of a sampled class, with 1,000 other requests in flight.
func BenchmarkRepeatableRequest(b *testing.B) {
	const others = 1000
	table := audit.NewTable(audit.DefaultOptions())
	tracker := retry.NewTracker(1 << 16)
	budgets := retry.NewBudgets(retry.DefaultBudgetOptions())
	now := time.Now()
	o := audit.Opening{Team: "t", Class: "c", Entry: "e1", Accepted: now, Deadline: now.Add(time.Minute), Mode: audit.ModeSampled}
	open := func(n uint64) {
		binary.BigEndian.PutUint64(o.Request[:], n)
		if err := tracker.Start(o.Request); err != nil {
			b.Fatal(err)
		}
		if err := table.Open(o); err != nil {
			b.Fatal(err)
		}
	}
	for n := range uint64(others) {
		open(1<<40 + n)
	}
	blocks := []string{"b1", "b2", "b3", "b4"}
	b.ReportAllocs()
	for n := uint64(1); b.Loop(); n++ {
		open(n)
		budgets.First(o.Team, o.Class)
		attempt := tracker.Send(o.Request, "u1")
		if !tracker.Match(o.Request, attempt, "u1") {
			b.Fatal("the request's own answer does not match")
		}
		err := retry.Classify(retry.Evidence{Wrote: true, Answered: true, Complete: true, Status: 200})
		tracker.Finish(o.Request)
		table.Close(o.Request, audit.Closing{
			Kind: outcome.KindOf(err), Upstream: "u1", Version: "v1", KeptPrompt: "b4", Blocks: blocks, Decided: now,
		})
	}
}

// BenchmarkTraceSnapshot measures a snapshot with a full ring of closed requests. The
// group applies no commands meanwhile.
func BenchmarkTraceSnapshot(b *testing.B) {
	trace := audit.NewTrace()
	now := time.Now()
	for n := range uint64(audit.MaxTraceClosed) {
		o := audit.Opening{Team: "t", Class: "c", Entry: "e1", Accepted: now, Deadline: now.Add(time.Minute), Mode: audit.ModeFull}
		binary.BigEndian.PutUint64(o.Request[:], n)
		c := audit.Closing{Kind: outcome.KindDone, Upstream: "u1", Version: "v1", KeptPrompt: "b4", Decided: now}
		trace.Execute(audit.TraceCommand{
			Source: audit.Source{Host: "e1", Incarnation: 1}, Sequence: n + 1, Open: []audit.Opening{o},
			Close: []audit.TracedClosing{{Request: o.Request, Closing: c}},
		})
	}
	for b.Loop() {
		if _, err := trace.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTraceCommand measures the encoding, decoding and application of a report
// that opens 64 requests and closes 64, as on each host of a group.
func BenchmarkTraceCommand(b *testing.B) {
	const batch = 64
	trace := audit.NewTrace()
	now := time.Now()
	c := audit.TraceCommand{Source: audit.Source{Host: "e1", Incarnation: 1}}
	for range batch {
		o := audit.Opening{Team: "t", Class: "c", Entry: "e1", Accepted: now, Deadline: now.Add(time.Minute), Mode: audit.ModeFull}
		c.Open = append(c.Open, o)
		c.Close = append(c.Close, audit.TracedClosing{Closing: audit.Closing{Kind: outcome.KindDone, Upstream: "u1", Version: "v1", Decided: now}})
	}
	size := 0
	for n := uint64(1); b.Loop(); n++ {
		c.Sequence = n
		for i := range c.Open {
			binary.BigEndian.PutUint64(c.Open[i].Request[:], n*batch+uint64(i))
			c.Close[i].Request = c.Open[i].Request
		}
		data := c.Encode()
		size = len(data)
		var decoded audit.TraceCommand
		if err := wire.Unmarshal(data, &decoded); err != nil {
			b.Fatal(err)
		}
		trace.Execute(decoded)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/request")
	b.ReportMetric(float64(size)/batch, "B/request")
}
