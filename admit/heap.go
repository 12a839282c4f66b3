package admit

// indexed is a heap element that stores its own index, so that it can be moved or
// removed in logarithmic time. The index is -1 while the element is in no heap.
type indexed interface {
	heapIndex() *int
}

// indexedHeap is a binary heap; the smallest element by less is on top.
type indexedHeap[T indexed] struct {
	items []T
	less  func(a, b T) bool
}

func (h *indexedHeap[T]) empty() bool { return len(h.items) == 0 }

func (h *indexedHeap[T]) top() T { return h.items[0] }

func (h *indexedHeap[T]) push(item T) {
	*item.heapIndex() = len(h.items)
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

func (h *indexedHeap[T]) remove(item T) {
	at := *item.heapIndex()
	if at < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(at, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*item.heapIndex() = -1
	if at < last {
		h.down(at)
		h.up(at)
	}
}

// fix restores the heap order after the element's key has changed.
func (h *indexedHeap[T]) fix(item T) {
	if at := *item.heapIndex(); at >= 0 {
		h.down(at)
		h.up(at)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].heapIndex() = i
	*h.items[j].heapIndex() = j
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
