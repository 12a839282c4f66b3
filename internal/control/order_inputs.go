package control

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/order"
)

// readStates queries the states of engines. The ReadAt time of a state is the
// start of its query.
func (o *Orderer) readStates(ctx context.Context, e *orderEpoch, upstreams map[ident.Upstream]protocol.Upstream, ids []ident.Upstream) {
	results := make([]*readState, len(ids))
	o.forEach(len(ids), func(i int) { results[i] = o.readState(ctx, upstreams[ids[i]]) })
	for i, id := range ids {
		if results[i] != nil {
			e.states[id] = *results[i]
		}
	}
}

func (o *Orderer) readState(ctx context.Context, upstream protocol.Upstream) *readState {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	engine, err := o.opts.Dial(upstream.Address)
	if err != nil {
		return nil
	}
	requestedAt := time.Now()
	state, err := engine.State(ctx)
	if err != nil || state.Upstream != upstream.ID || state.Incarnation != upstream.Incarnation {
		return nil
	}
	return &readState{
		incarnation: state.Incarnation,
		state: order.State{
			ReadAt:  requestedAt,
			Loaded:  versionsOf(state.Loaded),
			Loading: versionsOf(state.Loading),
			Role:    state.Role,
		},
	}
}

// removeStale deletes the states of engines that are no longer reported or have
// a new incarnation.
func (e *orderEpoch) removeStale(upstreams map[ident.Upstream]protocol.Upstream) {
	for id, known := range e.states {
		if upstream, found := upstreams[id]; !found || upstream.Incarnation != known.incarnation {
			delete(e.states, id)
		}
	}
}

func (e *orderEpoch) engines(upstreams map[ident.Upstream]protocol.Upstream) []order.Engine {
	engines := make([]order.Engine, 0, len(upstreams))
	for id, upstream := range upstreams {
		engine := order.Engine{
			ID:          id,
			Incarnation: upstream.Incarnation,
			Address:     upstream.Address,
			Leaving:     upstream.Leaving,
			ChecksFence: upstream.ChecksFence,
			Slots:       upstream.Slots,
			Running:     upstream.Running,
			Queued:      upstream.Queued,
		}
		for _, loaded := range upstream.Loaded {
			engine.Reported = append(engine.Reported, order.Version(loaded))
		}
		if known, found := e.states[id]; found {
			engine.State = &known.state
		}
		engines = append(engines, engine)
	}
	return engines
}

func versionsOf(loaded []port.LoadedVersion) []order.Version {
	versions := make([]order.Version, 0, len(loaded))
	for _, version := range loaded {
		versions = append(versions, order.Version{Model: version.Model, Version: version.Version, Adapters: version.Adapters})
	}
	return versions
}

func wantedOf(snapshot *config.Snapshot) []order.Wanted {
	var list []order.Wanted
	for model := range snapshot.Models() {
		wanted := order.Wanted{Model: model.Name, MaxLoading: model.MaxLoading}
		for _, version := range model.Versions {
			wanted.Versions = append(wanted.Versions, order.Version{Model: model.Name, Version: version.Version, Adapters: version.Adapters})
		}
		for _, role := range model.Roles {
			wanted.Roles = append(wanted.Roles, order.RoleCount{Role: role.Role, Fraction: role.Share.Fraction()})
		}
		list = append(list, wanted)
	}
	return list
}
