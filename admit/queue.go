package admit

import (
	"math"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// QueueOptions configures a Queue. A zero field takes its default.
type QueueOptions struct {
	// MaxQueued bounds the queued requests, MaxQueuedPerTeam those of one team.
	MaxQueued, MaxQueuedPerTeam int
	// MaxTeams bounds the teams with queued requests.
	MaxTeams int
	// MaxWait bounds the wait of a request without a deadline.
	MaxWait time.Duration
	// Relaxed is the slack above which a request waits behind all others.
	Relaxed time.Duration
}

func (o QueueOptions) withDefaults() QueueOptions {
	all := Options{
		MaxQueued: o.MaxQueued, MaxQueuedPerTeam: o.MaxQueuedPerTeam, MaxTeams: o.MaxTeams, MaxWait: o.MaxWait, Relaxed: o.Relaxed,
	}.withDefaults()
	return QueueOptions{
		MaxQueued: all.MaxQueued, MaxQueuedPerTeam: all.MaxQueuedPerTeam, MaxTeams: all.MaxTeams, MaxWait: all.MaxWait, Relaxed: all.Relaxed,
	}
}

// Queue orders the requests that wait for the capacity of one pool. Each operation
// takes logarithmic time. It is not safe for concurrent use.
type Queue struct {
	options QueueOptions
	weights map[ident.Team]float64
	teams   map[ident.Team]*team
	byID    map[ident.Request]*item
	// lanes holds the lanes that have been used.
	lanes [laneCount]*laneQueue
	// occupied holds the lanes with a request that may be served.
	occupied laneSet
	credits  credits
	// changes orders queued requests by the time of their next change of state,
	// expirations all queued requests by latestStart.
	changes, expirations indexedHeap[*timedItem]
	// virtualTime is the largest start tag that was granted.
	virtualTime float64
	// queued is the number of queued requests, urgentTeams that of the teams with some
	// that are not relaxed.
	queued, urgentTeams int
	// offered is the number of requests that were offered.
	offered uint64
	// work is the cost of all queued requests, weight the weight of their teams.
	work, weight float64
	pace         pace
}

// NewQueue returns an empty queue in which all teams have equal weights.
func NewQueue(options QueueOptions) *Queue {
	return &Queue{
		options:     options.withDefaults(),
		teams:       make(map[ident.Team]*team),
		byID:        make(map[ident.Request]*item),
		changes:     indexedHeap[*timedItem]{less: timedItemLess},
		expirations: indexedHeap[*timedItem]{less: timedItemLess},
	}
}

// SetWeights replaces the weights by which teams share the work; teams that it lacks
// have weight 1. They apply to teams that begin to wait. The caller must not modify
// the map afterwards.
func (q *Queue) SetWeights(weights map[ident.Team]float64) { q.weights = weights }

func (q *Queue) weightOf(name ident.Team) float64 {
	if w := q.weights[name]; w > 0 && !math.IsInf(w, 0) {
		return w
	}
	return 1
}

// SetRate sets the work that the pool is assumed to do in a millisecond until its pace
// is known, 0 if that is unknown; waits are predicted from either.
func (q *Queue) SetRate(perMs float64) { q.pace.assumed = perMs }

// Offer queues a request. It returns a refusal if the queue is full, the request can't
// start in time, or its ID is in use.
func (q *Queue) Offer(now time.Time, req Request) *outcome.NotRun {
	q.advance(now)
	if q.byID[req.ID] != nil {
		return &outcome.NotRun{Reason: outcome.ReasonBadRequest, Detail: "request id is already in use"}
	}
	it := q.newItem(now, req)
	if refusal := q.check(now, it); refusal != nil {
		return refusal
	}
	q.push(now, q.teamOf(req.Team), it)
	return nil
}

// check returns a refusal if the request can't be queued or can't start in time.
func (q *Queue) check(now time.Time, it *item) *outcome.NotRun {
	t := q.teams[it.Team]
	refuse := func(reason outcome.Reason, detail string) *outcome.NotRun {
		return &outcome.NotRun{Reason: reason, Detail: detail, RetryAfter: q.RetryAfter(now, it.Deadline)}
	}
	switch {
	case t != nil && t.queued >= q.options.MaxQueuedPerTeam:
		return refuse(outcome.ReasonTeamLimit, "the team's queue is full")
	case q.queued >= q.options.MaxQueued, t == nil && len(q.teams) >= q.options.MaxTeams:
		return refuse(ReasonQueueFull, "the pool's queue is full")
	case !now.Before(it.latestStart):
		return refuse(outcome.ReasonDeadline, "the predicted time to the first token passes the deadline")
	case now.Add(q.predictedWait(it)).After(it.latestStart):
		return refuse(outcome.ReasonDeadline, "the queue is longer than the deadline allows")
	}
	return nil
}

// predictedWait returns the least time until a new request is served: until the work
// that precedes it is done or, if that is sooner, the work of its team at the team's
// share.
func (q *Queue) predictedWait(it *item) time.Duration {
	ahead := 0.0
	for _, l := range q.lanes[:it.lane+1] {
		if l != nil {
			ahead += l.work
		}
	}
	weight, share, own := q.weightOf(it.Team), q.weight, 0.0
	if t := q.teams[it.Team]; t != nil && t.queued > 0 {
		own = t.work
	} else {
		share += weight
	}
	return q.duration(min(ahead, own*share/weight))
}

// CanWait reports whether a queued request is still expected to start before its latest
// start. While requests that can be in time wait too, late ones are served from a share.
func (q *Queue) CanWait(now time.Time, id ident.Request) bool {
	q.advance(now)
	it := q.byID[id]
	if it == nil {
		return false
	}
	ahead := 0.0
	for l := laneOf(it.lane.state(), false, 0); l <= it.lane; l++ {
		if q.lanes[l] != nil {
			ahead += q.lanes[l].work
		}
	}
	work := min(ahead, it.team.work*q.weight/it.team.weight) - it.Cost
	if it.lane.state() == late && q.occupied.ofState(inTime) != 0 {
		work *= (1 + lateShare) / lateShare
	}
	return !now.Add(q.duration(work)).After(it.latestStart)
}

// RetryAfter returns the time after which the caller of a refused request should come
// back: after the backlog, while enough of the time to its deadline is left.
func (q *Queue) RetryAfter(now, deadline time.Time) time.Duration {
	after := max(q.duration(q.work), minRetryAfter)
	if !deadline.IsZero() {
		after = min(after, max(deadline.Sub(now)/retryAfterDivisor, 0))
	}
	return after
}

// retryAfterDivisor is the part of its remaining time after which a refused caller comes
// back at the latest.
const retryAfterDivisor = 3

// duration returns the time that the pool takes for some work, 0 if its pace is
// unknown.
func (q *Queue) duration(work float64) time.Duration {
	perMs := q.pace.perMs()
	if perMs <= 0 {
		return 0
	}
	return time.Duration(work / perMs * float64(time.Millisecond))
}

// Ahead returns the number of queued requests that precede a new one by state, size and
// rank, or equal it in them.
func (q *Queue) Ahead(now time.Time, req Request) int {
	q.advance(now)
	ahead := 0
	for _, l := range q.lanes[:q.newItem(now, req).lane+1] {
		if l != nil {
			ahead += l.items
		}
	}
	return ahead
}

// Next removes and returns the first request, in the order of service, of those that
// fit; it considers at most the first depth ones. Requests that don't fit keep their
// places.
func (q *Queue) Next(now time.Time, depth int, fits func(ident.Request) bool) (ident.Request, bool) {
	q.advance(now)
	var passed []passedItem
	var before snapshot
	for range depth {
		l, found := q.pick(allLanes)
		if !found {
			break
		}
		it := q.lanes[l].teams.top().items.top()
		if fits(it.ID) {
			q.restore(passed, before)
			q.serve(now, it)
			return it.ID, true
		}
		// The rest are considered as if the request had been served, so that they come
		// in the order in which they would be served with more capacity.
		if passed == nil {
			before = q.snapshot()
		}
		passed = append(passed, passedItem{it, it.team.startTag})
		q.charge(it)
		q.remove(it)
	}
	q.restore(passed, before)
	return ident.Request{}, false
}

// passedItem is a request that didn't fit, with the start tag that its team had.
type passedItem struct {
	*item
	startTag float64
}

// snapshot is what charges change besides the start tags.
type snapshot struct {
	credits     credits
	ranks       [laneCount]float64
	virtualTime float64
}

func (q *Queue) snapshot() snapshot {
	s := snapshot{credits: q.credits, virtualTime: q.virtualTime}
	for at, l := range q.lanes {
		if l != nil {
			s.ranks[at] = l.credit
		}
	}
	return s
}

// restore returns the requests that didn't fit to their places.
func (q *Queue) restore(passed []passedItem, before snapshot) {
	for i := len(passed) - 1; i >= 0; i-- {
		p := passed[i]
		p.team.startTag = p.startTag
		q.add(p.item)
	}
	if len(passed) == 0 {
		return
	}
	q.credits, q.virtualTime = before.credits, before.virtualTime
	for at, l := range q.lanes {
		if l != nil {
			l.credit = before.ranks[at]
		}
	}
}

// Take removes a request that is served out of its turn. It reports whether the request
// was queued.
func (q *Queue) Take(now time.Time, id ident.Request) bool {
	it := q.byID[id]
	if it == nil {
		return false
	}
	q.serve(now, it)
	return true
}

// Remove removes a request that is not served. It reports whether the request was
// queued.
func (q *Queue) Remove(id ident.Request) bool {
	it := q.byID[id]
	if it == nil {
		return false
	}
	q.drop(it)
	return true
}

// Expire removes and returns the requests that can no longer start in time.
func (q *Queue) Expire(now time.Time) []ident.Request {
	var expired []ident.Request
	for it := q.expired(now); it != nil; it = q.expired(now) {
		q.drop(it)
		expired = append(expired, it.ID)
	}
	return expired
}

// QueueStatus counts the queued requests.
type QueueStatus struct{ InTime, Late, Relaxed, Teams int }

// Status returns the counts as of now.
func (q *Queue) Status(now time.Time) QueueStatus {
	q.advance(now)
	var n [states]int
	for at, l := range q.lanes {
		if l != nil {
			n[lane(at).state()] += l.items
		}
	}
	return QueueStatus{InTime: n[inTime], Late: n[late], Relaxed: n[relaxed], Teams: len(q.teams)}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.queued }

// IsLate reports whether a queued request has passed its target.
func (q *Queue) IsLate(id ident.Request) bool {
	it := q.byID[id]
	return it != nil && it.lane.state() == late
}
