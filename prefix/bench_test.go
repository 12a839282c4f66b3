package prefix

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/lovagereach/lovagereach/ident"
)

// promptCounts are the numbers of prompts in a directory: the present load, ten times
// as many, and the target load in a single directory, which the division into cells
// avoids.
var promptCounts = []int{1_600, 16_000, 160_000}

// promptBlocks is the number of blocks of a prompt.
const promptBlocks = 12

// benchHolders is the number of runners in a cell.
const benchHolders = 100

func benchBlock(prompt, i int) BlockID {
	var id BlockID
	binary.LittleEndian.PutUint64(id[:], uint64(prompt)*0x9E3779B97F4A7C15)
	binary.LittleEndian.PutUint64(id[8:], uint64(i+1)*0xC2B2AE3D27D4EB4F)
	return id
}

func benchPrompt(prompt int) []BlockID {
	blocks := make([]BlockID, promptBlocks)
	for i := range blocks {
		blocks[i] = benchBlock(prompt, i)
	}
	return blocks
}

// filledDirectory returns a directory with this number of prompts, each held by two
// runners, with half of its blocks on a store host.
func filledDirectory(t testing.TB, prompts int) *Directory {
	d := testDirectory(t, Options{MaxBlocks: prompts * promptBlocks})
	names := make([]ident.Upstream, benchHolders)
	sequences := make([]uint64, benchHolders)
	for i := range names {
		names[i] = ident.Upstream(fmt.Sprint("runner-", i))
		d.Follow(names[i], 1)
	}
	for p := range prompts {
		for i := range promptBlocks {
			for _, at := range []int{1 + p%(benchHolders-1), 1 + (p*7)%(benchHolders-1)} {
				sequences[at]++
				event := Event{Sequence: sequences[at], Kind: Stored, Block: benchBlock(p, i)}
				d.Apply(Batch{Upstream: names[at], Incarnation: 1, Events: []Event{event}})
			}
			if i%2 == 0 {
				sequences[0]++
				event := Event{Sequence: sequences[0], Kind: Stored, Block: benchBlock(p, i)}
				event.Copy = &Copy{Slot: "slot-000001", Generation: 1, Bytes: 1 << 26}
				d.Apply(Batch{Upstream: names[0], Incarnation: 1, Events: []Event{event}})
			}
		}
	}
	return d
}

func BenchmarkLongest(b *testing.B) {
	for _, prompts := range promptCounts {
		b.Run(fmt.Sprint(prompts), func(b *testing.B) {
			d := filledDirectory(b, prompts)
			chains := make([][]BlockID, 1024)
			for i := range chains {
				chains[i] = benchPrompt(i * 7919 % prompts)
			}
			out := make([]Match, 0, DefaultMaxMatches)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				out = d.Longest(chains[i%len(chains)], out[:0])
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, prompts := range promptCounts {
		b.Run(fmt.Sprint(prompts), func(b *testing.B) {
			d := filledDirectory(b, prompts)
			next := d.holders.find("runner-1").next
			events := make([]Event, 1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				events[0] = Event{Sequence: next, Kind: Stored, Block: benchBlock(i/promptBlocks%prompts, i%promptBlocks)}
				d.Apply(Batch{Upstream: "runner-1", Incarnation: 1, Events: events})
				next++
			}
		})
	}
}

func BenchmarkBytesPerBlock(b *testing.B) {
	for _, prompts := range promptCounts {
		b.Run(fmt.Sprint(prompts), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				d := filledDirectory(b, prompts)
				runtime.GC()
				runtime.ReadMemStats(&after)
				used := float64(after.HeapAlloc - before.HeapAlloc)
				b.ReportMetric(used/float64(d.Len()), "B/block")
				b.ReportMetric(used/float64(prompts), "B/prompt")
			}
		})
	}
}
