package entry

import (
	"context"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/admit"
	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// poolKey names what requests compete for: a model or a service.
type poolKey struct {
	model   ident.Model
	service ident.Service
}

// pool is the admission to one model or service. The entry's mutex guards it.
type pool struct {
	entry      *Entry
	controller *admit.Controller
	// slots is how many the upstreams had when the pool began.
	slots int
	// revision is the configuration whose shares the controller has.
	revision config.Revision
	waiting  map[ident.Request]chan admission
	timer    *time.Timer
}

// admission is the end of a wait.
type admission struct {
	grant   admit.Grant
	refused *outcome.NotRun
}

// poolOf returns the pool of a configured model or service. The caller holds
// the mutex. A pool that was outgrown makes way for a new one; its own requests
// wait and run on in it.
func (e *Entry) poolOf(key poolKey, snapshot *config.Snapshot) (*pool, error) {
	p, slots := e.pools[key], e.slots[key]
	if p == nil && len(e.pools) >= maxPools {
		return nil, &outcome.NotRun{Reason: outcome.ReasonOverloaded, Detail: "too many models and services in use at this entry"}
	}
	if p == nil || p.outgrown(slots) {
		p = e.newPool(slots)
		e.pools[key] = p
	}
	if snapshot.Revision() > p.revision {
		p.revision = snapshot.Revision()
		if err := p.controller.SetShares(e.sharesOf(snapshot)); err != nil {
			// The configuration is validated before it is committed; shares
			// that do not fit leave the former ones in force.
			e.options.Log.Error("shares refused", "revision", uint64(snapshot.Revision()), "err", err)
		}
	}
	return p, nil
}

func (e *Entry) newPool(slots int) *pool {
	p := &pool{
		entry: e,
		slots: slots,
		controller: admit.New(admit.Options{
			MaxQueued: e.options.MaxInFlight,
			Limit:     admit.LimitOptions{Initial: requestsPerSlot * slots},
		}),
		waiting: make(map[ident.Request]chan admission),
	}
	p.timer = time.AfterFunc(time.Hour, p.wake)
	p.timer.Stop()
	return p
}

// requestsPerSlot is how many requests the limit of a new pool allows for each
// slot of its upstreams: one that runs and one that waits at the engine, so
// that a slot that becomes free is filled at once.
const requestsPerSlot = 2

// outgrown tells whether the upstreams' slots have changed by more than a
// quarter since the pool began. Its limit adapts by one request a round, which
// would take minutes after the start of an entry, when upstreams announce
// themselves one after the other.
func (p *pool) outgrown(slots int) bool {
	change := slots - p.slots
	return 4*max(change, -change) > p.slots
}

// countSlots adds the slots of an upstream to its pools, or takes them away.
// The caller holds the mutex.
func (e *Entry) countSlots(f *followed, sign int) {
	var keys []poolKey
	if f.announced.Service != "" {
		keys = append(keys, poolKey{service: f.announced.Service})
	}
	for _, loaded := range f.announced.Models {
		if key := (poolKey{model: loaded.Model}); !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		e.slots[key] += sign * f.announced.Slots
		if e.slots[key] <= 0 {
			delete(e.slots, key)
		}
	}
}

// teamShares are the shares of one revision, the same map for all pools.
type teamShares struct {
	revision config.Revision
	shares   map[ident.Team]admit.Share
}

// sharesOf returns the shares of a snapshot, listed once for each revision. The
// caller holds the mutex.
func (e *Entry) sharesOf(snapshot *config.Snapshot) map[ident.Team]admit.Share {
	if e.shares.shares == nil || e.shares.revision != snapshot.Revision() {
		e.shares = teamShares{revision: snapshot.Revision(), shares: listShares(snapshot)}
	}
	return e.shares.shares
}

// listShares lists the teams that have a floor or a ceiling.
func listShares(snapshot *config.Snapshot) map[ident.Team]admit.Share {
	shares := make(map[ident.Team]admit.Share)
	for team := range snapshot.Teams() {
		if team.Share.Guaranteed != 0 || team.Share.Maximum != 0 {
			shares[team.Name] = admit.Share{
				Guaranteed: team.Share.Guaranteed.Fraction(),
				Maximum:    team.Share.Maximum.Fraction(),
			}
		}
	}
	return shares
}

// enter waits for a place in a pool. On success leave must follow.
func (e *Entry) enter(ctx context.Context, key poolKey, snapshot *config.Snapshot, req admit.Request) (*pool, admit.Grant, error) {
	e.mu.Lock()
	p, err := e.poolOf(key, snapshot)
	if err != nil {
		e.mu.Unlock()
		return nil, admit.Grant{}, err
	}
	verdict, grant, refused := p.controller.Offer(time.Now(), req)
	if verdict != admit.Queued {
		e.mu.Unlock()
		if refused != nil {
			return nil, admit.Grant{}, refused
		}
		return p, grant, nil
	}
	wait := make(chan admission, 1)
	p.waiting[req.ID] = wait
	p.advance()
	e.mu.Unlock()
	return p.await(ctx, req.ID, wait)
}

func (p *pool) await(ctx context.Context, id ident.Request, wait chan admission) (*pool, admit.Grant, error) {
	select {
	case end := <-wait:
		return p.ended(end)
	case <-ctx.Done():
	}
	p.entry.mu.Lock()
	cancelled := p.controller.Cancel(id)
	if cancelled {
		delete(p.waiting, id)
		p.advance()
	}
	p.entry.mu.Unlock()
	if cancelled {
		return nil, admit.Grant{}, endedBeforeSend(ctx)
	}
	// The grant or refusal came at the same moment; it is in the channel.
	return p.ended(<-wait)
}

func (p *pool) ended(end admission) (*pool, admit.Grant, error) {
	if end.refused != nil {
		return nil, admit.Grant{}, end.refused
	}
	return p, end.grant, nil
}

// endedBeforeSend is the outcome of a request whose context ended while
// nothing of it had been sent.
func endedBeforeSend(ctx context.Context) error {
	if context.Cause(ctx) == errDeadline {
		return &outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "the deadline passed before the request was sent"}
	}
	return &outcome.NotRun{Reason: outcome.ReasonCallerGone, Detail: "the caller left before the request was sent"}
}

// leave gives a place back and lets the next request start.
func (p *pool) leave(id ident.Request) {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	p.controller.Done(time.Now(), id)
	p.advance()
}

// wake is called by the pool's timer.
func (p *pool) wake() {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	p.advance()
}

// advance delivers grants and refusals and sets the timer for the next one.
// The caller holds the mutex.
func (p *pool) advance() {
	now := time.Now()
	grants, refusals := p.controller.Next(now)
	for _, grant := range grants {
		p.deliver(grant.ID, admission{grant: grant})
	}
	for _, refusal := range refusals {
		p.deliver(refusal.ID, admission{refused: refusal.NotRun})
	}
	if at, ok := p.controller.Wake(); ok {
		p.timer.Reset(max(at.Sub(now), minWake))
	}
}

// minWake keeps a pool whose next wake is due from spinning.
const minWake = time.Millisecond

func (p *pool) deliver(id ident.Request, end admission) {
	wait, ok := p.waiting[id]
	if !ok {
		return
	}
	delete(p.waiting, id)
	wait <- end
}
