package admit

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// item is a queued or running request.
type item struct {
	Request
	team      *team
	offeredAt time.Time
	// latestStart is the latest start that still meets the deadline, and promoteAt
	// the time at which a relaxed request becomes urgent because its slack has run
	// out.
	latestStart, promoteAt time.Time
	relaxed                bool
	started                bool
	at                     int // index in the heap of the teamQueue
	expire, promote        timedItem
}

func (it *item) heapIndex() *int { return &it.at }

// relaxedAt reports whether the request has slack at now.
func (it *item) relaxedAt(now time.Time) bool { return now.Before(it.promoteAt) }

func itemLess(a, b *item) bool {
	if !a.Target.Equal(b.Target) {
		return a.Target.Before(b.Target)
	}
	return a.offeredAt.Before(b.offeredAt)
}

// timedItem is an item's entry in one of the heaps ordered by time.
type timedItem struct {
	item  *item
	at    time.Time
	index int
}

func (t *timedItem) heapIndex() *int { return &t.index }

func timedItemLess(a, b *timedItem) bool { return a.at.Before(b.at) }

// teamQueue holds the queued requests of one team and one kind, urgent or relaxed.
type teamQueue struct {
	team  *team
	items indexedHeap[*item]
	at    int
}

func (q *teamQueue) heapIndex() *int { return &q.at }

// teamQueueLess orders teams below their guaranteed share first, then by start tag.
func teamQueueLess(a, b *teamQueue) bool {
	if a.team.belowGuaranteed != b.team.belowGuaranteed {
		return a.team.belowGuaranteed
	}
	if a.team.startTag != b.team.startTag {
		return a.team.startTag < b.team.startTag
	}
	return a.team.name < b.team.name
}

// team is the state of a team that has queued or running requests.
type team struct {
	name            ident.Team
	share           Share
	urgent, relaxed teamQueue
	queued, running int
	// startTag is the virtual time at which the team's next request starts.
	startTag        float64
	belowGuaranteed bool
}

// teamOf returns the state of the named team, creating it if needed, or nil if there
// are already MaxTeams teams.
func (c *Controller) teamOf(name ident.Team) *team {
	if t := c.teams[name]; t != nil {
		return t
	}
	if len(c.teams) >= c.options.MaxTeams {
		return nil
	}
	t := &team{name: name, share: c.share(name), startTag: c.virtualTime}
	t.urgent = teamQueue{team: t, items: indexedHeap[*item]{less: itemLess}, at: -1}
	t.relaxed = teamQueue{team: t, items: indexedHeap[*item]{less: itemLess}, at: -1}
	c.teams[name] = t
	return t
}

// release removes a team without queued or running requests. This discards a start
// tag ahead of the virtual time, which returns to the team at most the work of one
// request and keeps the map as small as the number of active teams.
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
	it := &item{Request: req, offeredAt: now, at: -1}
	it.latestStart = deadline.Add(-req.Service)
	it.promoteAt = req.Target.Add(-req.Service - c.options.Relaxed)
	it.relaxed = it.relaxedAt(now)
	it.expire = timedItem{item: it, at: it.latestStart, index: -1}
	it.promote = timedItem{item: it, at: it.promoteAt, index: -1}
	return it
}

func (c *Controller) enqueue(now time.Time, t *team, it *item) {
	it.team = t
	c.byID[it.ID] = it
	if t.queued == 0 && t.startTag < c.virtualTime {
		// An idle team accumulates no credit: otherwise it could occupy the pool for
		// as long as it was idle.
		t.startTag = c.virtualTime
	}
	t.queued++
	c.queued++
	c.expirations.push(&it.expire)
	if it.relaxed {
		c.promotions.push(&it.promote)
		t.relaxed.items.push(it)
	} else {
		t.urgent.items.push(it)
	}
	c.reorder(t)
}

// promote moves the relaxed requests whose slack has run out to their team's urgent
// queue.
func (c *Controller) promote(now time.Time) {
	for !c.promotions.empty() && !now.Before(c.promotions.top().at) {
		it := c.promotions.top().item
		c.promotions.remove(&it.promote)
		it.team.relaxed.items.remove(it)
		it.relaxed = false
		it.team.urgent.items.push(it)
		c.reorder(it.team)
	}
}

// drop removes a queued request permanently.
func (c *Controller) drop(it *item) {
	c.dequeue(it)
	delete(c.byID, it.ID)
	c.release(it.team)
}

func (c *Controller) dequeue(it *item) {
	t := it.team
	if it.relaxed {
		t.relaxed.items.remove(it)
	} else {
		t.urgent.items.remove(it)
	}
	c.expirations.remove(&it.expire)
	c.promotions.remove(&it.promote)
	t.queued--
	c.queued--
	c.reorder(t)
}

// reorder updates the position of a team's queues in the heaps after a change of its
// counts or share. A team at its maximum share is in neither heap.
func (c *Controller) reorder(t *team) {
	limit := float64(c.limit.Value())
	t.belowGuaranteed = float64(t.running) < t.share.Guaranteed*limit
	atMaximum := t.running > 0 && float64(t.running) >= t.share.Maximum*limit
	reorderQueue(&c.urgent, &t.urgent, atMaximum)
	reorderQueue(&c.relaxed, &t.relaxed, atMaximum)
}

func reorderQueue(h *indexedHeap[*teamQueue], q *teamQueue, atMaximum bool) {
	eligible := !q.items.empty() && !atMaximum
	switch {
	case eligible && q.at < 0:
		h.push(q)
	case eligible:
		h.fix(q)
	default:
		h.remove(q)
	}
}

// grantNext starts the next request if a slot is free. If only is not nil, it starts
// that request or none.
func (c *Controller) grantNext(now time.Time, only *item) (Grant, bool) {
	q := c.nextQueue()
	if q == nil {
		return Grant{}, false
	}
	it := q.items.top()
	if only != nil && it != only {
		return Grant{}, false
	}
	t := it.team
	c.dequeue(it)
	it.started = true
	c.running++
	if it.relaxed {
		c.runningRelaxed++
	}
	t.running++
	c.virtualTime = max(c.virtualTime, t.startTag)
	t.startTag += it.Cost
	c.reorder(t)
	return Grant{ID: it.ID, Priority: c.priority(now, it), Waited: now.Sub(it.offeredAt)}, true
}

func (c *Controller) nextQueue() *teamQueue {
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
