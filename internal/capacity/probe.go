package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"time"
)

// Unit is the unit of a probe's values.
type Unit string

// The units of probes. Counts are identical in every run; times are not.
const (
	UnitBytes       Unit = "B"
	UnitNanoseconds Unit = "ns"
	UnitMessages    Unit = "messages"
	UnitBytesPerSec Unit = "B/s"
	UnitSeconds     Unit = "s"
)

// Probe measures one quantity at several sizes.
type Probe struct {
	// Role is the kind of process that has the cost, such as "entry".
	Role string
	// Name describes the measured quantity, SizeName what the sizes count.
	Name     string
	SizeName string
	Unit     Unit
	Sizes    []int
	// Target is the size in the users' target deployment.
	Target int
	// Measure returns the value at the given size.
	Measure func(size int) (float64, error)
}

// Result holds the measurements of a probe.
type Result struct {
	Probe    Probe
	Points   []Point
	Fit      Fit
	AtTarget float64
	Exponent float64
}

// Run measures at every size. If the target is one of the sizes, AtTarget is the
// measurement there; otherwise it is the value of the fitted line.
func (p Probe) Run() (Result, error) {
	result := Result{Probe: p}
	for _, size := range p.Sizes {
		value, err := p.Measure(size)
		if err != nil {
			return Result{}, fmt.Errorf("%s, %s at %d: %w", p.Role, p.Name, size, err)
		}
		result.Points = append(result.Points, Point{Size: float64(size), Value: value})
	}
	fit, err := FitLine(result.Points)
	if err != nil {
		return Result{}, fmt.Errorf("%s, %s: %w", p.Role, p.Name, err)
	}
	result.Fit = fit
	result.Exponent = GrowthExponent(result.Points)
	result.AtTarget = fit.At(float64(p.Target))
	for _, point := range result.Points {
		if point.Size == float64(p.Target) {
			result.AtTarget = point.Value
		}
	}
	return result, nil
}

// HeapBytes returns the size in bytes by which the result of build increases the
// live heap.
func HeapBytes(build func() any) float64 {
	before := liveHeap()
	held := build()
	after := liveHeap()
	runtime.KeepAlive(held)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// A time is the median of several rounds, so that a disturbance of the machine
// affects only one round and not the result.
const (
	rounds    = 5
	roundTime = 40 * time.Millisecond
	warmUp    = 10 * time.Millisecond
)

// NanosecondsPerOp returns the median time of op in nanoseconds.
func NanosecondsPerOp(op func()) float64 {
	count := 0
	for start := time.Now(); time.Since(start) < warmUp; count++ {
		op()
	}
	count = max(1, count*int(roundTime/warmUp))
	times := make([]float64, rounds)
	for i := range times {
		start := time.Now()
		for range count {
			op()
		}
		times[i] = float64(time.Since(start).Nanoseconds()) / float64(count)
	}
	slices.Sort(times)
	return times[rounds/2]
}
