package loadgen

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// Report is the result of a run.
type Report struct {
	Seconds    float64       `json:"seconds"`
	Seed       uint64        `json:"seed"`
	Classes    []ClassReport `json:"classes"`
	Links      []Link        `json:"links,omitempty"`
	Violations Violations    `json:"violations"`
	// Keys is the number of idempotency keys that were used.
	Keys int `json:"keys"`
	// Traces counts the prompts whose outcome callers did not receive.
	Traces   TraceReport `json:"traces"`
	Examples []string    `json:"examples,omitempty"`
}

// ClassReport is the result for one class of prompts or one service.
type ClassReport struct {
	Class    string `json:"class"`
	Done     uint64 `json:"done"`
	Failed   uint64 `json:"failed"`
	NotRun   uint64 `json:"not_run"`
	Unknown  uint64 `json:"unknown"`
	Overflow uint64 `json:"overflow"`
	// Reasons counts the reasons of outcomes other than done.
	Reasons map[string]uint64 `json:"reasons,omitempty"`
	Resumed uint64            `json:"resumed"`
	// FromCache and FromStore count answers that used a kept prompt.
	FromCache uint64 `json:"from_cache"`
	FromStore uint64 `json:"from_store"`
	// FirstToken and Total are measured from the time at which a request was
	// due.
	FirstToken Times `json:"first_token"`
	Total      Times `json:"total"`
	// Recomputed is the fraction of prompt tokens that were not reused.
	Recomputed float64 `json:"recomputed"`
}

// Times are percentiles in milliseconds.
type Times struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Link is the traffic on one stand-in's link in bytes.
type Link struct {
	Upstream       ident.Upstream `json:"upstream"`
	In             uint64         `json:"in"`
	Out            uint64         `json:"out"`
	BytesPerSecond float64        `json:"bytes_per_second"`
	// Rejected is the number of imported blocks that failed verification, Wrong
	// the number of cached blocks that a request named although they belong to
	// another prompt, version or adapter.
	Rejected uint64 `json:"rejected"`
	Wrong    uint64 `json:"wrong"`
}

// Violations counts events that must never happen.
type Violations struct {
	// Crossed counts answers with content of another request.
	Crossed uint64 `json:"crossed"`
	// Short counts answers that were marked complete but were not.
	Short uint64 `json:"short"`
	// Shared counts prompts that reused tokens of another team's prompt.
	Shared uint64 `json:"shared"`
	// Doubled counts idempotency keys that ran more than once.
	Doubled uint64 `json:"doubled"`
	// FalseRefusals counts requests that ran although the answer stated that
	// they had not run.
	FalseRefusals uint64 `json:"false_refusals"`
	// Untraced counts prompts that ran, whose outcome the caller did not receive
	// and that have no audit record.
	Untraced uint64 `json:"untraced"`
	// NeverRun counts keys with the outcome done that no replica ran.
	NeverRun uint64 `json:"never_run"`
	// WrongBlocks counts kept blocks that a request named although they belong
	// to another prompt, team, version or adapter.
	WrongBlocks uint64 `json:"wrong_blocks"`
}

// Any reports whether there is any violation.
func (v Violations) Any() bool { return v != Violations{} }

func (l *recorder) report(options Options, elapsed time.Duration, links []Link) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := &Report{
		Seconds:    elapsed.Seconds(),
		Seed:       options.Seed,
		Links:      links,
		Violations: l.violations,
		Keys:       len(l.keys),
		Traces:     l.traces,
		Examples:   l.examples,
	}
	for _, link := range links {
		report.Violations.WrongBlocks += link.Wrong
	}
	for _, name := range slices.Sorted(maps.Keys(l.classes)) {
		report.Classes = append(report.Classes, l.classes[name].report(name))
	}
	return report
}

func (c *classStats) report(name string) ClassReport {
	report := ClassReport{
		Class:      name,
		Done:       c.counts[outcome.KindDone],
		Failed:     c.counts[outcome.KindFailed],
		NotRun:     c.counts[outcome.KindNotRun],
		Unknown:    c.counts[outcome.KindUnknown],
		Overflow:   c.overflow,
		Reasons:    c.reasons,
		Resumed:    c.resumed,
		FromCache:  c.fromCache,
		FromStore:  c.fromStore,
		FirstToken: timesOf(c.firstToken),
		Total:      timesOf(c.total),
	}
	if c.prompt > 0 {
		report.Recomputed = 1 - float64(c.reused)/float64(c.prompt)
	}
	return report
}

func timesOf(h *hdrhistogram.Histogram) Times {
	milliseconds := func(micros int64) float64 { return float64(micros) / 1000 }
	return Times{
		P50: milliseconds(h.ValueAtPercentile(50)),
		P95: milliseconds(h.ValueAtPercentile(95)),
		P99: milliseconds(h.ValueAtPercentile(99)),
		Max: milliseconds(h.Max()),
	}
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

var csvHeader = []string{
	"class", "done", "failed", "not_run", "unknown", "overflow", "resumed", "from_cache", "from_store",
	"ttft_p50_ms", "ttft_p95_ms", "ttft_p99_ms", "total_p50_ms", "total_p95_ms", "total_p99_ms", "recomputed",
}

// WriteCSV writes a header and one line per class.
func (r *Report) WriteCSV(w io.Writer) error {
	writer := csv.NewWriter(w)
	_ = writer.Write(csvHeader) // Flush reports the error
	for _, c := range r.Classes {
		row := []string{c.Class}
		for _, count := range []uint64{c.Done, c.Failed, c.NotRun, c.Unknown, c.Overflow, c.Resumed, c.FromCache, c.FromStore} {
			row = append(row, strconv.FormatUint(count, 10))
		}
		for _, value := range []float64{
			c.FirstToken.P50, c.FirstToken.P95, c.FirstToken.P99,
			c.Total.P50, c.Total.P95, c.Total.P99, c.Recomputed,
		} {
			row = append(row, strconv.FormatFloat(value, 'f', 3, 64))
		}
		_ = writer.Write(row)
	}
	writer.Flush()
	return writer.Error()
}

// WriteText writes the report as a human-readable table.
func (r *Report) WriteText(w io.Writer) {
	line := func(format string, args ...any) {
		_, _ = fmt.Fprintf(w, format+"\n", args...) // a failed write to the terminal is ignored
	}
	line("%-24s %7s %6s %7s %7s %9s %9s %9s %10s %6s %6s", "class", "done", "failed", "not-run", "unknown", "p50 ms", "p95 ms", "p99 ms", "recomputed", "cache", "store")
	for _, c := range r.Classes {
		times := c.FirstToken
		if times == (Times{}) {
			times = c.Total
		}
		line("%-24s %7d %6d %7d %7d %9.2f %9.2f %9.2f %10.3f %6d %6d", c.Class, c.Done, c.Failed, c.NotRun, c.Unknown, times.P50, times.P95, times.P99, c.Recomputed, c.FromCache, c.FromStore)
	}
	for _, c := range r.Classes {
		for _, reason := range slices.Sorted(maps.Keys(c.Reasons)) {
			line("%-24s %7d %s", c.Class, c.Reasons[reason], reason)
		}
	}
	for _, link := range r.Links {
		if link.In+link.Out > 0 {
			line("link %-19s in %d B, out %d B, %.0f B/s, rejected %d", link.Upstream, link.In, link.Out, link.BytesPerSecond, link.Rejected)
		}
	}
	if t := r.Traces; t.Unheard > 0 {
		line("prompts begun and never heard of %d; by the audit %d have an outcome, %d are open", t.Unheard, t.Closed, t.Open)
	}
	v := r.Violations
	line("keys %d; crossed %d, short %d, shared %d, doubled %d, false refusals %d, untraced %d, never run %d, wrong blocks %d",
		r.Keys, v.Crossed, v.Short, v.Shared, v.Doubled, v.FalseRefusals, v.Untraced, v.NeverRun, v.WrongBlocks)
	for _, example := range r.Examples {
		line("  %s", example)
	}
}
