package admit

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// Controller is the admission controller of one pool. It is not safe for concurrent
// use.
type Controller struct {
	options Options
	limit   *Limit
	shares  map[ident.Team]Share
	teams   map[ident.Team]*team
	byID    map[ident.Request]*item
	// urgent and relaxed hold the team queues that contain a startable request of
	// that kind, the next to be served first.
	urgent, relaxed indexedHeap[*teamQueue]
	// promotions orders queued relaxed requests by promoteAt, and expirations orders
	// all queued requests by latestStart.
	promotions, expirations indexedHeap[*timedItem]
	// virtualTime is the largest start tag that was granted.
	virtualTime    float64
	running        int
	runningRelaxed int
	queued         int
	drain          drainRate
	refused        map[outcome.Reason]uint64
}

// New returns a Controller in which no team has a configured share.
func New(options Options) *Controller {
	o := options.withDefaults()
	return &Controller{
		options:     o,
		limit:       NewLimit(o.Limit),
		shares:      make(map[ident.Team]Share),
		teams:       make(map[ident.Team]*team),
		byID:        make(map[ident.Request]*item),
		urgent:      indexedHeap[*teamQueue]{less: teamQueueLess},
		relaxed:     indexedHeap[*teamQueue]{less: teamQueueLess},
		promotions:  indexedHeap[*timedItem]{less: timedItemLess},
		expirations: indexedHeap[*timedItem]{less: timedItemLess},
		refused:     make(map[outcome.Reason]uint64),
	}
}

// SetShares replaces the shares of all teams. The Controller keeps the map, so the
// caller must not modify it afterwards. The pools of a process can share one map,
// which saves memory when there are as many teams as callers.
func (c *Controller) SetShares(shares map[ident.Team]Share) error {
	total := 0.0
	for name, s := range shares {
		if s.Guaranteed < 0 || s.Maximum < 0 || s.Maximum > 1 || s.Maximum > 0 && s.Guaranteed > s.Maximum {
			return fmt.Errorf("admit: share of team %q out of range: guaranteed %v, maximum %v", name, s.Guaranteed, s.Maximum)
		}
		total += s.Guaranteed
	}
	if total > 1 {
		return fmt.Errorf("admit: guaranteed shares add up to %v of the pool", total)
	}
	c.shares = shares
	for _, t := range c.teams {
		t.share = c.share(t.name)
		c.reorder(t)
	}
	return nil
}

func (c *Controller) share(name ident.Team) Share {
	s := c.shares[name]
	if s.Maximum == 0 {
		s.Maximum = 1
	}
	return s
}

// Offer requests a slot for req. It returns Granted with the grant, Refused with the
// reason, or Queued, in which case a later call of Next grants or refuses the
// request.
func (c *Controller) Offer(now time.Time, req Request) (Verdict, Grant, *outcome.NotRun) {
	if c.byID[req.ID] != nil {
		return Refused, Grant{}, c.refuse(outcome.ReasonBadRequest, "request id is already in use", 0)
	}
	it := c.newItem(now, req)
	if refusal := c.check(now, it); refusal != nil {
		return Refused, Grant{}, refusal
	}
	t := c.teamOf(req.Team)
	if t == nil {
		return Refused, Grant{}, c.refuse(ReasonQueueFull, "too many teams at once", c.retryAfter(c.queued))
	}
	c.enqueue(now, t, it)
	if grant, ok := c.grantNext(now, it); ok {
		return Granted, grant, nil
	}
	return Queued, Grant{}, nil
}

// check returns a refusal if the request cannot be queued or cannot start in time,
// else nil.
func (c *Controller) check(now time.Time, it *item) *outcome.NotRun {
	ahead := 0
	if t := c.teams[it.Team]; t != nil {
		ahead = t.queued
	}
	if ahead >= c.options.MaxQueuedPerTeam {
		return c.refuse(outcome.ReasonTeamLimit, "the team's queue is full", c.retryAfter(ahead*len(c.teams)))
	}
	if c.queued >= c.options.MaxQueued {
		return c.refuse(ReasonQueueFull, "the pool's queues are full", c.retryAfter(c.queued))
	}
	if !now.Before(it.latestStart) {
		return c.refuse(outcome.ReasonDeadline, "the predicted time to the first token passes the deadline", c.retryAfter(c.queued))
	}
	if it.relaxedAt(now) {
		return nil
	}
	if wait := c.predictedWait(it.Team); now.Add(wait).After(it.latestStart) {
		return c.refuse(outcome.ReasonDeadline, "the queue is longer than the deadline allows", wait)
	}
	return nil
}

// Next refuses the queued requests that can no longer start in time and grants all
// those that may start now. Call it after Done and Cancel, and at the time that Wake
// returns.
func (c *Controller) Next(now time.Time) ([]Grant, []Refusal) {
	var refusals []Refusal
	for !c.expirations.empty() && !now.Before(c.expirations.top().at) {
		it := c.expirations.top().item
		c.drop(it)
		refusals = append(refusals, Refusal{ID: it.ID, NotRun: c.refuse(outcome.ReasonDeadline,
			"no place became free in time", c.retryAfter(c.queued))})
	}
	c.promote(now)
	var grants []Grant
	for {
		grant, ok := c.grantNext(now, nil)
		if !ok {
			return grants, refusals
		}
		grants = append(grants, grant)
	}
}

// Wake returns the time at which Next must be called even if nothing else happens;
// the zero time means immediately. It returns false if no request is queued.
func (c *Controller) Wake() (time.Time, bool) {
	if c.nextQueue() != nil {
		return time.Time{}, true
	}
	if c.expirations.empty() {
		return time.Time{}, false
	}
	at := c.expirations.top().at
	if !c.promotions.empty() && c.promotions.top().at.Before(at) {
		at = c.promotions.top().at
	}
	return at, true
}

// Cancel removes a queued request whose caller has disconnected. It reports whether
// the request was still queued, in which case no part of it was sent.
func (c *Controller) Cancel(id ident.Request) bool {
	it := c.byID[id]
	if it == nil || it.started {
		return false
	}
	c.drop(it)
	return true
}

// FirstToken records how long a started request spent in the upstream's queue and in
// prefill, and the prediction of that time; the limit adapts to the ratio. The time
// spent fetching blocks is excluded, because a slow link is no reason to send fewer
// requests to the upstreams.
func (c *Controller) FirstToken(now time.Time, predicted, measured time.Duration) {
	c.limit.Observe(now, predicted, measured, c.running)
}

// Overloaded records that an upstream refused a request for lack of capacity.
func (c *Controller) Overloaded(now time.Time) { c.limit.Overloaded(now) }

// Done frees the slot of a started request. It returns false if the request holds no
// slot, so that a repeated call frees nothing.
func (c *Controller) Done(now time.Time, id ident.Request) bool {
	it := c.byID[id]
	if it == nil || !it.started {
		return false
	}
	delete(c.byID, id)
	c.running--
	if it.relaxed {
		c.runningRelaxed--
	}
	c.drain.observe(now)
	it.team.running--
	c.reorder(it.team)
	c.release(it.team)
	return true
}

// Status is a summary of a Controller's state.
type Status struct {
	Limit, Running, Queued, Teams int
	Refused                       map[outcome.Reason]uint64
}

// Status returns the counts for metrics and dumps.
func (c *Controller) Status() Status {
	refused := make(map[outcome.Reason]uint64, len(c.refused))
	for reason, n := range c.refused {
		refused[reason] = n
	}
	return Status{Limit: c.limit.Value(), Running: c.running, Queued: c.queued, Teams: len(c.teams), Refused: refused}
}
