package order

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// modelPlan decides the orders of one model in one planning pass.
type modelPlan struct {
	planner *Planner
	now     time.Time
	wanted  *Wanted
	engines []*Engine
	plan    *Plan
	// loading is the number of engines that load or may be loading.
	loading int
	// slots is the number of slots of the serving engines; need is the number of them
	// that must remain.
	slots int
	need  int
}

func (m *modelPlan) decide() {
	if len(m.engines) == 0 || len(m.wanted.Versions) == 0 || m.upToDate() {
		return
	}
	m.measure()
	m.countPassedOver()
	for _, engine := range m.byPriority() {
		m.decideEngine(engine)
	}
}

// upToDate reports whether, by the announcements alone, the model needs no orders. States
// are read back from engines only while this is false.
func (m *modelPlan) upToDate() bool {
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

// matches reports whether loaded has exactly the wanted versions, each with at least the
// wanted adapters.
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

// missingAdapter returns the first adapter of want that have lacks, empty if none.
func missingAdapter(have, want *Version) ident.Adapter {
	for _, adapter := range want.Adapters {
		if !slices.Contains(have.Adapters, adapter) {
			return adapter
		}
	}
	return ""
}

// measure counts loading engines, serving slots and demand. An engine without a usable
// state counts as loading, since an earlier leader may have ordered a load.
func (m *modelPlan) measure() {
	demand := 0
	for _, engine := range m.engines {
		demand += engine.requests()
		switch {
		case !m.stateUsable(engine):
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

// stateUsable reports whether an engine's state is recent enough to decide on.
func (m *modelPlan) stateUsable(engine *Engine) bool {
	if engine.State == nil || m.now.Sub(engine.State.ReadAt) > m.planner.opts.StateAge {
		return false
	}
	// A state read while orders of a previous leader could still arrive may lack a load
	// that such an order has started since, so that more engines than allowed would
	// load. A state read after that time includes the load.
	open := m.planner.gate.OpenAt(LoadVersion, engine.ChecksFence)
	if engine.State.ReadAt.Before(open) && !m.now.Before(open) {
		return false
	}
	// A state read before the last order doesn't include its effect.
	last, pending := m.planner.issued[engine.ID]
	return !pending || !engine.State.ReadAt.Before(last.at)
}

// isLoading reports whether an engine's state shows a load, or a load order to it is
// still pending.
func (m *modelPlan) isLoading(engine *Engine) bool {
	if len(engine.State.Loading) > 0 {
		return true
	}
	last, pending := m.planner.issued[engine.ID]
	return pending && last.order.Kind == LoadVersion && !m.resolved(last, engine.State)
}

// countPassedOver counts, when the preferred version has changed, the engines that did
// not load the previous one.
func (m *modelPlan) countPassedOver() {
	p, preferred := m.planner, m.wanted.Versions[0].Version
	previous, known := p.preferred[m.wanted.Model]
	p.preferred[m.wanted.Model] = preferred
	if !known || previous == preferred {
		return
	}
	for _, engine := range m.engines {
		if engine.State != nil && find(engine.State.Loaded, m.wanted.Model, previous) == nil && !m.isLoading(engine) {
			p.passedOver[engineModel{engine.ID, m.wanted.Model}]++
		}
	}
}

func (m *modelPlan) passedOver(e *Engine) int {
	return m.planner.passedOver[engineModel{e.ID, m.wanted.Model}]
}

// byPriority sorts the engines by the cost of taking them out of service: first those
// that serve nothing, then those with the fewest requests. Among the serving engines,
// those that were passed over most often come first: otherwise preferred versions that
// follow each other at short intervals would never reach the engines with the most
// requests.
func (m *modelPlan) byPriority() []*Engine {
	list := slices.Clone(m.engines)
	slices.SortStableFunc(list, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(servingRank(a), servingRank(b)),
			cmp.Compare(m.passedOver(b), m.passedOver(a)), cmp.Compare(a.requests(), b.requests()))
	})
	return list
}

// servingRank returns 0 for an engine known to serve nothing and 1 for all others.
func servingRank(e *Engine) int {
	if e.State != nil && len(e.State.Loaded) == 0 {
		return 0
	}
	return 1
}

func (m *modelPlan) decideEngine(engine *Engine) {
	if !m.stateUsable(engine) {
		m.plan.hold(HoldState)
		return
	}
	m.recordPreferred(engine)
	if m.orderPending(engine) {
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

// recordPreferred records since when the engine has had the preferred version loaded.
func (m *modelPlan) recordPreferred(engine *Engine) {
	preferred := m.wanted.Versions[0].Version
	if find(engine.State.Loaded, m.wanted.Model, preferred) == nil {
		delete(m.planner.preferredSince, engine.ID)
		return
	}
	if m.planner.preferredSince[engine.ID].version != preferred {
		m.planner.preferredSince[engine.ID] = observedVersion{version: preferred, at: m.now}
	}
}

// orderPending reports whether the engine loads or its last order has not taken effect
// yet. It drops the record of a resolved order.
func (m *modelPlan) orderPending(engine *Engine) bool {
	if len(engine.State.Loading) > 0 {
		return true
	}
	last, pending := m.planner.issued[engine.ID]
	if !pending {
		return false
	}
	if m.resolved(last, engine.State) {
		delete(m.planner.issued, engine.ID)
		return false
	}
	return true
}

// resolved reports whether a state shows an order's effect, or was read so long after the
// order that it can't arrive any more.
func (m *modelPlan) resolved(last issuedOrder, state *State) bool {
	return tookEffect(last.order, state) || state.ReadAt.Sub(last.at) >= m.planner.opts.RetryAfter
}

// tookEffect reports whether a state shows the change that an order requests.
func tookEffect(order Order, state *State) bool {
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

// nextOrder returns the order for the first difference between the engine's state and the
// target, and false if there is none.
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

// unload returns an order for an unwanted version, and false if none is loaded or the
// preferred version was loaded less than UnloadDelay ago.
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

// holdReason returns why an order must not be sent now, empty if it may be.
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
	if m.stopsServing(engine, next) && m.slots-engine.slots() < m.need {
		return HoldCapacity
	}
	return ""
}

// stopsServing reports whether the engine serves now and would stop while it executes the
// order.
func (m *modelPlan) stopsServing(engine *Engine, next Order) bool {
	return len(engine.State.Loaded) > 0 && (next.Kind == LoadVersion || next.Kind == SetRole)
}

// issue adds the order to the plan and updates the counts for the orders after it.
func (m *modelPlan) issue(engine *Engine, next Order) {
	if next.Kind != UnloadVersion {
		m.loading++
	}
	if next.Kind == LoadVersion {
		delete(m.planner.passedOver, engineModel{engine.ID, m.wanted.Model})
	}
	if m.stopsServing(engine, next) {
		m.slots -= engine.slots()
	}
	m.planner.number++
	next.Number = m.planner.number
	m.planner.issued[engine.ID] = issuedOrder{order: next, at: m.now}
	m.plan.Orders = append(m.plan.Orders, next)
}
