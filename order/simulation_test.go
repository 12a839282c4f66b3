package order

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/lease"
)

// seedCount is raised for a longer run: go test ./order -order.seeds 1000.
var seedCount = flag.Int("order.seeds", defaultSeeds, "number of seeds of each simulation; other than the default, all seeds run even after a violation")

const defaultSeeds = 12

const (
	simulationStep = 100 * time.Millisecond
)

// seededBug is a fault injected into a simulation run to verify that its checks detect it.
type seededBug string

const (
	noBug         seededBug = ""
	bugNoGate     seededBug = "new leader does not wait for engines that ignore fencing"
	bugNoLimit    seededBug = "more loads than allowed"
	bugNoCapacity seededBug = "capacity is not checked"
	bugOldState   seededBug = "decides on outdated states"
)

// simulatedEngine executes orders, some of them late.
type simulatedEngine struct {
	engine       Engine
	state        State
	loadEnds     time.Time
	fence        lease.Fence
	highestFence lease.Token
}

// delivery is an order in flight and its time of arrival.
type delivery struct {
	at    time.Time
	order Order
}

// rollout simulates planners and engines while orders are delayed, lost or duplicated and
// leaders change.
type rollout struct {
	random     *rand.Rand
	bug        seededBug
	now        time.Time
	engines    []*simulatedEngine
	planner    *Planner
	token      lease.Token
	wanted     []Wanted
	deliveries []delivery
	// states are the states that the current leader has read back.
	states map[ident.Upstream]*State
	// staleOrders counts orders executed after one with a higher fence.
	staleOrders int
	// requests is how many requests run on each engine, plus or minus one.
	requests int
	// loadTime is how long a version takes to load.
	loadTime time.Duration
}

func newRollout(seed uint64, bug seededBug, engines, requests int) *rollout {
	r := &rollout{random: rand.New(rand.NewPCG(seed, 5)), bug: bug, now: time.Unix(1000, 0), requests: requests, loadTime: 2 * time.Second}
	for i := range engines {
		loaded := []Version{{Model: "m", Version: "v1"}}
		r.engines = append(r.engines, &simulatedEngine{
			engine: Engine{
				ID:          ident.Upstream(fmt.Sprintf("engine-%02d", i)),
				Reported:    loaded,
				ChecksFence: i%2 == 0,
				Slots:       8,
				Running:     requests,
			},
			state: State{Loaded: loaded},
		})
	}
	r.wanted = []Wanted{{Model: "m", Versions: []Version{{Model: "m", Version: "v2", Adapters: []ident.Adapter{"a"}}}, MaxLoading: 3}}
	r.changeLeader()
	return r
}

// shuffleLoad redistributes the requests, so that a new leader prefers other engines.
func (r *rollout) shuffleLoad() {
	order := r.random.Perm(len(r.engines))
	for i, at := range order {
		r.engines[at].engine.Running = r.requests + 1 - 2*(i%2)
	}
}

// changeLeader starts an epoch with a new planner.
func (r *rollout) changeLeader() {
	r.token++
	r.shuffleLoad()
	gate := NewGate(r.now, r.token == 1 || r.bug == bugNoGate)
	r.planner = NewPlanner(Options{UnloadDelay: 5 * time.Second}, r.token, gate)
	if r.bug == bugNoCapacity {
		r.planner.opts.Headroom = 1e-9
	}
	if r.states == nil || r.bug != bugOldState {
		r.states = make(map[ident.Upstream]*State)
	}
}

func (r *rollout) step() {
	r.now = r.now.Add(simulationStep)
	r.deliver()
	for _, e := range r.engines {
		e.advance(r.now)
	}
	if r.random.IntN(250) == 0 {
		r.changeLeader()
	}
	wanted := slices.Clone(r.wanted)
	if r.bug == bugNoLimit {
		wanted[0].MaxLoading = 100
	}
	plan := r.planner.Plan(r.now, wanted, r.view())
	for _, id := range plan.Read {
		r.read(id)
	}
	for _, order := range plan.Orders {
		r.send(order)
	}
}

// send schedules an order for delivery once, twice, late or not at all.
func (r *rollout) send(order Order) {
	if r.random.IntN(8) == 0 {
		return
	}
	copies := 1 + r.random.IntN(5)/4
	for range copies {
		delay := time.Duration(0)
		if r.random.IntN(6) == 0 {
			delay = time.Duration(r.random.Int64N(int64(MaxFlight)))
		}
		r.deliveries = append(r.deliveries, delivery{at: r.now.Add(delay), order: order})
	}
}

func (r *rollout) deliver() {
	due := r.deliveries
	r.deliveries = nil
	for _, f := range due {
		if f.at.After(r.now) {
			r.deliveries = append(r.deliveries, f)
			continue
		}
		r.execute(f.order)
	}
}

func (r *rollout) execute(order Order) {
	for _, e := range r.engines {
		if e.engine.ID != order.Upstream || e.engine.ChecksFence && !e.fence.Admit(order.Fence) {
			continue
		}
		if order.Fence < e.highestFence {
			r.staleOrders++
		}
		e.highestFence = max(e.highestFence, order.Fence)
		e.execute(order, r.now, r.loadTime)
	}
}

func (e *simulatedEngine) execute(order Order, now time.Time, loadTime time.Duration) {
	have := find(e.state.Loaded, order.Model, order.Version)
	switch {
	case order.Kind == LoadVersion && have == nil && len(e.state.Loading) == 0:
		e.state.Loading = []Version{{Model: order.Model, Version: order.Version}}
		e.loadEnds = now.Add(loadTime)
	case order.Kind == UnloadVersion:
		e.state.Loaded = slices.DeleteFunc(slices.Clone(e.state.Loaded), func(v Version) bool { return v.Version == order.Version })
	case order.Kind == LoadAdapter && have != nil && !slices.Contains(have.Adapters, order.Adapter):
		loaded := slices.Clone(e.state.Loaded)
		with := find(loaded, order.Model, order.Version)
		with.Adapters = append(slices.Clone(with.Adapters), order.Adapter)
		e.state.Loaded = loaded
	case order.Kind == SetRole:
		e.state.Role = order.Role
	}
}

func (e *simulatedEngine) advance(now time.Time) {
	if len(e.state.Loading) > 0 && !now.Before(e.loadEnds) {
		e.state.Loaded = append(slices.Clone(e.state.Loaded), e.state.Loading...)
		e.state.Loading = nil
	}
}

// read gives the leader an engine's state; one in ten answers is lost.
func (r *rollout) read(id ident.Upstream) {
	for _, e := range r.engines {
		if e.engine.ID == id && r.random.IntN(10) > 0 {
			state := e.state
			state.ReadAt = r.now
			r.states[id] = &state
		}
	}
}

// view returns the engines as the leader sees them.
func (r *rollout) view() []Engine {
	var list []Engine
	for _, e := range r.engines {
		viewed := e.engine
		viewed.Reported = e.state.Loaded
		viewed.State = r.states[viewed.ID]
		if r.bug == bugOldState && viewed.State != nil {
			fresh := *viewed.State
			fresh.ReadAt = r.now
			viewed.State = &fresh
		}
		list = append(list, viewed)
	}
	return list
}

// loading returns how many engines load and the slots of the others.
func (r *rollout) loading() (loading, servingSlots int) {
	for _, e := range r.engines {
		if len(e.state.Loading) > 0 {
			loading++
			continue
		}
		servingSlots += e.engine.Slots
	}
	return loading, servingSlots
}

// done reports whether all engines run only v2 with its adapter.
func (r *rollout) done() bool {
	for _, e := range r.engines {
		if len(e.state.Loaded) != 1 || e.state.Loaded[0].Version != "v2" || len(e.state.Loaded[0].Adapters) != 1 {
			return false
		}
	}
	return true
}

// run returns the first violation of a limit, and whether the rollout completed.
func (r *rollout) run(need int) (violation string, done bool) {
	for range 6000 {
		r.step()
		loading, slots := r.loading()
		switch {
		case loading > r.wanted[0].MaxLoading:
			return fmt.Sprintf("%d engines load at the same time", loading), false
		case slots < need:
			return fmt.Sprintf("%d slots serve, %d are needed", slots, need), false
		case r.staleOrders > 0:
			return "an engine executed an order of a previous leader after one of a newer leader", false
		case r.done():
			return "", true
		}
	}
	return "", false
}

// 18 engines, half of which ignore fencing tokens, load a new version while orders are
// delayed, lost or duplicated, reads of states fail and leaders change. At no time may more
// than 3 engines load, fewer slots serve than the demand needs, or an engine execute a
// previous leader's order after a newer one's; in the end all run the new version. Runs
// with an injected fault must violate one of these limits.
func TestRolloutStaysWithinLimits(t *testing.T) {
	const engines = 18
	cases := []struct {
		bug      seededBug
		requests int
		load     time.Duration
	}{
		{noBug, 2, 2 * time.Second},
		{noBug, 6, 2 * time.Second},
		{noBug, 2, 12 * time.Second},
		{bugNoGate, 2, 2 * time.Second},
		{bugNoLimit, 2, 2 * time.Second},
		{bugNoCapacity, 7, 2 * time.Second},
		{bugOldState, 2, 12 * time.Second},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("requests %d load %s bug %s", c.requests, c.load, c.bug), func(t *testing.T) {
			violations, runs := 0, 0
			for seed := range uint64(*seedCount) {
				runs++
				r := newRollout(seed, c.bug, engines, c.requests)
				r.loadTime = c.load
				violation, done := r.run(engines * c.requests)
				if violation != "" {
					violations++
				}
				if c.bug != noBug && violations > 0 && *seedCount == defaultSeeds {
					break
				}
				if c.bug == noBug && (violation != "" || !done) {
					t.Errorf("seed %d: violation %q, done %v", seed, violation, done)
				}
			}
			t.Logf("limits violated in %d of %d runs", violations, runs)
			if c.bug != noBug && violations == 0 {
				t.Errorf("no run detected the injected fault: %s", c.bug)
			}
		})
	}
}
