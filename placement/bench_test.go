package placement

import (
	"fmt"
	"testing"
)

// BenchmarkChoose is one choice for a prompt of two shared parts, one of which stands
// in a store and one in some caches. With 18 and 90 candidates: 2.1 and 11.5 us, 18 and
// 90 allocations while each candidate had a list of its own; 1.5 and 7.6 us and 2
// allocations with two lists by turns (the lowest of four runs each, side by side).
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 90} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			rates, list := DefaultRates(), runners(n)
			p := &Prompt{
				Parts: []Part{{"head", 500}, {"shared", 12800}, {"own", 4200}}, Output: 20, TokenBytes: 18432,
				Whole: [][]int{{0}, nil, nil}, Cached: func(runner, part int) bool { return part == 1 && runner%7 == 0 },
			}
			stores := []Store{bigStore("north")}
			b.ReportAllocs()
			for b.Loop() {
				Choose(&rates, "m.1", p, list, stores)
			}
		})
	}
}
