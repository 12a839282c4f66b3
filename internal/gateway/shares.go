package gateway

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/lovagereach/lovagereach/admit"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// shareQueues holds the requests that wait for capacity, in one queue for each service.
type shareQueues struct {
	queues  map[string]*admit.Queue
	waiters map[ident.Request]*waiter
	weights map[ident.Team]float64
	// offered is the number of requests that were offered; each gets the next number as its ID.
	offered uint64
}

func newShareQueues(weights map[string]float64) *shareQueues {
	q := &shareQueues{
		queues: make(map[string]*admit.Queue), waiters: make(map[ident.Request]*waiter), weights: make(map[ident.Team]float64, len(weights)),
	}
	for team, weight := range weights {
		q.weights[ident.Team(team)] = weight
	}
	return q
}

// maxTeamWaiting bounds the requests of one team that wait for a service at one entry.
const maxTeamWaiting = maxWaiting / 2

// queue returns the queue of a service.
func (s *state) queue(service string) *admit.Queue {
	q := s.shares.queues[service]
	if q == nil {
		if len(s.shares.queues) >= maxLearned {
			s.shares.prune()
		}
		q = admit.NewQueue(admit.QueueOptions{MaxQueued: maxWaiting, MaxQueuedPerTeam: maxTeamWaiting})
		q.SetWeights(s.shares.weights)
		s.shares.queues[service] = q
	}
	// Work counts in milliseconds of one upstream, and all entries share the upstreams.
	q.SetRate(float64(len(s.serving[service])) / float64(s.sendingEntries()))
	return q
}

// prune removes the empty queues.
func (q *shareQueues) prune() {
	for service, queue := range q.queues {
		if queue.Len() == 0 {
			delete(q.queues, service)
		}
	}
}

func (q *shareQueues) nextID() (id ident.Request) {
	q.offered++
	binary.BigEndian.PutUint64(id[:], q.offered)
	return id
}

// enterQueue offers the request to the queue of its service. It returns a plan if an upstream has
// capacity, else the waiter, or the refusal. The caller holds the lock, as for the functions below.
func (r *run) enterQueue(s *state, now time.Time) (*plan, *waiter, error) {
	q := s.queue(r.service)
	offer := r.offer(s, s.shares.nextID(), now)
	refusal := q.Offer(now, offer)
	s.dispatchFirst(r.service, now)
	p, err := r.tryPlan(now)
	switch {
	case p != nil:
		q.Take(now, offer.ID)
		return p, nil, nil
	case err != nil:
		q.Remove(offer.ID)
		return nil, nil, err
	case refusal != nil:
		r.queued = queuedNoTime
		r.gateway.meter.certainRefusals.Inc()
		return nil, nil, r.refusal(outcome.ReasonOverloaded, r.retryAfter(s, now), refusal.Detail)
	case r.cannotWait(s, now):
		q.Remove(offer.ID)
		return nil, nil, r.refusal(outcome.ReasonOverloaded, r.retryAfter(s, now), "too many requests wait for an upstream with room")
	}
	w := &waiter{run: r, granted: make(chan *plan, 1), id: offer.ID, beginBy: offer.Deadline, need: r.leastNeed(s), plannedAt: now}
	s.shares.waiters[w.id] = w
	return nil, w, nil
}

// offer describes the request to its queue.
func (r *run) offer(s *state, id ident.Request, now time.Time) admit.Request {
	cost, service := r.work(s)
	return admit.Request{
		ID: id, Team: ident.Team(r.teamName()), Rank: r.rank(), Large: !r.small(), Cost: cost, Service: service,
		Target: r.target(), Deadline: r.beginBy(now),
	}
}

// work returns the least work of the request, in milliseconds of one upstream, since shared parts
// of its prompt may be cached, and the time that its answer takes to begin.
func (r *run) work(s *state) (cost float64, first time.Duration) {
	if r.request.Prompt != nil {
		cost, first = r.promptWork(s)
	} else {
		slots := 1
		if serving := s.serving[r.service]; len(serving) > 0 {
			slots = max(serving[0].record.Slots, 1)
		}
		cost, first = r.gateway.options.Rates.SlotMs/float64(slots), s.learnedOf(r.service).first.mean
	}
	if target := r.route.Target; target > 0 {
		first = min(first, time.Duration(maxFirstShare*float64(target)))
	}
	return cost, first
}

// promptWork is work for a prompt. The answers to large ones begin at times too different for a mean:
// their time is that of an idle runner.
func (r *run) promptWork(s *state) (cost float64, first time.Duration) {
	prefill := s.prefillOf(r.service)
	cost = float64(r.request.Prompt.lastPart()) / prefill.PerMs()
	first = time.Duration((prefill.BaseMs() + cost) * float64(time.Millisecond))
	if r.small() {
		first = max(first, s.learnedOf(r.service).first.mean)
	}
	return cost, first
}

// firstTime is the smoothed time from a send to the beginning of the answer, 0 if none was observed.
type firstTime struct{ mean time.Duration }

// firstGain is the weight of one answer in the mean.
const firstGain = 1.0 / 16

func (f *firstTime) observe(d time.Duration) {
	if f.mean == 0 {
		f.mean = d
		return
	}
	f.mean += time.Duration(firstGain * float64(d-f.mean))
}

// maxFirstShare is the largest part of its target that a request's answer is assumed to take to
// begin: while answers begin late because upstreams are busy, new requests can still be in time.
const maxFirstShare = 1 - waitTargetShare

// Callers of streams leave if they get no event for some targets, and not before minPatience.
const (
	minPatience     = 2 * time.Second
	patienceTargets = 4
)

// beginBy returns the time by which the answer must begin, or its caller leaves.
func (r *run) beginBy(now time.Time) time.Time {
	if r.route.Kind != catalog.Stream {
		return r.deadline
	}
	since := r.request.Arrived.Add(-r.request.UnderWay)
	if r.headSent {
		since = now
	}
	if leaves := since.Add(max(minPatience, patienceTargets*r.route.Target)); leaves.Before(r.deadline) {
		return leaves
	}
	return r.deadline
}

// target returns the time by which the answer should begin, zero if it has begun or there is none.
// A caller that comes back has waited since its first attempt.
func (r *run) target() time.Time {
	if r.headSent || r.route.Target <= 0 {
		return time.Time{}
	}
	began := r.request.Arrived.Add(-r.request.UnderWay)
	if r.isRetry() {
		began = earlier(began, r.deadline.Add(-r.usualWait))
	}
	return began.Add(r.route.Target)
}

// lateAt reports whether the answer can't begin in time if the request is sent now.
func (r *run) lateAt(s *state, now time.Time) bool {
	if s.shares == nil {
		return false
	}
	_, first := r.work(s)
	target := r.target()
	return !target.IsZero() && now.Add(first).After(target)
}

// leavesCapacity reports whether the request leaves a part of an upstream's capacity to others. The
// queue of a single entry orders all requests by itself.
func (r *run) leavesCapacity(s *state) bool { return r.late && s.sendingEntries() > 1 }

// statesRetry reports whether the caller states that it has made an attempt before.
func (r *run) statesRetry() bool { return r.request.Resumes != "" || r.request.ResumeAfter != "" }

// longestShareWait returns how long the request may wait while its caller can come back. A first
// attempt with a large prompt waits for a share of its target: another entry may find room for it in
// time, and those that wait late take the memory that upstreams free from others.
func (r *run) longestShareWait(limits waitLimits, now time.Time) time.Duration {
	left := r.beginBy(now).Sub(now)
	longest := time.Duration(waitShare * float64(left))
	if r.route.Target > 0 && !r.small() && !r.isRetry() && !r.headSent {
		longest = min(longest, time.Duration(waitTargetShare*float64(r.route.Target)))
	}
	return min(longest, cmp.Or(limits.longest, left))
}

// mayWaitOn returns how much longer a request may wait that has waited for longestWait: to its
// latest start if its caller won't come back or has events already, or if it is small and expected to
// be served until then.
func (s *state) mayWaitOn(w *waiter, now time.Time) time.Duration {
	if s.shares == nil || s.shares.waiters[w.id] != w {
		return 0
	}
	if !w.run.isRetry() && !w.run.headSent && (!w.run.small() || !s.shares.queues[w.run.service].CanWait(now, w.id)) {
		return 0
	}
	_, first := w.run.work(s)
	return max(w.beginBy.Sub(now)-first, 0)
}

// States in which requests leave a queue, as logged.
const (
	queuedInTime = "in-time"
	queuedLate   = "late"
	queuedNoTime = "no-time"
)

// dispatchFirst grants capacity to the request that is served next, so that a new one doesn't take
// it.
func (s *state) dispatchFirst(service string, now time.Time) {
	q := s.shares
	q.queues[service].Next(now, 1, func(id ident.Request) bool {
		w := q.waiters[id]
		return w != nil && now.Sub(w.plannedAt) >= replanPause && q.tryGrant(w, now)
	})
}

// dispatch chooses upstreams for the waiting requests that may find capacity, in the order of the
// queues. It returns when the first upstream is due that may get no request yet.
func (q *shareQueues) dispatch(now time.Time, mayFit func(w *waiter) bool) (due time.Time) {
	for _, queue := range q.queues {
		if queue.Len() == 0 {
			continue
		}
		for _, id := range queue.Expire(now) {
			// The timer of the request ends its wait.
			delete(q.waiters, id)
		}
		choices := 0
		fits := func(id ident.Request) bool {
			w := q.waiters[id]
			if w == nil || choices >= dispatchDepth || w.plannedAt.Equal(now) || !mayFit(w) {
				return false
			}
			choices++
			if q.tryGrant(w, now) {
				return true
			}
			due = earlier(due, w.run.dueAt)
			return false
		}
		for granted := true; granted; {
			_, granted = queue.Next(now, dispatchDepth, fits)
		}
	}
	return due
}

// tryGrant chooses an upstream for a waiting request. It reports whether one has capacity.
func (q *shareQueues) tryGrant(w *waiter, now time.Time) bool {
	w.plannedAt = now
	p, err := w.run.tryPlan(now)
	if p == nil || err != nil {
		return false
	}
	w.run.queued = queuedInTime
	if q.queues[w.run.service].IsLate(w.id) {
		w.run.queued = queuedLate
		w.run.gateway.meter.lateGrants.Inc()
	}
	delete(q.waiters, w.id)
	w.granted <- p
	return true
}

// remove ends the wait of a request.
func (q *shareQueues) remove(w *waiter) {
	if queue := q.queues[w.run.service]; queue != nil {
		queue.Remove(w.id)
	}
	delete(q.waiters, w.id)
}

// status counts the waiting requests.
func (q *shareQueues) status(now time.Time) (total admit.QueueStatus) {
	for _, queue := range q.queues {
		n := queue.Status(now)
		total.InTime += n.InTime
		total.Late += n.Late
		total.Relaxed += n.Relaxed
		total.Teams += n.Teams
	}
	return total
}

// waitingCount is the number of requests that wait for capacity.
func (s *state) waitingCount() int {
	if s.shares != nil {
		return len(s.shares.waiters)
	}
	return len(s.waiting)
}

// backlog returns the time after which the requests that wait for the service should be served, for
// a caller that comes back then.
func (s *state) backlog(r *run, now time.Time) time.Duration {
	if s.shares == nil {
		return 0
	}
	return s.queue(r.service).RetryAfter(now, r.deadline)
}
