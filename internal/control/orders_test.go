package control_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/control"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/port"
)

// fakeEngine implements Order and State; the other methods of port.Engine are
// never called.
type fakeEngine struct {
	port.Engine
	id ident.Upstream

	mu      sync.Mutex
	loaded  []port.LoadedVersion
	loading []port.LoadedVersion
	fences  []uint64
	// loseNext makes the engine execute the next order without an answer.
	loseNext bool
}

func (e *fakeEngine) Order(ctx context.Context, order port.Order) (port.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fences = append(e.fences, order.Fence)
	version := port.LoadedVersion{Model: order.Model, Version: order.Version}
	switch order.Kind {
	case port.OrderLoadVersion:
		e.loading = append(e.loading, version)
		time.AfterFunc(2*time.Second, e.finish)
	case port.OrderUnloadVersion:
		e.loaded = slices.DeleteFunc(slices.Clone(e.loaded), func(v port.LoadedVersion) bool { return v.Version == order.Version })
	}
	if e.loseNext {
		e.loseNext = false
		return port.OrderResult{}, errors.New("connection lost")
	}
	return port.OrderResult{Accepted: true}, nil
}

func (e *fakeEngine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded = append(slices.Clone(e.loaded), e.loading...)
	e.loading = nil
}

func (e *fakeEngine) State(context.Context) (port.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return port.EngineState{Upstream: e.id, Loaded: e.loaded, Loading: slices.Clone(e.loading)}, nil
}

// fleet is a set of fake engines that entries report.
type fleet []*fakeEngine

func newFleet(n int) fleet {
	var f fleet
	for i := range n {
		f = append(f, &fakeEngine{
			id:     ident.Upstream(fmt.Sprint("engine-", i)),
			loaded: []port.LoadedVersion{{Model: "appraiser", Version: "v1"}},
		})
	}
	return f
}

func (f fleet) dial(address string) (port.Engine, error) {
	for _, engine := range f {
		if string(engine.id) == address {
			return engine, nil
		}
	}
	return nil, errors.New("no such engine")
}

func (f fleet) report() []protocol.Upstream {
	var list []protocol.Upstream
	for _, engine := range f {
		state, _ := engine.State(context.Background())
		upstream := protocol.Upstream{ID: engine.id, Address: string(engine.id), Slots: 8, Running: 2}
		for _, version := range state.Loaded {
			upstream.Loaded = append(upstream.Loaded, protocol.LoadedVersion(version))
		}
		list = append(list, upstream)
	}
	return list
}

func (f fleet) loading() int {
	count := 0
	for _, engine := range f {
		engine.mu.Lock()
		if len(engine.loading) > 0 {
			count++
		}
		engine.mu.Unlock()
	}
	return count
}

func (f fleet) allRun(version ident.Version) bool {
	for _, engine := range f {
		state, _ := engine.State(context.Background())
		if len(state.Loaded) != 1 || state.Loaded[0].Version != version {
			return false
		}
	}
	return true
}

func (d *deployment) runOrders(f fleet) {
	report := f.report
	d.upstreams.Store(&report)
	for _, server := range d.servers {
		orderer := control.NewOrderer(control.OrderOptions{Server: server, Dial: f.dial, Log: discardLog})
		d.run(orderer.Run)
	}
}

// A configuration names a new version. Engines that ignore fencing tokens must
// load it a few at a time. The answer to one order is lost; the state read
// afterwards shows the load, so it must not be ordered twice. The leader is
// replaced during the rollout. The new one must wait until no order of the old one
// can arrive, and then complete the rollout.
func TestRolloutAcrossALeaderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 2)
		defer d.close()
		engines := newFleet(6)
		engines[0].loseNext = true
		d.runOrders(engines)
		doc := document(1, 0)
		d.mustApply(0, "r1", 0, doc)
		d.awaitLeases()
		doc.Models = []config.Model{{Name: "appraiser", Versions: []config.TargetVersion{{Version: "v2"}}}}
		doc.Normalize()
		d.mustApply(0, "r2", 1, doc)
		time.Sleep(3 * time.Second)
		d.group.elect(1)
		elected := time.Now()
		deadline := elected.Add(5 * time.Minute)
		for !engines.allRun("v2") && time.Now().Before(deadline) {
			time.Sleep(100 * time.Millisecond)
			if loading := engines.loading(); loading > config.DefaultMaxLoading {
				t.Fatalf("%d engines load concurrently", loading)
			}
		}
		if !engines.allRun("v2") {
			t.Fatalf("rollout not complete after %s", time.Since(elected))
		}
		t.Logf("rollout complete %s after the leader change", time.Since(elected))
		for _, engine := range engines {
			if !slices.IsSorted(engine.fences) {
				t.Errorf("%s got fencing tokens %v", engine.id, engine.fences)
			}
			if len(engine.fences) > 2 {
				t.Errorf("%s got %d orders for one load and one unload", engine.id, len(engine.fences))
			}
		}
	})
}
