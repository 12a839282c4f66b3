package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/lease"
)

// Defaults of Options.
const (
	DefaultStateAge    = 10 * time.Second
	DefaultRetryAfter  = 15 * time.Second
	DefaultUnloadDelay = time.Minute
	DefaultHeadroom    = 1.25
	// MaxEngines is the maximum number of engines that one planner handles.
	MaxEngines = 1 << 14
)

// Options configure a Planner. Zero values select the defaults.
type Options struct {
	// StateAge is the maximum age of a state on which a decision is based.
	StateAge time.Duration
	// RetryAfter is how long after an order without visible effect it is sent again.
	// It has to be longer than MaxFlight.
	RetryAfter time.Duration
	// UnloadDelay is how long the preferred version must have been loaded before an
	// unwanted one is unloaded, so that requests that started on the old version can
	// complete there.
	UnloadDelay time.Duration
	// Headroom is the factor applied to the current demand in the capacity check.
	Headroom float64
}

func (o Options) withDefaults() Options {
	o.StateAge = cmp.Or(o.StateAge, DefaultStateAge)
	o.RetryAfter = cmp.Or(o.RetryAfter, DefaultRetryAfter)
	o.UnloadDelay = cmp.Or(o.UnloadDelay, DefaultUnloadDelay)
	o.Headroom = cmp.Or(o.Headroom, DefaultHeadroom)
	return o
}

// Planner decides the orders of one epoch. It is not safe for concurrent use.
type Planner struct {
	opts  Options
	fence lease.Token
	gate  Gate
	// number is the number of the last order.
	number uint64
	// issued is the last order to each engine.
	issued map[ident.Upstream]issuedOrder
	// preferredSince is when each engine was first observed with its model's preferred
	// version.
	preferredSince map[ident.Upstream]observedVersion
	// preferred is each model's preferred version in the last plan; passedOver counts
	// per engine and model the preferred versions that were replaced before it loaded them.
	preferred  map[ident.Model]ident.Version
	passedOver map[engineModel]int
}

type engineModel struct {
	engine ident.Upstream
	model  ident.Model
}

type issuedOrder struct {
	order Order
	at    time.Time
}

// observedVersion is a version and the time at which it was first observed.
type observedVersion struct {
	version ident.Version
	at      time.Time
}

// NewPlanner returns the planner of an epoch.
func NewPlanner(opts Options, fence lease.Token, gate Gate) *Planner {
	return &Planner{
		opts:           opts.withDefaults(),
		fence:          fence,
		gate:           gate,
		issued:         make(map[ident.Upstream]issuedOrder),
		preferredSince: make(map[ident.Upstream]observedVersion),
		preferred:      make(map[ident.Model]ident.Version),
		passedOver:     make(map[engineModel]int),
	}
}

// HoldReason is the reason why an order is held back.
type HoldReason string

// The hold reasons.
const (
	HoldLoading  HoldReason = "as many engines load as allowed"
	HoldCapacity HoldReason = "the engines left would not carry the present demand"
	HoldGate     HoldReason = "an earlier leader's orders may still arrive"
	HoldState    HoldReason = "the engine's state is being read"
)

// Plan is the result of one planning pass.
type Plan struct {
	Orders []Order
	// Read lists engines whose state must be read before orders for them can be
	// decided.
	Read []ident.Upstream
	// Held is the number of orders held back, by reason.
	Held map[HoldReason]int
}

func (p *Plan) hold(reason HoldReason) {
	if p.Held == nil {
		p.Held = make(map[HoldReason]int)
	}
	p.Held[reason]++
}

// Plan decides which orders to send now. The engines may be in any order; those beyond
// MaxEngines are ignored.
func (p *Planner) Plan(now time.Time, wanted []Wanted, engines []Engine) Plan {
	engines = slices.Clone(engines[:min(len(engines), MaxEngines)])
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	p.prune(engines)
	var plan Plan
	for i := range wanted {
		model := &modelPlan{planner: p, now: now, wanted: &wanted[i], plan: &plan}
		for j := range engines {
			if engines[j].serves(wanted[i].Model) && !engines[j].Leaving {
				model.engines = append(model.engines, &engines[j])
			}
		}
		model.decide()
	}
	return plan
}

// prune drops the records of engines and incarnations that are not listed any more.
func (p *Planner) prune(engines []Engine) {
	known := make(map[ident.Upstream]ident.Incarnation, len(engines))
	for i := range engines {
		known[engines[i].ID] = engines[i].Incarnation
	}
	for id, last := range p.issued {
		if incarnation, found := known[id]; !found || incarnation != last.order.Incarnation {
			delete(p.issued, id)
			delete(p.preferredSince, id)
		}
	}
	for id := range p.preferredSince {
		if _, found := known[id]; !found {
			delete(p.preferredSince, id)
		}
	}
	for key := range p.passedOver {
		if _, found := known[key.engine]; !found {
			delete(p.passedOver, key)
		}
	}
}
