package upstream

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// benchSizes are numbers of upstreams: a current deployment, more than one full
// cell, and the design target.
var benchSizes = []int{21, 1_200, 12_000}

// cellSize is the number of upstreams in a cell.
const cellSize = 100

// fleet returns a registry with count upstreams divided into cells, and their
// announcements.
func fleet(t testing.TB, count int) (*Registry, []Announcement) {
	r := testRegistry(t, Options{MaxUpstreams: count})
	all := make([]Announcement, count)
	for i := range all {
		a := engine(ident.Upstream(fmt.Sprintf("runner-%05d", i)), 1)
		a.Shard = uint16(i / cellSize)
		a.Address = fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250)
		a.Lease = time.Hour
		announce(t, r, testStart, a)
		all[i] = a
	}
	return r, all
}

func fleetPool(shard uint16) Pool {
	key := testPool
	key.Shard = shard
	return key
}

func BenchmarkPick(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r, all := fleet(b, count)
			random := testRandom()
			out := make([]Candidate, 0, 16)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				out = r.Pick(testStart, random, fleetPool(all[i%count].Shard), 3, out[:0])
			}
		})
	}
}

func BenchmarkDispatchAndFinish(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r, all := fleet(b, count)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := Attempt{Number: uint32(i)}
				r.Dispatch(testStart, id, all[i%count].Upstream, 1000)
				r.Finish(testStart, id, Succeeded)
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r, all := fleet(b, count)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				measured := testStart.Add(time.Duration(i))
				r.Report(testStart, Report{Upstream: all[i%count].Upstream, Incarnation: 1, MeasuredAt: measured, Running: 3})
			}
		})
	}
}

func BenchmarkAnnounce(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r, all := fleet(b, count)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := r.Announce(testStart, all[i%count]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// bytesPerUpstream returns the heap use of a fleet per upstream, including names
// and addresses.
func bytesPerUpstream(t testing.TB, count int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r, _ := fleet(t, count)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(r)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(count)
}

func BenchmarkBytesPerUpstream(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(bytesPerUpstream(b, count), "B/upstream")
			}
		})
	}
}

// A pick that iterates over its pool or the fleet makes each request slower as
// the fleet grows, until the entry is overloaded.
func TestPickSampleIsBounded(t *testing.T) {
	const picks, wanted = 50, 3
	for _, count := range benchSizes {
		r, _ := fleet(t, count)
		for range picks {
			r.Pick(testStart, testRandom(), fleetPool(0), wanted, nil)
		}
		if got := r.Stats().Considered; got > picks*wanted*sampleFactor {
			t.Errorf("%d upstreams: %d sampled in %d picks", count, got, picks)
		}
	}
}
