package keep

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// promptSizes are numbers of prompts at one home: the current number, ten times
// that, and all prompts of the target load, which cells keep from reaching a
// single home.
var promptSizes = []int{1_600, 16_000, 160_000}

const benchBlocks = 12

// benchSpread is the period over which the prompts are used.
const benchSpread = time.Minute

func benchUse(number int) Use {
	use := testUse(ident.Team(fmt.Sprint("team-", number%100)), 0, benchBlocks)
	for i := range use.Blocks {
		binary.LittleEndian.PutUint64(use.Blocks[i][:], uint64(number+1)*0x9E3779B97F4A7C15)
		use.Blocks[i][15] = byte(i)
	}
	use.Class = ident.Class(fmt.Sprint("class-", number%3))
	return use
}

// filledManager returns a manager with prompts, half of whose blocks are kept.
func filledManager(t testing.TB, prompts int) *Manager {
	m := testManager(t, Options{
		MaxPrompts: prompts + 1, MaxBlocks: (prompts + 1) * benchBlocks, MaxCopies: prompts * benchBlocks,
	})
	status := testStatus("s1", 1)
	status.Capacity = [prefix.TierCount]int64{1 << 50, 0}
	m.UpdateStore(epoch, status)
	for p := range prompts {
		use := benchUse(p)
		m.RecordUse(epoch.Add(benchSpread*time.Duration(p)/time.Duration(prompts)), use)
		for i := range benchBlocks / 2 {
			slot := prefix.Copy{Slot: "slot-000001", Generation: 1, Bytes: testBytes}
			m.Adopt(epoch, Source{Block: use.Blocks[i], Store: "s1", Incarnation: 1, Copy: slot})
		}
	}
	return m
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, m *Manager, prompts int)) {
	for _, prompts := range promptSizes {
		b.Run(fmt.Sprint(prompts), func(b *testing.B) {
			m := filledManager(b, prompts)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, m, prompts)
		})
	}
}

func BenchmarkUsed(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, m *Manager, prompts int) {
		uses := make([]Use, 1000)
		for i := range uses {
			uses[i] = benchUse(i * 7919 % prompts)
		}
		for i := 0; b.Loop(); i++ {
			m.RecordUse(epoch.Add(benchSpread+time.Duration(i)), uses[i%len(uses)])
		}
	})
}

func BenchmarkPinAndUnpin(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, m *Manager, prompts int) {
		uses := make([]Use, 1000)
		for i := range uses {
			uses[i] = benchUse(i * 7919 % prompts)
		}
		for i := 0; b.Loop(); i++ {
			use := &uses[i%len(uses)]
			pin, ok := m.Pin(epoch.Add(benchSpread), use.Scope, use.Blocks[0])
			if !ok {
				b.Fatal("block is not readable")
			}
			m.Unpin(epoch.Add(benchSpread), pin.ID, 0)
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, m *Manager, _ int) {
		random := testRandom()
		now := epoch.Add(benchSpread + DefaultIdleDelay)
		for b.Loop() {
			now = now.Add(time.Millisecond)
			plan := m.Plan(now, random)
			for _, export := range plan.Exports {
				for _, planned := range export.Blocks {
					m.Failed(now, planned.ID, FailedRace)
				}
			}
		}
	})
}

func BenchmarkBytesPerPrompt(b *testing.B) {
	for _, prompts := range promptSizes {
		b.Run(fmt.Sprint(prompts), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				m := filledManager(b, prompts)
				runtime.GC()
				runtime.ReadMemStats(&after)
				used := float64(after.HeapAlloc - before.HeapAlloc)
				b.ReportMetric(used/float64(prompts), "B/prompt")
				b.ReportMetric(used/float64(prompts*benchBlocks), "B/block")
				runtime.KeepAlive(m)
			}
		})
	}
}

// Plans are made ten times a second. A plan that valued every prompt would take
// CPU time from requests as the number of prompts grows.
func TestPlanValuesABoundedSample(t *testing.T) {
	for _, prompts := range promptSizes[:2] {
		m := filledManager(t, prompts)
		valued := 0
		m.returnRate = func(*prompt, time.Duration) float64 {
			valued++
			return 1
		}
		m.Plan(epoch.Add(benchSpread+DefaultIdleDelay), testRandom())
		limit := exportSampleSize + maxPlacementsPerPlan*len(m.storeList)*prefix.TierCount*(2+maxReplacements*victimSampleSize)
		if valued == 0 || valued > limit {
			t.Errorf("%d prompts: %d values computed in one plan, want at most %d", prompts, valued, limit)
		}
	}
}
