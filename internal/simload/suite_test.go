package simload

import (
	"bytes"
	"encoding/csv"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/prefix"
)

func TestPlanRuns(t *testing.T) {
	faults := len(faultsOf(Merrimack()))
	tests := []struct {
		name string
		plan Plan
		want int
		err  string
	}{
		{"each policy", Plan{Workloads: []string{"merrimack", "adomako"}, Policies: Policies(), Faults: []string{"quiet"}}, 10, ""},
		{"each fault", Plan{Workloads: []string{"adomako"}, Policies: []string{PolicyLovage}, Faults: []string{"single"}}, faults, ""},
		{"each pair", Plan{Workloads: []string{"adomako"}, Policies: []string{PolicyLovage}, Faults: []string{"pairs"}}, faults * (faults - 1) / 2, ""},
		{"named pair", Plan{Workloads: []string{"adomako"}, Policies: []string{PolicyLovage}, Faults: []string{"store-dies+link-slow"}}, 1, ""},
		{"all variants", Plan{Workloads: []string{"adomako"}, Faults: []string{"quiet"}, Variants: []string{"all"}}, len(variants), ""},
		{"unknown workload", Plan{Workloads: []string{"x"}}, 0, `unknown workload "x"`},
		{"unknown fault", Plan{Workloads: []string{"adomako"}, Faults: []string{"x"}}, 0, `unknown fault "x"`},
		{"unknown variant", Plan{Workloads: []string{"adomako"}, Faults: []string{"quiet"}, Variants: []string{"x"}}, 0, `unknown variant "x"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runs, err := tt.plan.Runs()
			if tt.err != "" {
				if err == nil || !strings.Contains(err.Error(), tt.err) {
					t.Fatalf("error %v, want one about %s", err, tt.err)
				}
				return
			}
			if err != nil || len(runs) != tt.want {
				t.Errorf("%d runs, %v; want %d", len(runs), err, tt.want)
			}
		})
	}
	if _, err := DoAll([]Run{{Workload: short(Merrimack()), Policy: "x"}}, 1); err == nil {
		t.Error("an unknown policy ran")
	}
}

// The bound must be that of optimal replacement; otherwise comparisons with it are
// too favourable. For the uses a b c a b, a capacity of one block saves one use if
// a is kept, and a capacity of two saves both if c is never kept.
func TestRecomputeBound(t *testing.T) {
	w := &Workload{Engines: 1}
	var requests []*request
	for i, name := range []byte{'a', 'b', 'c', 'a', 'b'} {
		requests = append(requests, &request{
			at: time.Duration(i) * time.Second, blocks: []prefix.BlockID{{name}}, tokens: blockTokens,
		})
	}
	for room, want := range map[int]float64{0: 1, 1: 0.8, 2: 0.6, 3: 0.6} {
		w.engine.cacheBlocks = room
		if got := recomputeBound(w, requests); math.Abs(got-want) > 1e-9 {
			t.Errorf("capacity of %d blocks: bound %v, want %v", room, got, want)
		}
	}
}

// Links are shared: a background piece must wait for urgent ones, and two pieces
// must take twice as long as one.
func TestLink(t *testing.T) {
	var c clock
	l := &link{clock: &c, rate: 100}
	var order []string
	send := func(name string, background bool) {
		l.send(100, background, func() { order = append(order, name+" "+c.at.String()) })
	}
	send("first", false)
	send("export", true)
	send("second", false)
	c.runUntil(time.Minute)
	if got := strings.Join(order, ", "); got != "first 1s, second 2s, export 3s" {
		t.Errorf("transfers: %s", got)
	}
}

// Writes the reports of a short run: the table must have the number of wrong blocks,
// the CSV one row per class, and the plot must be an SVG file.
func TestReport(t *testing.T) {
	results := []Result{do(t, Run{Workload: short(Merrimack()), Policy: PolicyLeastLoaded, Seed: 1})}
	var table, rows bytes.Buffer
	if err := WriteTable(&table, results); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(table.String(), "0 of them of another team") {
		t.Errorf("table: %s", table.String())
	}
	if err := WriteCSV(&rows, results); err != nil {
		t.Fatal(err)
	}
	records, err := csv.NewReader(&rows).ReadAll()
	if err != nil || len(records) != 1+3 {
		t.Errorf("%d rows, %v; want a header and three classes", len(records), err)
	}
	path := filepath.Join(t.TempDir(), "plot.svg")
	if err := WritePlot(path, results); err != nil {
		t.Fatal(err)
	}
	if content, err := os.ReadFile(path); err != nil || !bytes.Contains(content, []byte("<svg")) {
		t.Errorf("no SVG was written: %v", err)
	}
}
