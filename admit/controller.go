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
	// queue holds the queued requests; its byID also holds the running ones.
	queue          *Queue
	running        int
	runningRelaxed int
	drain          drainRate
	refused        map[outcome.Reason]uint64
}

// New returns a Controller in which no team has a configured share.
func New(options Options) *Controller {
	o := options.withDefaults()
	return &Controller{
		options: o,
		limit:   NewLimit(o.Limit),
		shares:  make(map[ident.Team]Share),
		queue: NewQueue(QueueOptions{
			MaxQueued: o.MaxQueued, MaxQueuedPerTeam: o.MaxQueuedPerTeam, MaxTeams: o.MaxTeams, MaxWait: o.MaxWait, Relaxed: o.Relaxed,
		}),
		refused: make(map[outcome.Reason]uint64),
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
	for _, t := range c.queue.teams {
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

// teamOf returns the state of the named team, creating it if needed, or nil if there
// are already MaxTeams teams.
func (c *Controller) teamOf(name ident.Team) *team {
	if t := c.queue.teams[name]; t != nil {
		return t
	}
	if len(c.queue.teams) >= c.options.MaxTeams {
		return nil
	}
	t := c.queue.teamOf(name)
	t.share = c.share(name)
	return t
}

// reorder updates a team's place after a change of its counts or share.
func (c *Controller) reorder(t *team) {
	limit := float64(c.limit.Value())
	t.belowGuaranteed = float64(t.running) < t.share.Guaranteed*limit
	t.atMaximum = t.running > 0 && float64(t.running) >= t.share.Maximum*limit
	c.queue.reorder(t)
}

// Offer requests a slot for req. It returns Granted with the grant, Refused with the
// reason, or Queued, in which case a later call of Next grants or refuses the
// request.
func (c *Controller) Offer(now time.Time, req Request) (Verdict, Grant, *outcome.NotRun) {
	c.queue.advance(now)
	if c.queue.byID[req.ID] != nil {
		return Refused, Grant{}, c.refuse(outcome.ReasonBadRequest, "request id is already in use", 0)
	}
	it := c.queue.newItem(now, req)
	if refusal := c.check(now, it); refusal != nil {
		return Refused, Grant{}, refusal
	}
	t := c.teamOf(req.Team)
	if t == nil {
		return Refused, Grant{}, c.refuse(ReasonQueueFull, "too many teams at once", c.retryAfter(c.queue.queued))
	}
	c.queue.push(now, t, it)
	c.reorder(t)
	if grant, ok := c.grantNext(now, it); ok {
		return Granted, grant, nil
	}
	return Queued, Grant{}, nil
}

// check returns a refusal if the request cannot be queued or cannot start in time,
// else nil.
func (c *Controller) check(now time.Time, it *item) *outcome.NotRun {
	ahead := 0
	if t := c.queue.teams[it.Team]; t != nil {
		ahead = t.queued
	}
	if ahead >= c.options.MaxQueuedPerTeam {
		return c.refuse(outcome.ReasonTeamLimit, "the team's queue is full", c.retryAfter(ahead*len(c.queue.teams)))
	}
	if c.queue.queued >= c.options.MaxQueued {
		return c.refuse(ReasonQueueFull, "the pool's queues are full", c.retryAfter(c.queue.queued))
	}
	if !now.Before(it.latestStart) {
		return c.refuse(outcome.ReasonDeadline, "the predicted time to the first token passes the deadline", c.retryAfter(c.queue.queued))
	}
	if it.lane.state() == relaxed {
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
	for _, id := range c.queue.Expire(now) {
		refusals = append(refusals, Refusal{ID: id, NotRun: c.refuse(outcome.ReasonDeadline,
			"no place became free in time", c.retryAfter(c.queue.queued))})
	}
	c.queue.advance(now)
	var grants []Grant
	for {
		grant, ok := c.grantNext(now, nil)
		if !ok {
			return grants, refusals
		}
		grants = append(grants, grant)
	}
}

// grantNext starts the next request if a slot is free. If only is not nil, it starts
// that request or none.
func (c *Controller) grantNext(now time.Time, only *item) (Grant, bool) {
	it := c.next()
	if it == nil || only != nil && it != only {
		return Grant{}, false
	}
	t := it.team
	c.queue.charge(it)
	c.queue.dequeue(it)
	it.started = true
	c.running++
	if it.lane.state() == relaxed {
		c.runningRelaxed++
	}
	t.running++
	c.reorder(t)
	return Grant{ID: it.ID, Priority: c.priority(now, it), Waited: now.Sub(it.offeredAt)}, true
}

// next returns the request that may start next, nil if none may.
func (c *Controller) next() *item {
	limit, open := c.limit.Value(), allLanes
	if c.running >= limit {
		return nil
	}
	if c.runningRelaxed >= max(1, int(c.options.RelaxedShare*float64(limit))) {
		open &^= allLanes.ofState(relaxed)
	}
	l, found := c.queue.pick(open)
	if !found {
		return nil
	}
	return c.queue.lanes[l].teams.top().items.top()
}

// priority returns the time at which a request must start, in Unix milliseconds, so
// that the values of all entries are comparable in an engine's queue. A request past
// its target does not overtake those that can still meet theirs: under overload, pure
// earliest-deadline-first would serve only requests that are late anyway.
func (c *Controller) priority(now time.Time, it *item) int {
	slack := it.Target.Sub(now) - it.Service
	if slack < 0 {
		slack = lateSlack
	}
	return int(now.Add(min(slack, maxSlack)).UnixMilli())
}

const (
	// lateSlack is the slack as which a request past its target counts.
	lateSlack = 100 * time.Millisecond
	// maxSlack bounds the slack that counts in the priority.
	maxSlack = time.Hour
)

func (c *Controller) refuse(reason outcome.Reason, detail string, retry time.Duration) *outcome.NotRun {
	c.refused[reason]++
	return &outcome.NotRun{Reason: reason, Detail: detail, RetryAfter: retry}
}

// Wake returns the time at which Next must be called even if nothing else happens;
// the zero time means immediately. It returns false if no request is queued.
func (c *Controller) Wake() (time.Time, bool) {
	if c.next() != nil {
		return time.Time{}, true
	}
	if c.queue.expirations.empty() {
		return time.Time{}, false
	}
	at := c.queue.expirations.top().at
	if !c.queue.changes.empty() && c.queue.changes.top().at.Before(at) {
		at = c.queue.changes.top().at
	}
	return at, true
}

// Cancel removes a queued request whose caller has disconnected. It reports whether
// the request was still queued, in which case no part of it was sent.
func (c *Controller) Cancel(id ident.Request) bool {
	it := c.queue.byID[id]
	if it == nil || it.started {
		return false
	}
	c.queue.drop(it)
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
	it := c.queue.byID[id]
	if it == nil || !it.started {
		return false
	}
	delete(c.queue.byID, id)
	c.running--
	if it.lane.state() == relaxed {
		c.runningRelaxed--
	}
	c.drain.observe(now)
	it.team.running--
	c.reorder(it.team)
	c.queue.release(it.team)
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
	return Status{Limit: c.limit.Value(), Running: c.running, Queued: c.queue.queued, Teams: len(c.queue.teams), Refused: refused}
}
