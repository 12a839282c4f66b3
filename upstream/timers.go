package upstream

import (
	"container/heap"
	"time"
)

// timer schedules the next refresh of a slot.
type timer struct {
	at       time.Time
	slot     uint32
	position int // in the heap
}

// timerHeap implements heap.Interface, the earliest first. Each slot has one
// timer that is rescheduled, so the heap never holds more timers than slots.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.position = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

// reschedule changes the time of a timer in the heap.
func (h *timerHeap) reschedule(t *timer, at time.Time) {
	t.at = at
	heap.Fix(h, t.position)
}
