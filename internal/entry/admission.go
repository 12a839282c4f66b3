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

// poolKey identifies a pool by its model or service; one of the two is set.
type poolKey struct {
	model   ident.Model
	service ident.Service
}

// pool is the admission control of one model or service. The entry's mutex
// guards it.
type pool struct {
	entry      *Entry
	controller *admit.Controller
	// slots is the number of upstream slots when the pool was created.
	slots int
	// revision is the configuration revision whose shares were given to the
	// controller.
	revision config.Revision
	waiting  map[ident.Request]chan admission
	timer    *time.Timer
}

// admission is the result of waiting in a pool: a grant or a refusal.
type admission struct {
	grant   admit.Grant
	refused *outcome.NotRun
}

// poolOf returns the pool of a configured model or service, creating it if
// needed. An outgrown pool is replaced by a new one; requests already in the
// old pool wait and run on in it. The caller holds the mutex.
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
			// A configuration is validated before it is committed. If its
			// shares are refused nevertheless, the previous ones stay in force.
			e.options.Log.Error("shares rejected", "revision", uint64(snapshot.Revision()), "err", err)
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

// requestsPerSlot is the number of requests per upstream slot in the initial
// limit of a pool: one running and one queued at the engine, so that a slot
// that becomes free is filled immediately.
const requestsPerSlot = 2

// outgrown reports whether the number of upstream slots has changed by more
// than a quarter since the pool was created. The limit adapts by one request
// per round, which would take minutes after an entry starts, while upstreams
// announce themselves one after the other.
func (p *pool) outgrown(slots int) bool {
	change := slots - p.slots
	return 4*max(change, -change) > p.slots
}

// countSlots adds the slots of an upstream to its pools (sign 1) or subtracts
// them (sign -1). The caller holds the mutex.
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

// teamShares caches the shares of one configuration revision. All pools use the
// same map.
type teamShares struct {
	revision config.Revision
	shares   map[ident.Team]admit.Share
}

// sharesOf returns the shares of a snapshot, computed once per revision. The
// caller holds the mutex.
func (e *Entry) sharesOf(snapshot *config.Snapshot) map[ident.Team]admit.Share {
	if e.shares.shares == nil || e.shares.revision != snapshot.Revision() {
		e.shares = teamShares{revision: snapshot.Revision(), shares: listShares(snapshot)}
	}
	return e.shares.shares
}

// listShares returns the shares of the teams that have a guaranteed or a
// maximum share.
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

// enter waits for admission to a pool. After success the caller must call
// leave.
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
	case received := <-wait:
		return p.result(received)
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
	// The grant or refusal was delivered concurrently and is in the channel.
	return p.result(<-wait)
}

func (p *pool) result(received admission) (*pool, admit.Grant, error) {
	if received.refused != nil {
		return nil, admit.Grant{}, received.refused
	}
	return p, received.grant, nil
}

// endedBeforeSend returns the outcome of a request whose context ended before
// any of it was sent.
func endedBeforeSend(ctx context.Context) error {
	if context.Cause(ctx) == errDeadline {
		return &outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "the deadline passed before the request was sent"}
	}
	return &outcome.NotRun{Reason: outcome.ReasonCallerGone, Detail: "the caller left before the request was sent"}
}

// leave releases a request's admission and admits the next requests.
func (p *pool) leave(id ident.Request) {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	p.controller.Done(time.Now(), id)
	p.advance()
}

// wake is the callback of the pool's timer.
func (p *pool) wake() {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	p.advance()
}

// advance delivers grants and refusals and schedules the next wake-up. The
// caller holds the mutex.
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

// minWake is the minimum timer delay. It prevents a busy loop when the next
// wake-up is already due.
const minWake = time.Millisecond

func (p *pool) deliver(id ident.Request, result admission) {
	wait, ok := p.waiting[id]
	if !ok {
		return
	}
	delete(p.waiting, id)
	wait <- result
}
