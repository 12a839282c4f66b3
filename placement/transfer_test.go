package placement

import (
	"math"
	"testing"
)

// Guards against transfers that are predicted at the rate or behind the queue of one end only. A
// token takes 1 ms on a link of 1 Mbit/s.
func TestTransfersTakeBothLinks(t *testing.T) {
	for name, c := range map[string]struct {
		store, runner   float64 // rates in Mbit/s
		queued, link    int
		across          bool
		wait, ms        float64
		source, carried int
	}{
		"store is slower":             {1, 4, 0, 0, false, 0, 100, 100, 400},
		"runner is slower":            {4, 1, 0, 0, false, 0, 100, 400, 100},
		"other data centre":           {4, 1, 0, 0, true, 0, 200, 800, 200},
		"behind the store's":          {4, 1, 80, 10, false, 20, 100, 400, 100},
		"behind the runner's":         {4, 1, 20, 30, false, 30, 100, 400, 100},
		"runners' rate isn't known":   {4, 0, 80, 1000, true, 20, 50, 200, 0},
		"store's rate isn't known":    {0, 1, 1000, 30, false, 30, 100, 0, 100},
		"neither of the two is known": {0, 0, 1000, 1000, true, 0, 0, 0, 0},
	} {
		p := &Prompt{Parts: []Part{{"shared", 100}, {"own", 1}}, TokenBytes: 125, RunnerLinkMbps: c.runner}
		store, runner := Store{DataCentre: "a", LinkMbps: c.store, Queued: c.queued}, Runner{DataCentre: "a", LinkQueued: c.link}
		if c.across {
			runner.DataCentre = "b"
		}
		rates := DefaultRates()
		got := PlanTransfer(&rates, p, 0, &store, &runner)
		if want := (Transfer{c.wait, c.ms, c.carried, c.source}); math.Abs(got.WaitMs-want.WaitMs) > 1e-9 || math.Abs(got.Ms-want.Ms) > 1e-9 ||
			got.LinkTokens != want.LinkTokens || got.SourceTokens != want.SourceTokens {
			t.Errorf("%s: %+v, want %+v", name, got, want)
		}
	}
}

// Guards against prompts that fetch their parts across data centres, or leave the home runner that
// all entries agree on: the home is in the data centre of the store as long as it has capacity there.
func TestHomeIsInDataCentreOfStore(t *testing.T) {
	list := runners(18)
	for i := range list {
		list[i].DataCentre = []string{"north", "dock", "office"}[i%3]
	}
	p := longPrompt()
	p.Complete[0], p.RunnerLinkMbps = []int{0}, 100000
	stores := []Store{largeStore("dock")}
	for range homeCandidates {
		p.HomeDataCentre = "dock"
		first := choose(t, p, list, stores)
		if list[first.Runner].DataCentre != "dock" {
			t.Fatalf("chose a runner in %s", list[first.Runner].DataCentre)
		}
		list[first.Runner].Full = true
	}
	// All that may be its home there are full.
	if c := choose(t, p, list, stores); list[c.Runner].Full || !c.Home {
		t.Errorf("chose runner %d (full: %t), home %t", c.Runner, list[c.Runner].Full, c.Home)
	}
	p.HomeDataCentre = "unknown"
	if c := choose(t, p, list, stores); list[c.Runner].Full {
		t.Errorf("a data centre without runners: chose runner %d, which is full", c.Runner)
	}
}
