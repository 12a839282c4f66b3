package order

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// modelPlan decides the orders of one model.
type modelPlan struct {
	planner *Planner
	now     time.Time
	wanted  *Wanted
	engines []*Engine
	plan    *Plan
	// loading is how many engines load or may be loading.
	loading int
	// slots are those of the engines that serve, need what must stay.
	slots int
	need  int
}

func (m *modelPlan) decide() {
	if len(m.engines) == 0 || len(m.wanted.Versions) == 0 || m.settled() {
		return
	}
	m.measure()
	m.notePassedOver()
	for _, engine := range m.byWork() {
		m.decideEngine(engine)
	}
}

// settled tells from reports alone that the model needs nothing, so that
// engines are read back only while there is something to do.
func (m *modelPlan) settled() bool {
	if len(m.wanted.Roles) > 0 {
		return false
	}
	for _, engine := range m.engines {
		if _, pending := m.planner.issued[engine.ID]; pending || !m.matches(engine.Reported) {
			return false
		}
	}
	return true
}

// matches tells whether exactly the wanted versions and at least the wanted
// adapters are in loaded.
func (m *modelPlan) matches(loaded []Version) bool {
	count := 0
	for i := range loaded {
		if loaded[i].Model == m.wanted.Model {
			count++
		}
	}
	if count != len(m.wanted.Versions) {
		return false
	}
	for i := range m.wanted.Versions {
		want := &m.wanted.Versions[i]
		have := find(loaded, m.wanted.Model, want.Version)
		if have == nil || missingAdapter(have, want) != "" {
			return false
		}
	}
	return true
}

func missingAdapter(have, want *Version) ident.Adapter {
	for _, adapter := range want.Adapters {
		if !slices.Contains(have.Adapters, adapter) {
			return adapter
		}
	}
	return ""
}

// measure counts loads, slots and demand. An engine whose state is not known
// counts as loading: an earlier leader may have ordered it to.
func (m *modelPlan) measure() {
	demand := 0
	for _, engine := range m.engines {
		demand += engine.work()
		switch {
		case !m.known(engine):
			m.loading++
			m.plan.Read = append(m.plan.Read, engine.ID)
		case m.isLoading(engine):
			m.loading++
		case len(engine.State.Loaded) > 0:
			m.slots += engine.slots()
		}
	}
	m.need = int(math.Ceil(float64(demand) * m.planner.opts.Headroom))
}

// known tells whether an engine's state can be decided upon.
func (m *modelPlan) known(engine *Engine) bool {
	if engine.State == nil || m.now.Sub(engine.State.ReadAt) > m.planner.opts.StateAge {
		return false
	}
	// A state read while an old leader's orders could still arrive may miss a
	// load that one of them has started since; more engines than allowed
	// would load. A state read afterwards shows it.
	open := m.planner.gate.OpenAt(LoadVersion, engine.ChecksFence)
	if engine.State.ReadAt.Before(open) && !m.now.Before(open) {
		return false
	}
	// A state read before the last order doesn't show its effect.
	last, pending := m.planner.issued[engine.ID]
	return !pending || !engine.State.ReadAt.Before(last.at)
}

// isLoading tells whether an engine loads by its own word, or was told to and
// doesn't show it yet.
func (m *modelPlan) isLoading(engine *Engine) bool {
	if len(engine.State.Loading) > 0 {
		return true
	}
	last, pending := m.planner.issued[engine.ID]
	return pending && last.order.Kind == LoadVersion && !m.settledBy(last, engine.State)
}

// notePassedOver counts, once another version is preferred, the engines that had no
// turn for the one before.
func (m *modelPlan) notePassedOver() {
	p, preferred := m.planner, m.wanted.Versions[0].Version
	former, known := p.preferred[m.wanted.Model]
	p.preferred[m.wanted.Model] = preferred
	if !known || former == preferred {
		return
	}
	for _, engine := range m.engines {
		if engine.State != nil && find(engine.State.Loaded, m.wanted.Model, former) == nil && !m.isLoading(engine) {
			p.passedOver[engineModel{engine.ID, m.wanted.Model}]++
		}
	}
}

func (m *modelPlan) passedOver(e *Engine) int {
	return m.planner.passedOver[engineModel{e.ID, m.wanted.Model}]
}

// byWork puts the engines first whose loss costs least: those that serve
// nothing yet, then those with the least work. Between the two come those that
// had no turn for former versions: versions that follow one another shortly would
// else never reach the engines with the most work.
func (m *modelPlan) byWork() []*Engine {
	list := slices.Clone(m.engines)
	slices.SortStableFunc(list, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(loadedCount(a), loadedCount(b)),
			cmp.Compare(m.passedOver(b), m.passedOver(a)), cmp.Compare(a.work(), b.work()))
	})
	return list
}

// loadedCount is 0 for an engine that serves nothing and 1 for others.
func loadedCount(e *Engine) int {
	if e.State != nil && len(e.State.Loaded) == 0 {
		return 0
	}
	return 1
}

func (m *modelPlan) decideEngine(engine *Engine) {
	if !m.known(engine) {
		m.plan.hold(HoldState)
		return
	}
	m.note(engine)
	if m.awaits(engine) {
		return
	}
	next, needed := m.nextOrder(engine)
	if !needed {
		return
	}
	if reason := m.holdReason(engine, next); reason != "" {
		m.plan.hold(reason)
		return
	}
	m.issue(engine, next)
}

// note remembers since when the engine has the preferred version.
func (m *modelPlan) note(engine *Engine) {
	preferred := m.wanted.Versions[0].Version
	if find(engine.State.Loaded, m.wanted.Model, preferred) == nil {
		delete(m.planner.preferredSince, engine.ID)
		return
	}
	if m.planner.preferredSince[engine.ID].version != preferred {
		m.planner.preferredSince[engine.ID] = sighting{version: preferred, at: m.now}
	}
}

// awaits tells whether the last order to the engine has yet to take effect.
func (m *modelPlan) awaits(engine *Engine) bool {
	if len(engine.State.Loading) > 0 {
		return true
	}
	last, pending := m.planner.issued[engine.ID]
	if !pending {
		return false
	}
	if m.settledBy(last, engine.State) {
		delete(m.planner.issued, engine.ID)
		return false
	}
	return true
}

// settledBy tells whether a state shows an order's effect, or was read so long
// after the order that it can't arrive any more.
func (m *modelPlan) settledBy(last issuedOrder, state *State) bool {
	return effective(last.order, state) || state.ReadAt.Sub(last.at) >= m.planner.opts.RetryAfter
}

// effective tells whether a state shows what an order asked for.
func effective(order Order, state *State) bool {
	have := find(state.Loaded, order.Model, order.Version)
	switch order.Kind {
	case LoadVersion:
		return have != nil
	case UnloadVersion:
		return have == nil
	case LoadAdapter:
		return have != nil && slices.Contains(have.Adapters, order.Adapter)
	default:
		return state.Role == order.Role
	}
}

// nextOrder returns the first thing the engine lacks.
func (m *modelPlan) nextOrder(engine *Engine) (Order, bool) {
	base := Order{
		Upstream:    engine.ID,
		Incarnation: engine.Incarnation,
		Address:     engine.Address,
		Fence:       m.planner.fence,
		Model:       m.wanted.Model,
	}
	for i := range m.wanted.Versions {
		want := &m.wanted.Versions[i]
		base.Version = want.Version
		have := find(engine.State.Loaded, m.wanted.Model, want.Version)
		if have == nil {
			base.Kind = LoadVersion
			return base, true
		}
		if adapter := missingAdapter(have, want); adapter != "" {
			base.Kind, base.Adapter = LoadAdapter, adapter
			return base, true
		}
	}
	base.Version = ""
	if role := m.roleFor(engine); role != "" && role != engine.State.Role {
		base.Kind, base.Role = SetRole, role
		return base, true
	}
	return m.unload(engine, base)
}

func (m *modelPlan) unload(engine *Engine, base Order) (Order, bool) {
	since := m.planner.preferredSince[engine.ID]
	if m.now.Sub(since.at) < m.planner.opts.UnloadDelay {
		return Order{}, false
	}
	for i := range engine.State.Loaded {
		have := &engine.State.Loaded[i]
		if have.Model == m.wanted.Model && find(m.wanted.Versions, m.wanted.Model, have.Version) == nil {
			base.Kind, base.Version = UnloadVersion, have.Version
			return base, true
		}
	}
	return Order{}, false
}

// holdReason tells what stands against an order now, empty for nothing.
func (m *modelPlan) holdReason(engine *Engine, next Order) HoldReason {
	if m.now.Before(m.planner.gate.OpenAt(next.Kind, engine.ChecksFence)) {
		return HoldGate
	}
	if next.Kind == UnloadVersion {
		return ""
	}
	if m.loading >= m.wanted.MaxLoading {
		return HoldLoading
	}
	if m.takesOut(engine, next) && m.slots-engine.slots() < m.need {
		return HoldCapacity
	}
	return ""
}

// takesOut tells whether the engine serves now and would not while it carries
// the order out.
func (m *modelPlan) takesOut(engine *Engine, next Order) bool {
	return len(engine.State.Loaded) > 0 && (next.Kind == LoadVersion || next.Kind == SetRole)
}

func (m *modelPlan) issue(engine *Engine, next Order) {
	if next.Kind != UnloadVersion {
		m.loading++
	}
	if next.Kind == LoadVersion {
		delete(m.planner.passedOver, engineModel{engine.ID, m.wanted.Model})
	}
	if m.takesOut(engine, next) {
		m.slots -= engine.slots()
	}
	m.planner.number++
	next.Number = m.planner.number
	m.planner.issued[engine.ID] = issuedOrder{order: next, at: m.now}
	m.plan.Orders = append(m.plan.Orders, next)
}
