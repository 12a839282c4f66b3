package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Guards against an engine that never loads a new version. A new version is preferred
// every 25 s and a load takes 10 s, one engine at a time; each version starts again with
// the engines with the fewest requests, so the busiest one would serve the first version
// forever.
func TestSuccessiveVersionsReachTheBusiestEngine(t *testing.T) {
	const load, every = 10 * time.Second, 25 * time.Second
	p := NewPlanner(Options{}, 1, NewGate(time.Unix(0, 0), true))
	now := time.Unix(1000, 0)
	start := now
	engines := make([]Engine, 6)
	states := make([]State, len(engines))
	loadEnds := make([]time.Time, len(engines))
	loads := make([]int, len(engines))
	version := func(n int) ident.Version { return ident.Version(fmt.Sprint("v", n)) }
	for i := range engines {
		engines[i] = Engine{ID: ident.Upstream(fmt.Sprint("e", i)), ChecksFence: true, Running: i + 1, Slots: 100}
		states[i] = State{Loaded: []Version{{Model: "m", Version: version(0)}}}
	}
	for ; now.Sub(start) < 10*time.Minute; now = now.Add(time.Second) {
		newest := version(1 + int(now.Sub(start)/every))
		for i := range engines {
			if len(states[i].Loading) > 0 && !now.Before(loadEnds[i]) {
				states[i].Loaded, states[i].Loading = states[i].Loading, nil
			}
			states[i].ReadAt = now
			state := states[i]
			engines[i].State, engines[i].Reported = &state, state.Loaded
		}
		wanted := []Wanted{{Model: "m", Versions: []Version{{Model: "m", Version: newest}}, MaxLoading: 1}}
		for _, order := range p.Plan(now, wanted, engines).Orders {
			if order.Kind != LoadVersion {
				continue
			}
			for i := range engines {
				if engines[i].ID == order.Upstream {
					states[i].Loading = []Version{{Model: "m", Version: order.Version}}
					loadEnds[i] = now.Add(load)
					loads[i]++
				}
			}
		}
	}
	for i, n := range loads {
		if n == 0 {
			t.Errorf("engine %d loaded nothing within 10 minutes; loads by engine: %v", i, loads)
		}
	}
}
