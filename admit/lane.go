package admit

import "math/bits"

// state tells whether a queued request can still be in time.
type state uint8

// States in the order of service.
const (
	inTime state = iota
	late
	// relaxed requests have so much slack that they wait behind all others.
	relaxed
	states
)

// lane is a class of queued requests: those of one state, size and rank. Lanes are
// numbered in the order of precedence.
type lane uint8

const (
	ranks     = MaxRank + 1
	sizes     = 2
	laneCount = lane(states) * sizes * ranks
)

func laneOf(s state, large bool, rank int) lane {
	size := 0
	if large {
		size = 1
	}
	return lane((int(s)*sizes+size)*ranks + min(max(rank, 0), MaxRank))
}

func (l lane) state() state { return state(l / (sizes * ranks)) }
func (l lane) size() int    { return int(l/ranks) % sizes }

// laneSet is a set of lanes, one bit each.
type laneSet uint64

const allLanes laneSet = 1<<laneCount - 1

func (s laneSet) first() lane { return lane(bits.TrailingZeros64(uint64(s))) }
func (s laneSet) ofState(of state) laneSet {
	const width = sizes * ranks
	return s & ((1<<width - 1) << (width * laneSet(of)))
}

// ofSize returns the lanes of a size in a state.
func (s laneSet) ofSize(of state, size int) laneSet {
	return s & ((1<<ranks - 1) << (ranks * (laneSet(of)*sizes + laneSet(size))))
}

// Work that what is behind gets for each unit of work of what is ahead of it, while
// both wait.
const (
	// lateShare bounds the delay of requests that can be in time by late ones.
	lateShare = 1.0 / 8
	// largeShare lets small requests go first, also those of lower ranks, as long as
	// they take at most half of the work.
	largeShare = 1.0
	// rankShare is the share of all lower ranks together.
	rankShare = 1.0 / 8
)

// credits is the work that is owed to classes of requests which waited while others
// went first. A class whose credit covers its next request goes first once.
type credits struct {
	late  float64
	large [states]float64
}

// laneQueue holds the queued requests of one lane.
type laneQueue struct {
	// teams holds the team queues that may be served.
	teams indexedHeap[*teamQueue]
	// items and work are the number and the cost of the lane's queued requests.
	items int
	work  float64
	// credit is the work that the lane is owed by those of higher ranks.
	credit float64
}

// lane returns the queue of a lane, creating it if needed.
func (q *Queue) lane(l lane) *laneQueue {
	if q.lanes[l] == nil {
		q.lanes[l] = &laneQueue{teams: indexedHeap[*teamQueue]{less: teamQueueLess}}
	}
	return q.lanes[l]
}

// pick returns the lane to serve next among the open ones.
func (q *Queue) pick(open laneSet) (lane, bool) {
	open &= q.occupied
	if open == 0 {
		return 0, false
	}
	s := open.first().state()
	if s == inTime && open.ofState(late) != 0 {
		if l := q.pickSize(open, late); q.credits.late >= q.headCost(l) {
			return l, true
		}
	}
	return q.pickSize(open, s), true
}

// pickSize returns the lane to serve next in a state that has one.
func (q *Queue) pickSize(open laneSet, s state) lane {
	small, large := open.ofSize(s, 0), open.ofSize(s, 1)
	if small == 0 {
		return q.pickRank(large)
	}
	if large != 0 {
		if l := q.pickRank(large); q.credits.large[s] >= q.headCost(l) {
			return l
		}
	}
	return q.pickRank(small)
}

// pickRank returns the lane to serve next among those of one state and size.
func (q *Queue) pickRank(open laneSet) lane {
	first := open.first()
	for rest := open & (open - 1); rest != 0; rest &= rest - 1 {
		if l := rest.first(); q.lanes[l].credit >= q.headCost(l) {
			return l
		}
	}
	return first
}

// headCost is the cost of the lane's next request.
func (q *Queue) headCost(l lane) float64 { return q.lanes[l].teams.top().items.top().Cost }

// account updates the credits for a request of a lane that is served.
func (q *Queue) account(l lane, cost float64) {
	s, size, c := l.state(), l.size(), &q.credits
	switch {
	case s == late:
		c.late = max(c.late-cost, 0)
	case s == inTime:
		if waiting := q.occupied.ofState(late); waiting != 0 {
			c.late = min(c.late+lateShare*cost, q.headCost(q.pickSize(waiting, late)))
		}
	}
	if size == 1 {
		c.large[s] = max(c.large[s]-cost, 0)
	} else if waiting := q.occupied.ofSize(s, 1); waiting != 0 {
		c.large[s] = min(c.large[s]+largeShare*cost, q.headCost(q.pickRank(waiting)))
	}
	q.lanes[l].credit = max(q.lanes[l].credit-cost, 0)
	behind := q.occupied.ofSize(s, size) &^ (1<<(l+1) - 1)
	each := rankShare * cost / float64(max(bits.OnesCount64(uint64(behind)), 1))
	for ; behind != 0; behind &= behind - 1 {
		b := behind.first()
		q.lanes[b].credit = min(q.lanes[b].credit+each, q.headCost(b))
	}
}
