package control

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/order"
)

// Defaults of OrderOptions.
const (
	DefaultPlanInterval     = 500 * time.Millisecond
	DefaultOrderConcurrency = 16
	stateTimeout            = 2 * time.Second
)

// OrderOptions configure an Orderer. Zero values mean the defaults.
type OrderOptions struct {
	Server *Server
	// Dial returns the engine at an address. It does not connect yet.
	Dial func(address string) (port.Engine, error)
	Log  *log.Logger
	// PlanInterval is how often a plan is made.
	PlanInterval time.Duration
	// Concurrency bounds the engines that are read or ordered at once.
	Concurrency int
	Planner     order.Options
	// Clock tells the time since the proof of leadership, nil means time.Now. It must be
	// steady and go on while the machine is suspended.
	Clock func() time.Time
}

// Orderer gives engines the orders that order.Planner decides while its
// server leads.
type Orderer struct {
	opts OrderOptions

	mu     sync.Mutex
	status OrderStatus
}

// OrderStatus describes an Orderer for status and dumps.
type OrderStatus struct {
	Sent       uint64 `json:"sent" cbor:"1,keyasint"`
	Failed     uint64 `json:"failed" cbor:"2,keyasint"`
	Superseded uint64 `json:"superseded" cbor:"3,keyasint"`
	// Held counts the orders held back by the last plan.
	Held map[order.HoldReason]int `json:"held,omitempty" cbor:"4,keyasint,omitempty"`
}

// NewOrderer returns an orderer; Run starts it.
func NewOrderer(opts OrderOptions) *Orderer {
	opts.PlanInterval = cmp.Or(opts.PlanInterval, DefaultPlanInterval)
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	opts.Concurrency = cmp.Or(opts.Concurrency, DefaultOrderConcurrency)
	return &Orderer{opts: opts}
}

// Status returns the orderer's counts.
func (o *Orderer) Status() OrderStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.status
}

// Run gives orders while the server leads, until ctx ends.
func (o *Orderer) Run(ctx context.Context) error {
	ticker := time.NewTicker(o.opts.PlanInterval)
	defer ticker.Stop()
	var current *orderEpoch
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		l := o.opts.Server.leadership.Load()
		if l == nil {
			current = nil
			continue
		}
		if current == nil || current.leadership != l {
			current = o.begin(l)
		}
		o.round(ctx, current)
	}
}

// orderEpoch is what one epoch's orders are decided on.
type orderEpoch struct {
	leadership *leadership
	planner    *order.Planner
	states     map[ident.Upstream]readState
}

type readState struct {
	incarnation ident.Incarnation
	state       order.State
}

func (o *Orderer) begin(l *leadership) *orderEpoch {
	gate := order.NewGate(l.began, l.epoch.Token == 1)
	return &orderEpoch{
		leadership: l,
		planner:    order.NewPlanner(o.opts.Planner, l.epoch.Token, gate),
		states:     make(map[ident.Upstream]readState),
	}
}

// round plans once, reads the states the plan asks for and sends its orders.
func (o *Orderer) round(ctx context.Context, e *orderEpoch) {
	upstreams := o.opts.Server.reports.upstreams(time.Now())
	e.forget(upstreams)
	wanted := wantedOf(o.opts.Server.opts.Machine.Current())
	plan := e.planner.Plan(time.Now(), wanted, e.engines(upstreams))
	o.mu.Lock()
	o.status.Held = plan.Held
	o.mu.Unlock()
	if len(plan.Orders) > 0 {
		if until, ok := o.maySend(ctx, e); ok {
			o.each(len(plan.Orders), func(i int) { o.send(ctx, plan.Orders[i], until) })
		}
	}
	read := plan.Read
	for _, sent := range plan.Orders {
		read = append(read, sent.Upstream)
	}
	o.readStates(ctx, e, upstreams, read)
}

// maySend proves that this host still leads, and returns until when orders may be
// sent by the proof.
func (o *Orderer) maySend(ctx context.Context, e *orderEpoch) (until time.Time, ok bool) {
	began := o.opts.Clock()
	if o.opts.Server.barrier(ctx) != nil || o.opts.Clock().Sub(began) > order.LeaderLease/2 {
		return time.Time{}, false
	}
	ok = o.opts.Server.leading(func(*leadership, time.Time) {}) == nil && e.leadership.done.Err() == nil
	return began.Add(order.LeaderLease), ok
}

func (o *Orderer) each(n int, f func(int)) {
	var group errgroup.Group
	group.SetLimit(o.opts.Concurrency)
	for i := range n {
		group.Go(func() error {
			f(i)
			return nil
		})
	}
	// The functions report their own failures and return none.
	_ = group.Wait()
}

// errLate reports an order that was not sent, for the proof of leadership is too old.
var errLate = errors.New("the proof of leadership is too old")

func (o *Orderer) send(ctx context.Context, next order.Order, until time.Time) {
	result, err := o.deliver(ctx, next, until)
	fields := []any{"upstream", next.Upstream, "kind", next.Kind, "model", next.Model, "version", next.Version,
		"adapter", next.Adapter, "role", next.Role, "fence", next.Fence}
	if errors.Is(err, errLate) {
		o.opts.Log.Warn("order held back", append(fields, "cause", err)...)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.status.Sent++
	switch {
	case err != nil:
		// The state read next tells whether the order arrived.
		o.status.Failed++
		o.opts.Log.Warn("order without an answer", append(fields, "err", err)...)
	case !result.Accepted:
		o.status.Superseded++
		o.opts.Log.Warn("order refused", append(fields, "highest", result.HighestFence)...)
	default:
		o.opts.Log.Info("order accepted", fields...)
	}
}

func (o *Orderer) deliver(ctx context.Context, next order.Order, until time.Time) (port.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, order.SendTimeout)
	defer cancel()
	engine, err := o.opts.Dial(next.Address)
	if err != nil {
		return port.OrderResult{}, eris.Wrapf(err, "dial engine %s", next.Upstream)
	}
	// Orders wait for one another, and the machine may have been suspended.
	if !o.opts.Clock().Before(until) {
		return port.OrderResult{}, errLate
	}
	return engine.Order(ctx, port.Order{
		ID:      next.ID(),
		Fence:   uint64(next.Fence),
		Kind:    port.OrderKind(next.Kind),
		Model:   next.Model,
		Version: next.Version,
		Adapter: next.Adapter,
		Role:    next.Role,
	})
}
