package simload

import (
	"reflect"
	"testing"
	"time"
)

// short reduces a workload to six minutes and 60 prompts.
func short(w *Workload) *Workload {
	w.Duration, w.WarmUp = 6*time.Minute, 2*time.Minute
	w.prompts = 60
	w.engine.cacheBlocks = 60
	return w
}

func do(t *testing.T, r Run) Result {
	t.Helper()
	result, err := r.Do()
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// Runs with equal seeds must give equal results: measurements compare runs of
// different code, and random differences would be taken for effects of the code.
func TestRunsAreReproducible(t *testing.T) {
	for _, name := range Policies() {
		t.Run(name, func(t *testing.T) {
			r := Run{Workload: short(Merrimack()), Policy: name, Seed: 3}
			first, second := do(t, r), do(t, r)
			if !reflect.DeepEqual(first, second) {
				t.Errorf("two runs with one seed differ: %+v and %+v", first.Classes, second.Classes)
			}
		})
	}
}

// faulty returns a run of w with several faults.
func faulty(t *testing.T, w *Workload) Run {
	t.Helper()
	var faults []Fault
	for _, f := range faultsOf(w) {
		switch f.Name {
		case "store-returns-empty", "events-lost", "engine-dies", "entry-dies":
			faults = append(faults, f)
		}
	}
	return Run{Workload: w, Policy: PolicyLovage, Seed: 4, Faults: faults}
}

// Store hosts restart, events are lost, an engine and an entry crash, and prompts of
// two teams have the same text. No request may use a block of another team, version
// or generation.
func TestNoWrongBlockUnderFaults(t *testing.T) {
	result := do(t, faulty(t, short(Merrimack())))
	if result.Violations != 0 {
		t.Errorf("%d of %d blocks were wrong, the first: %s", result.Violations, result.Reads, result.FirstWrong)
	}
	if result.Reads == 0 {
		t.Error("no block was reused, so that nothing was checked")
	}
}

// Verifies that the checker detects violations, by two seeded bugs: block IDs without
// the team, so that a block of another team with the same text is found, and engines
// that use a slot that was freed while they read it.
func TestCheckerCatchesSeededViolations(t *testing.T) {
	t.Run("names without the team", func(t *testing.T) {
		w := short(Merrimack())
		w.sharedScope = true
		if result := do(t, Run{Workload: w, Policy: PolicyLovage, Seed: 4}); result.Violations == 0 {
			t.Error("blocks of another team were not detected")
		}
	})
	t.Run("slots read without a check", func(t *testing.T) {
		w := short(Merrimack())
		r := Run{Workload: w, Policy: PolicyLovage, Seed: 4}
		for i := range 20 {
			// Frequent enough that an import is in progress at some of them.
			r.Faults = append(r.Faults, Fault{
				At: w.WarmUp + time.Duration(i)*7*time.Second, Lasts: time.Second,
				apply: func(s *sim) { s.stores[i%2].crash(s.clock.at) },
				undo:  func(s *sim) { s.stores[i%2].restart() },
			})
		}
		if result := do(t, r); result.Violations != 0 {
			t.Fatalf("%d wrong reads although engines verify imports", result.Violations)
		}
		r.Faults = append(r.Faults, Fault{Name: "unverified", apply: func(s *sim) {
			for _, e := range s.engines {
				e.unverified = true
			}
		}})
		if result := do(t, r); result.Violations == 0 {
			t.Error("reads of freed slots were not detected")
		}
	})
}
