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

// Default values of OrderOptions, and stateTimeout, the limit of one state query.
const (
	DefaultPlanInterval     = 500 * time.Millisecond
	DefaultOrderConcurrency = 16
	stateTimeout            = 2 * time.Second
)

// OrderOptions configure an Orderer. Zero values mean the defaults.
type OrderOptions struct {
	Server *Server
	// Dial returns a client of the engine at an address without connecting.
	Dial func(address string) (port.Engine, error)
	Log  *log.Logger
	// PlanInterval is the interval between plans.
	PlanInterval time.Duration
	// Concurrency limits the concurrent state queries or orders.
	Concurrency int
	Planner     order.Options
	// Clock measures the age of the proof of leadership. Nil means time.Now. It must
	// be monotonic and include the time that the machine is suspended.
	Clock func() time.Time
}

// Orderer sends the orders of an order.Planner to engines while its server
// leads.
type Orderer struct {
	opts OrderOptions

	mu     sync.Mutex
	status OrderStatus
}

// OrderStatus contains the counters of an Orderer for status and dumps.
type OrderStatus struct {
	Sent       uint64 `json:"sent" cbor:"1,keyasint"`
	Failed     uint64 `json:"failed" cbor:"2,keyasint"`
	Superseded uint64 `json:"superseded" cbor:"3,keyasint"`
	// Held is the number of orders withheld by the last plan, by reason.
	Held map[order.HoldReason]int `json:"held,omitempty" cbor:"4,keyasint,omitempty"`
}

// NewOrderer returns an orderer. Run must be called to send orders.
func NewOrderer(opts OrderOptions) *Orderer {
	opts.PlanInterval = cmp.Or(opts.PlanInterval, DefaultPlanInterval)
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	opts.Concurrency = cmp.Or(opts.Concurrency, DefaultOrderConcurrency)
	return &Orderer{opts: opts}
}

// Status returns the orderer's counters.
func (o *Orderer) Status() OrderStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.status
}

// Run sends orders while the server leads. It returns when ctx is done.
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
			current = o.newEpoch(l)
		}
		o.planAndSend(ctx, current)
	}
}

// orderEpoch is the state that the orders of one epoch are planned with.
type orderEpoch struct {
	leadership *leadership
	planner    *order.Planner
	states     map[ident.Upstream]readState
}

// readState is the last state read from an engine, with its incarnation.
type readState struct {
	incarnation ident.Incarnation
	state       order.State
}

func (o *Orderer) newEpoch(l *leadership) *orderEpoch {
	gate := order.NewGate(l.startedAt, l.epoch.Token == 1)
	return &orderEpoch{
		leadership: l,
		planner:    order.NewPlanner(o.opts.Planner, l.epoch.Token, gate),
		states:     make(map[ident.Upstream]readState),
	}
}

// planAndSend makes one plan, sends its orders, and then reads the states that
// the plan requests and those of the ordered engines.
func (o *Orderer) planAndSend(ctx context.Context, e *orderEpoch) {
	upstreams := o.opts.Server.reports.upstreams(time.Now())
	e.removeStale(upstreams)
	wanted := wantedOf(o.opts.Server.opts.Machine.Current())
	plan := e.planner.Plan(time.Now(), wanted, e.engines(upstreams))
	o.mu.Lock()
	o.status.Held = plan.Held
	o.mu.Unlock()
	if len(plan.Orders) > 0 {
		if until, ok := o.confirmLeadership(ctx, e); ok {
			o.forEach(len(plan.Orders), func(i int) { o.send(ctx, plan.Orders[i], until) })
		}
	}
	read := plan.Read
	for _, sent := range plan.Orders {
		read = append(read, sent.Upstream)
	}
	o.readStates(ctx, e, upstreams, read)
}

// confirmLeadership confirms that this host still leads and returns the time
// until which orders may be sent under this proof. It returns false if the host
// doesn't lead or the proof took longer than half of order.LeaderLease.
func (o *Orderer) confirmLeadership(ctx context.Context, e *orderEpoch) (until time.Time, ok bool) {
	start := o.opts.Clock()
	if o.opts.Server.barrier(ctx) != nil || o.opts.Clock().Sub(start) > order.LeaderLease/2 {
		return time.Time{}, false
	}
	ok = o.opts.Server.withLeadership(func(*leadership, time.Time) {}) == nil && e.leadership.leadCtx.Err() == nil
	return start.Add(order.LeaderLease), ok
}

// forEach calls f with 0 to n-1, with at most Concurrency calls at a time.
func (o *Orderer) forEach(n int, f func(int)) {
	var group errgroup.Group
	group.SetLimit(o.opts.Concurrency)
	for i := range n {
		group.Go(func() error {
			f(i)
			return nil
		})
	}
	// The functions handle their own failures and return no errors.
	_ = group.Wait()
}

// errProofExpired is returned for an order that was not sent because the proof of
// leadership had expired.
var errProofExpired = errors.New("proof of leadership has expired")

func (o *Orderer) send(ctx context.Context, next order.Order, until time.Time) {
	result, err := o.deliver(ctx, next, until)
	fields := []any{"upstream", next.Upstream, "kind", next.Kind, "model", next.Model, "version", next.Version,
		"adapter", next.Adapter, "role", next.Role, "fence", next.Fence}
	if errors.Is(err, errProofExpired) {
		o.opts.Log.Warn("order held back", append(fields, "cause", err)...)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.status.Sent++
	switch {
	case err != nil:
		// The next state read shows whether the order arrived.
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
	// The proof may have expired while the order waited for others or the machine
	// was suspended.
	if !o.opts.Clock().Before(until) {
		return port.OrderResult{}, errProofExpired
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
