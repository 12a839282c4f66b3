package simload

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"
)

// DoAll executes runs, at most parallel of them concurrently, and returns their
// results in the same order.
func DoAll(runs []Run, parallel int) ([]Result, error) {
	results := make([]Result, len(runs))
	errs := make([]error, len(runs))
	slots := make(chan struct{}, max(parallel, 1))
	var group sync.WaitGroup
	for i, r := range runs {
		slots <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			results[i], errs[i] = r.Do()
		}()
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// WriteTable writes results as a human-readable table.
func WriteTable(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "workload\tfaults\tpolicy\tclass\ttarget\tp50\tp95\tp99\tmet\trefused\tleft\trecomputed\tbound\tstore link\tdisk\tengine link\tfairness\twrong blocks\tafter fault")
	for _, r := range results {
		for i, c := range r.Classes {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%v\t%v\t%v\t%.2f%%\t%d\t%d\t", r.Workload, r.Faults, r.Policy,
				c.Class, c.Target, rounded(c.P50), rounded(c.P95), rounded(c.P99), 100*c.Met, c.Refused, c.Left)
			if i == 0 {
				fmt.Fprintf(w, "%.2f%%\t%.2f%%\t%.0f%%\t%.0f%%\t%.0f%%\t%.2f\t%d of %d", 100*r.Recomputed, 100*r.Bound,
					100*r.StoreLinks, 100*r.Disks, 100*r.EngineLinks, r.Fairness, r.Violations, r.Reads)
				if r.After.Requests > 0 {
					fmt.Fprintf(w, "\t%.2f%%, p95 %v", 100*r.After.Recomputed, rounded(r.After.P95))
				}
			}
			fmt.Fprintln(w)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	decisions, reads, violations := int64(0), int64(0), int64(0)
	for _, r := range results {
		decisions += r.Decisions
		reads += r.Reads
		violations += r.Violations
	}
	_, err := fmt.Fprintf(out, "%d decisions, %d blocks reused, %d of them of another team, version or generation\n",
		decisions, reads, violations)
	return err
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// WriteCSV writes a header and one row per class of each result.
func WriteCSV(out io.Writer, results []Result) error {
	w := csv.NewWriter(out)
	header := []string{
		"workload", "faults", "policy", "class", "target_s", "p50_s", "p95_s", "p99_s", "met", "requests",
		"refused", "left", "recomputed", "bound", "store_link", "disk", "engine_link", "fairness", "wrong_blocks", "block_reads", "after_recomputed", "after_p95_s",
	}
	if err := w.Write(header); err != nil {
		return err
	}
	for _, r := range results {
		for _, c := range r.Classes {
			row := []string{
				r.Workload, r.Faults, r.Policy, string(c.Class), secondsText(c.Target), secondsText(c.P50),
				secondsText(c.P95), secondsText(c.P99), number(c.Met), strconv.Itoa(c.Requests),
				strconv.Itoa(c.Refused), strconv.Itoa(c.Left), number(r.Recomputed), number(r.Bound),
				number(r.StoreLinks), number(r.Disks), number(r.EngineLinks), number(r.Fairness),
				strconv.FormatInt(r.Violations, 10), strconv.FormatInt(r.Reads, 10),
				number(r.After.Recomputed), secondsText(r.After.P95),
			}
			if err := w.Write(row); err != nil {
				return err
			}
		}
	}
	w.Flush()
	return w.Error()
}

func number(x float64) string { return strconv.FormatFloat(x, 'f', 5, 64) }

func secondsText(d time.Duration) string { return number(d.Seconds()) }
