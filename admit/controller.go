package admit

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// Controller guards one pool. It is not safe for concurrent use.
type Controller struct {
	options Options
	limit   *Limit
	shares  map[ident.Team]Share
	teams   map[ident.Team]*team
	byID    map[ident.Request]*item
	// urgent and relaxed hold the teams that have a request of that kind which
	// may start, ordered by who is served next.
	urgent, relaxed heapOf[*lane]
	// turning orders relaxed requests by when their slack runs out, and
	// expiring all waiting ones by when they are given up.
	turning, expiring heapOf[*ticket]
	// virtual is the start tag of the last grant: the virtual time.
	virtual        float64
	running        int
	runningRelaxed int
	queued         int
	drain          drainRate
	refused        map[outcome.Reason]uint64
}

// New returns a Controller without shares.
func New(options Options) *Controller {
	o := options.withDefaults()
	return &Controller{
		options:  o,
		limit:    NewLimit(o.Limit),
		shares:   make(map[ident.Team]Share),
		teams:    make(map[ident.Team]*team),
		byID:     make(map[ident.Request]*item),
		urgent:   heapOf[*lane]{less: laneLess},
		relaxed:  heapOf[*lane]{less: laneLess},
		turning:  heapOf[*ticket]{less: ticketLess},
		expiring: heapOf[*ticket]{less: ticketLess},
		refused:  make(map[outcome.Reason]uint64),
	}
}

// SetShares replaces the teams' shares with those of a new configuration. The
// map is kept and must not be changed any more; the pools of a process can share
// it, which matters when there are as many teams as callers.
func (c *Controller) SetShares(shares map[ident.Team]Share) error {
	total := 0.0
	for name, s := range shares {
		if s.Guaranteed < 0 || s.Maximum < 0 || s.Maximum > 1 || s.Maximum > 0 && s.Guaranteed > s.Maximum {
			return fmt.Errorf("admit: share of team %q out of range: floor %v, ceiling %v", name, s.Guaranteed, s.Maximum)
		}
		total += s.Guaranteed
	}
	if total > 1 {
		return fmt.Errorf("admit: floors add up to %v of the pool", total)
	}
	c.shares = shares
	for _, t := range c.teams {
		t.share = c.share(t.name)
		c.place(t)
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

// Offer asks for a place. A refusal comes with the verdict Refused; a grant
// with Granted. After Queued, Next decides.
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

// check refuses what can't be queued or could not start in time.
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
	if !now.Before(it.giveUp) {
		return c.refuse(outcome.ReasonDeadline, "the predicted time to the first token passes the deadline", c.retryAfter(c.queued))
	}
	if it.relaxedAt(now) {
		return nil
	}
	if wait := c.predictedWait(it.Team); now.Add(wait).After(it.giveUp) {
		return c.refuse(outcome.ReasonDeadline, "the queue is longer than the deadline allows", wait)
	}
	return nil
}

// Next grants and refuses waiting requests until nothing more may start or be
// given up. Call it after Done and Cancel, and at the time Wake returns.
func (c *Controller) Next(now time.Time) ([]Grant, []Refusal) {
	var refusals []Refusal
	for !c.expiring.empty() && !now.Before(c.expiring.top().at) {
		it := c.expiring.top().item
		c.drop(it)
		refusals = append(refusals, Refusal{ID: it.ID, NotRun: c.refuse(outcome.ReasonDeadline,
			"no place became free in time", c.retryAfter(c.queued))})
	}
	c.turn(now)
	var grants []Grant
	for {
		grant, ok := c.grantNext(now, nil)
		if !ok {
			return grants, refusals
		}
		grants = append(grants, grant)
	}
}

// Wake returns when Next must be called although nothing else happened; the
// zero time means at once. It reports false when no request waits.
func (c *Controller) Wake() (time.Time, bool) {
	if c.nextLane() != nil {
		return time.Time{}, true
	}
	if c.expiring.empty() {
		return time.Time{}, false
	}
	at := c.expiring.top().at
	if !c.turning.empty() && c.turning.top().at.Before(at) {
		at = c.turning.top().at
	}
	return at, true
}

// Cancel takes out a request whose caller has left. It reports whether the
// request was still waiting; if it was, nothing of it was sent.
func (c *Controller) Cancel(id ident.Request) bool {
	it := c.byID[id]
	if it == nil || it.started {
		return false
	}
	c.drop(it)
	return true
}

// FirstToken tells how long a started request took in the upstream, in queue and
// prefill, and what was predicted; the limit adapts to it. Time spent on fetching
// blocks is left out: a slow link is no reason to send less to the upstreams.
func (c *Controller) FirstToken(now time.Time, predicted, measured time.Duration) {
	c.limit.Observe(now, predicted, measured, c.running)
}

// Overloaded tells that an upstream refused a request for want of room.
func (c *Controller) Overloaded(now time.Time) { c.limit.Overloaded(now) }

// Done frees the place of a started request. It reports false for a request
// that holds none, so that a repeated call frees nothing twice.
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
	c.place(it.team)
	c.release(it.team)
	return true
}

// Status describes a Controller.
type Status struct {
	Limit, Running, Queued, Teams int
	Refused                       map[outcome.Reason]uint64
}

// Status returns counts for metrics and dumps.
func (c *Controller) Status() Status {
	refused := make(map[outcome.Reason]uint64, len(c.refused))
	for reason, n := range c.refused {
		refused[reason] = n
	}
	return Status{Limit: c.limit.Value(), Running: c.running, Queued: c.queued, Teams: len(c.teams), Refused: refused}
}
