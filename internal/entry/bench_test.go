package entry

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/lovagereach/lovagereach/ident"
)

// BenchmarkIdleAnswer reports the memory of the pipeline's state for one open
// answer without traffic, excluding HTTP.
func BenchmarkIdleAnswer(b *testing.B) {
	for _, count := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("answers=%d", count), func(b *testing.B) {
			for b.Loop() {
				bench := newTestEntry(b)
				bench.engine(b, "runner-1", step{tokens: 1, hang: true}).slots(b, bench, count)
				prompts := make([]Prompt, count)
				for i := range prompts {
					prompts[i] = bench.prompt(b, 0)
					prompts[i].Request = ident.Request{byte(i), byte(i >> 8)}
				}
				answers := make([]Answer, count)
				before := memoryInUse()
				for i := range answers {
					var err error
					if answers[i], err = bench.Prompt(b.Context(), prompts[i]); err != nil {
						b.Fatal(err)
					}
					if _, err := answers[i].Next(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(memoryInUse()-before)/float64(count), "bytes/answer")
				for _, answer := range answers {
					answer.Close()
				}
			}
		})
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// BenchmarkPrompt measures one complete request through the pipeline, excluding
// HTTP.
func BenchmarkPrompt(b *testing.B) {
	bench := newTestEntry(b)
	for i := range 18 {
		bench.engine(b, fmt.Sprintf("runner-%d", i))
	}
	id := 0
	b.ReportAllocs()
	for b.Loop() {
		id++
		if id%1000 == 0 {
			bench.announceAgain(b)
		}
		prompt := bench.prompt(b, 0)
		prompt.Request = ident.Request{byte(id), byte(id >> 8), byte(id >> 16)}
		answer, err := bench.Prompt(b.Context(), prompt)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := readAnswer(answer); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against work per request that grows with the number of upstreams: at
// the target size, an entry that iterated over all of them would spend its time
// on that alone.
func TestRequestCostIsIndependentOfUpstreams(t *testing.T) {
	cost := func(engines int) float64 {
		bench := newTestEntry(t)
		for i := range engines {
			bench.engine(t, fmt.Sprintf("runner-%d", i))
		}
		id := 0
		return testing.AllocsPerRun(200, func() {
			id++
			prompt := bench.prompt(t, 0)
			prompt.Request = ident.Request{byte(id), byte(id >> 8)}
			answer, err := bench.Prompt(t.Context(), prompt)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := readAnswer(answer); err != nil {
				t.Fatal(err)
			}
		})
	}
	few, many := cost(10), cost(100)
	// Holders of the prompt are considered in addition to the sample, so there
	// are a few more candidates; but ten times the upstreams must not double
	// the work.
	if many > 1.5*few {
		t.Errorf("%.0f allocations with 10 engines, %.0f with 100", few, many)
	}
}
