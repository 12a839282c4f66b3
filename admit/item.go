package admit

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// item is a queued or running request.
type item struct {
	Request
	team      *team
	lane      lane
	offeredAt time.Time
	// number is the request's place in the order of offers.
	number uint64
	// latestStart is the latest start that still meets the deadline.
	latestStart time.Time
	started     bool
	at          int // index in the heap of the teamQueue
	expire      timedItem
	change      timedItem
}

func (it *item) heapIndex() *int { return &it.at }

func itemLess(a, b *item) bool {
	if !a.Target.Equal(b.Target) {
		return a.Target.Before(b.Target)
	}
	return a.number < b.number
}

// timedItem is an item's entry in one of the heaps ordered by time.
type timedItem struct {
	item  *item
	at    time.Time
	index int
}

func (t *timedItem) heapIndex() *int { return &t.index }

func timedItemLess(a, b *timedItem) bool { return a.at.Before(b.at) }

// teamQueue holds the queued requests of one team in one lane.
type teamQueue struct {
	team  *team
	lane  lane
	items indexedHeap[*item]
	at    int
}

func (t *teamQueue) heapIndex() *int { return &t.at }

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
	name   ident.Team
	weight float64
	queues []*teamQueue
	// queued and work are the number and the cost of the queued requests. running,
	// belowGuaranteed and atMaximum are set by a Controller.
	queued, running int
	work            float64
	// urgent is the number of queued requests that are not relaxed.
	urgent                     int
	share                      Share
	belowGuaranteed, atMaximum bool
	// startTag is the virtual time at which the team's next request starts.
	startTag float64
}

// queueOf returns the team's queue in a lane, creating it if needed.
func (t *team) queueOf(l lane) *teamQueue {
	for _, q := range t.queues {
		if q.lane == l {
			return q
		}
	}
	q := &teamQueue{team: t, lane: l, items: indexedHeap[*item]{less: itemLess}, at: -1}
	t.queues = append(t.queues, q)
	return q
}

// teamOf returns the state of the named team, creating it if needed.
func (q *Queue) teamOf(name ident.Team) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, weight: q.weightOf(name), startTag: q.virtualTime}
		q.teams[name] = t
	}
	return t
}

// release removes a team without queued or running requests. This discards a start
// tag ahead of the virtual time, which returns to the team at most the work of one
// request and keeps the map as small as the number of active teams.
func (q *Queue) release(t *team) {
	if t.queued == 0 && t.running == 0 {
		delete(q.teams, t.name)
	}
}

func (q *Queue) newItem(now time.Time, req Request) *item {
	req.Cost = max(req.Cost, 1)
	deadline := req.Deadline
	if deadline.IsZero() {
		deadline = now.Add(q.options.MaxWait + req.Service)
	}
	q.offered++
	it := &item{Request: req, offeredAt: now, number: q.offered, at: -1}
	it.latestStart = deadline.Add(-req.Service)
	if !req.WaitUntil.IsZero() && req.WaitUntil.Before(it.latestStart) {
		it.latestStart = req.WaitUntil
	}
	it.expire = timedItem{item: it, at: it.latestStart, index: -1}
	it.change = timedItem{item: it, index: -1}
	q.setLane(now, it)
	return it
}

// setLane sets the lane of a request as of now, and the time of its next change of
// state, zero if there is none.
func (q *Queue) setLane(now time.Time, it *item) {
	s := inTime
	it.change.at = time.Time{}
	if !it.Target.IsZero() {
		lateAt := it.Target.Add(1 - it.Service)
		relaxedUntil := lateAt.Add(-1 - q.options.Relaxed)
		switch {
		case now.Before(relaxedUntil):
			s, it.change.at = relaxed, relaxedUntil
		case now.Before(lateAt):
			it.change.at = lateAt
		default:
			s = late
		}
	}
	it.lane = laneOf(s, it.Large, it.Rank)
}

func (q *Queue) push(now time.Time, t *team, it *item) {
	if q.queued == 0 {
		q.pace.last = now
	}
	it.team = t
	q.byID[it.ID] = it
	if t.queued == 0 && t.startTag < q.virtualTime {
		// An idle team accumulates no credit: otherwise it could occupy the pool for
		// as long as it was idle.
		t.startTag = q.virtualTime
	}
	q.expirations.push(&it.expire)
	if !it.change.at.IsZero() {
		q.changes.push(&it.change)
	}
	q.add(it)
}

// add inserts an item into its lane.
func (q *Queue) add(it *item) {
	t := it.team
	if t.queued == 0 {
		q.weight += t.weight
	}
	q.count(it, 1)
	t.queueOf(it.lane).items.push(it)
	q.reorder(t)
}

// remove takes an item out of its lane.
func (q *Queue) remove(it *item) {
	t := it.team
	q.count(it, -1)
	if t.queued == 0 {
		q.weight -= t.weight
	}
	t.queueOf(it.lane).items.remove(it)
	q.reorder(t)
}

func (q *Queue) count(it *item, sign int) {
	work := float64(sign) * it.Cost
	q.queued += sign
	q.work += work
	it.team.queued += sign
	it.team.work += work
	l := q.lane(it.lane)
	l.items += sign
	l.work += work
	if l.items == 0 {
		l.work = 0
	}
	if q.queued == 0 {
		q.work = 0
	}
	if it.lane.state() == relaxed {
		return
	}
	if it.team.urgent == 0 {
		q.urgentTeams++
	}
	it.team.urgent += sign
	if it.team.urgent == 0 {
		q.urgentTeams--
	}
}

// advance moves the requests whose state has changed to their new lanes.
func (q *Queue) advance(now time.Time) {
	for !q.changes.empty() && !now.Before(q.changes.top().at) {
		it := q.changes.top().item
		q.changes.remove(&it.change)
		q.remove(it)
		q.setLane(now, it)
		if !it.change.at.IsZero() {
			q.changes.push(&it.change)
		}
		q.add(it)
	}
}

// expired returns a request that can no longer start in time, nil if there is none.
func (q *Queue) expired(now time.Time) *item {
	if q.expirations.empty() || now.Before(q.expirations.top().at) {
		return nil
	}
	return q.expirations.top().item
}

// serve removes a request that starts.
func (q *Queue) serve(now time.Time, it *item) {
	if q.queued > 1 || !it.offeredAt.Equal(now) {
		q.pace.served(now, it.Cost)
	}
	q.charge(it)
	q.drop(it)
}

// drop removes a queued request permanently.
func (q *Queue) drop(it *item) {
	q.dequeue(it)
	delete(q.byID, it.ID)
	q.release(it.team)
}

func (q *Queue) dequeue(it *item) {
	q.remove(it)
	q.expirations.remove(&it.expire)
	q.changes.remove(&it.change)
}

// charge accounts for a queued request that starts.
func (q *Queue) charge(it *item) {
	t := it.team
	q.account(it.lane, it.Cost)
	q.virtualTime = max(q.virtualTime, t.startTag)
	t.startTag += it.Cost / t.weight
}

// reorder updates the position of a team's queues in their lanes. Queues of a team at
// its maximum share are in no lane.
func (q *Queue) reorder(t *team) {
	for _, tq := range t.queues {
		h := &q.lane(tq.lane).teams
		switch eligible := !tq.items.empty() && !t.atMaximum; {
		case eligible && tq.at < 0:
			h.push(tq)
		case eligible:
			h.fix(tq)
		case tq.at >= 0:
			h.remove(tq)
		default:
			continue
		}
		if h.empty() {
			q.occupied &^= 1 << tq.lane
		} else {
			q.occupied |= 1 << tq.lane
		}
	}
}
