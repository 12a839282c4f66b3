package admit

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// item is one request that waits or runs.
type item struct {
	Request
	team    *team
	offered time.Time
	// giveUp is the latest start that still meets the deadline, and turnAt the
	// time when a request with slack has none left.
	giveUp, turnAt time.Time
	relaxed        bool
	started        bool
	at             int // in the lane's heap
	expire, turn   ticket
}

func (it *item) place() *int { return &it.at }

// relaxedAt tells whether the request has slack at a time.
func (it *item) relaxedAt(now time.Time) bool { return now.Before(it.turnAt) }

func itemLess(a, b *item) bool {
	if !a.Target.Equal(b.Target) {
		return a.Target.Before(b.Target)
	}
	return a.offered.Before(b.offered)
}

// ticket places an item in one of the heaps by time.
type ticket struct {
	item  *item
	at    time.Time
	index int
}

func (t *ticket) place() *int { return &t.index }

func ticketLess(a, b *ticket) bool { return a.at.Before(b.at) }

// lane holds a team's waiting requests of one kind, urgent or relaxed.
type lane struct {
	team  *team
	items heapOf[*item]
	at    int
}

func (l *lane) place() *int { return &l.at }

// laneLess serves teams below their floor first, then by start tag.
func laneLess(a, b *lane) bool {
	if a.team.belowFloor != b.team.belowFloor {
		return a.team.belowFloor
	}
	if a.team.tag != b.team.tag {
		return a.team.tag < b.team.tag
	}
	return a.team.name < b.team.name
}

// team is a team with waiting or running requests.
type team struct {
	name            ident.Team
	share           Share
	urgent, relaxed lane
	queued, running int
	// tag is the virtual time at which the team's next request starts.
	tag        float64
	belowFloor bool
}

// teamOf returns the state of a team, or nil when there are too many.
func (c *Controller) teamOf(name ident.Team) *team {
	if t := c.teams[name]; t != nil {
		return t
	}
	if len(c.teams) >= c.options.MaxTeams {
		return nil
	}
	t := &team{name: name, share: c.share(name), tag: c.virtual}
	t.urgent = lane{team: t, items: heapOf[*item]{less: itemLess}, at: -1}
	t.relaxed = lane{team: t, items: heapOf[*item]{less: itemLess}, at: -1}
	c.teams[name] = t
	return t
}

// release forgets a team that neither waits nor runs. A team that is ahead of
// the virtual time is kept only while it runs: forgetting it then gives back at
// most the work of one request, and the map stays as small as what is active.
func (c *Controller) release(t *team) {
	if t.queued == 0 && t.running == 0 {
		delete(c.teams, t.name)
	}
}

func (c *Controller) newItem(now time.Time, req Request) *item {
	req.Cost = max(req.Cost, 1)
	deadline := req.Deadline
	if deadline.IsZero() {
		deadline = now.Add(c.options.MaxWait + req.Service)
	}
	it := &item{Request: req, offered: now, at: -1}
	it.giveUp = deadline.Add(-req.Service)
	it.turnAt = req.Target.Add(-req.Service - c.options.Relaxed)
	it.relaxed = it.relaxedAt(now)
	it.expire = ticket{item: it, at: it.giveUp, index: -1}
	it.turn = ticket{item: it, at: it.turnAt, index: -1}
	return it
}

func (c *Controller) enqueue(now time.Time, t *team, it *item) {
	it.team = t
	c.byID[it.ID] = it
	if t.queued == 0 && t.tag < c.virtual {
		// A team that was idle gets no credit for it: else it could hold the
		// pool for as long as it was away.
		t.tag = c.virtual
	}
	t.queued++
	c.queued++
	c.expiring.push(&it.expire)
	if it.relaxed {
		c.turning.push(&it.turn)
		t.relaxed.items.push(it)
	} else {
		t.urgent.items.push(it)
	}
	c.place(t)
}

// turn moves requests whose slack has run out to the urgent lane.
func (c *Controller) turn(now time.Time) {
	for !c.turning.empty() && !now.Before(c.turning.top().at) {
		it := c.turning.top().item
		c.turning.remove(&it.turn)
		it.team.relaxed.items.remove(it)
		it.relaxed = false
		it.team.urgent.items.push(it)
		c.place(it.team)
	}
}

// drop takes a waiting request out of all queues.
func (c *Controller) drop(it *item) {
	c.unqueue(it)
	delete(c.byID, it.ID)
	c.release(it.team)
}

func (c *Controller) unqueue(it *item) {
	t := it.team
	if it.relaxed {
		t.relaxed.items.remove(it)
	} else {
		t.urgent.items.remove(it)
	}
	c.expiring.remove(&it.expire)
	c.turning.remove(&it.turn)
	t.queued--
	c.queued--
	c.place(t)
}

// place puts a team's lanes where they belong after a change of its counts.
func (c *Controller) place(t *team) {
	limit := float64(c.limit.Value())
	t.belowFloor = float64(t.running) < t.share.Guaranteed*limit
	atCeiling := t.running > 0 && float64(t.running) >= t.share.Maximum*limit
	placeLane(&c.urgent, &t.urgent, atCeiling)
	placeLane(&c.relaxed, &t.relaxed, atCeiling)
}

func placeLane(h *heapOf[*lane], l *lane, atCeiling bool) {
	wanted := !l.items.empty() && !atCeiling
	switch {
	case wanted && l.at < 0:
		h.push(l)
	case wanted:
		h.fix(l)
	default:
		h.remove(l)
	}
}

// grantNext starts the next request if a place is free. When only is set it
// starts that request or none.
func (c *Controller) grantNext(now time.Time, only *item) (Grant, bool) {
	l := c.nextLane()
	if l == nil {
		return Grant{}, false
	}
	it := l.items.top()
	if only != nil && it != only {
		return Grant{}, false
	}
	t := it.team
	c.unqueue(it)
	it.started = true
	c.running++
	if it.relaxed {
		c.runningRelaxed++
	}
	t.running++
	c.virtual = max(c.virtual, t.tag)
	t.tag += it.Cost
	c.place(t)
	return Grant{ID: it.ID, Priority: c.priority(now, it), Waited: now.Sub(it.offered)}, true
}

func (c *Controller) nextLane() *lane {
	limit := c.limit.Value()
	if c.running >= limit {
		return nil
	}
	if !c.urgent.empty() {
		return c.urgent.top()
	}
	relaxedLimit := max(1, int(c.options.RelaxedShare*float64(limit)))
	if !c.relaxed.empty() && c.runningRelaxed < relaxedLimit {
		return c.relaxed.top()
	}
	return nil
}

// priority orders requests in the engines by when they must start, in Unix
// milliseconds, so that the values of all entries compare. A request that is
// past its target does not overtake one that can still meet it: under overload,
// pure earliest-due-first would serve only those which are late anyway.
func (c *Controller) priority(now time.Time, it *item) int {
	left := it.Target.Sub(now) - it.Service
	if left < 0 {
		left = lateSlack
	}
	return int(now.Add(min(left, maxPriority)).UnixMilli())
}

const (
	// lateSlack ranks requests past their target beside those with this slack.
	lateSlack = 100 * time.Millisecond
	// maxPriority bounds the priority of work with much slack.
	maxPriority = time.Hour
)

func (c *Controller) refuse(reason outcome.Reason, detail string, retry time.Duration) *outcome.NotRun {
	c.refused[reason]++
	return &outcome.NotRun{Reason: reason, Detail: detail, RetryAfter: retry}
}
