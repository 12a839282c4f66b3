// Package simload measures the policy in virtual time.
//
// It models engines (slots, prefill by priority in chunks, an LRU prefix cache),
// store hosts with memory, disk and limited links, and two workloads with fixed
// seeds. Decisions are made by the production packages upstream, prefix, keep,
// route and admit, driven by an event queue, and by baselines on the same model.
// It is not a cluster simulator: the system's own processes, connections and
// transport failures are not modelled.
package simload

import (
	"container/heap"
	"time"
)

// epoch is virtual time zero, the morning of a day with a clock auction.
var epoch = time.Date(2030, 5, 6, 5, 0, 0, 0, time.UTC)

// clock is an event queue in virtual time. Events at the same time run in the order
// in which they were added, so that runs are reproducible.
type clock struct {
	at     time.Duration
	added  uint64
	events eventQueue
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// now returns the virtual time as a time.Time, for the packages under test.
func (c *clock) now() time.Time { return epoch.Add(c.at) }

// after runs f after the delay d.
func (c *clock) after(d time.Duration, f func()) {
	c.added++
	heap.Push(&c.events, event{at: c.at + max(d, 0), order: c.added, run: f})
}

// every runs f each period until it returns false.
func (c *clock) every(period time.Duration, f func() bool) {
	c.after(period, func() {
		if f() {
			c.every(period, f)
		}
	})
}

// runUntil runs all events up to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.at = e.at
		e.run()
	}
	c.at = end
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*q = old[:last]
	return e
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
