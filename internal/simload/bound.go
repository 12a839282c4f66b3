package simload

import (
	"container/heap"
	"math"

	"github.com/lovagereach/lovagereach/prefix"
)

// recomputeBound returns a lower bound of the fraction of prompt tokens that any
// policy must compute. It assumes a single pool of the capacity of all caches and
// store hosts, no links, and eviction of the block whose next use is farthest in
// the future, which is optimal for blocks of equal size. A real policy also loses
// to links, duplicate copies and broken chains.
func recomputeBound(w *Workload, requests []*request) float64 {
	capacity := w.Engines*w.engine.cacheBlocks + len(w.Stores)*(w.store.memoryBlocks+w.store.diskBlocks)
	uses := nextUses(requests)
	held := make(map[prefix.BlockID]int) // block to its next use
	var queue farthest
	computed, prompt := 0, 0
	for i, r := range requests {
		misses := 0
		for b, id := range r.blocks {
			if _, ok := held[id]; !ok {
				misses++
			}
			next := uses[i][b]
			held[id] = next
			heap.Push(&queue, use{id, next})
		}
		for len(held) > capacity {
			u := heap.Pop(&queue).(use)
			if held[u.id] == u.next {
				delete(held, u.id)
			}
		}
		if r.at >= w.WarmUp {
			computed += misses*blockTokens + r.tokens - len(r.blocks)*blockTokens
			prompt += r.tokens
		}
	}
	return float64(computed) / float64(max(prompt, 1))
}

// nextUses returns, for each block of each request, the index of the next request
// with the block, math.MaxInt if none.
func nextUses(requests []*request) [][]int {
	next := make(map[prefix.BlockID]int)
	out := make([][]int, len(requests))
	for i := len(requests) - 1; i >= 0; i-- {
		blocks := requests[i].blocks
		out[i] = make([]int, len(blocks))
		for b, id := range blocks {
			out[i][b] = math.MaxInt
			if at, ok := next[id]; ok {
				out[i][b] = at
			}
			next[id] = i
		}
	}
	return out
}

type use struct {
	id   prefix.BlockID
	next int
}

// farthest is a heap with the farthest next use on top.
type farthest []use

func (f farthest) Len() int           { return len(f) }
func (f farthest) Less(i, j int) bool { return f[i].next > f[j].next }
func (f farthest) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *farthest) Push(x any)        { *f = append(*f, x.(use)) }
func (f *farthest) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}
