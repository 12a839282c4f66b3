package standin

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

// errQueueFull is returned when the queue has reached its bound.
var errQueueFull = errors.New("queue is full")

// batch holds the slots of an engine and the requests that wait for a slot,
// ordered by priority (lowest value first) and then by arrival.
type batch struct {
	mu        sync.Mutex
	slots     int
	running   int
	maxQueued int
	waiting   waitQueue
	arrivals  uint64
	tokens    int64
}

func newBatch(slots, maxQueued int) *batch {
	return &batch{slots: slots, maxQueued: maxQueued}
}

// granted is the index of a waiter that is not in the queue, because it has a
// slot.
const granted = -1

// waiter is a request that waits for a slot or has one.
type waiter struct {
	priority int
	arrival  uint64
	tokens   int
	index    int
	granted  chan struct{}
}

// acquire waits for a slot. It returns errQueueFull, or the error of ctx.
func (b *batch) acquire(ctx context.Context, priority, tokens int) error {
	w, err := b.join(priority, tokens)
	if err != nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		b.abandon(w)
		return ctx.Err()
	}
}

// join acquires a slot or enters the queue. The waiter's channel is closed when
// it has a slot; until then, abandon removes it from the queue.
func (b *batch) join(priority, tokens int) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &waiter{priority: priority, tokens: tokens, index: granted, granted: make(chan struct{})}
	if b.running < b.slots {
		b.running++
		close(w.granted)
		return w, nil
	}
	if len(b.waiting) >= b.maxQueued {
		return nil, errQueueFull
	}
	b.arrivals++
	w.arrival = b.arrivals
	heap.Push(&b.waiting, w)
	b.tokens += int64(tokens)
	return w, nil
}

// abandon removes a waiter whose caller has disconnected. If it was granted a
// slot in the meantime, the slot passes to the next waiter.
func (b *batch) abandon(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index == granted {
		b.passSlot()
		return
	}
	heap.Remove(&b.waiting, w.index)
	b.tokens -= int64(w.tokens)
}

// release frees a slot.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.passSlot()
}

// passSlot passes a slot to the next waiter, or frees it if there is none. b.mu
// must be held.
func (b *batch) passSlot() {
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	w := heap.Pop(&b.waiting).(*waiter)
	b.tokens -= int64(w.tokens)
	close(w.granted)
}

func (b *batch) load() (running, queued int, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting), b.tokens
}

// waitQueue implements heap.Interface.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = granted
	return w
}
