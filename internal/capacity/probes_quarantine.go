package capacity

import (
	"fmt"

	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/quarantine"
)

// endSizes are numbers of upstreams whose ends are remembered, up to the bound.
var endSizes = []int{16, 64, quarantine.MaxCrashes}

// endedWith is how many requests each was running.
const endedWith = 16

// QuarantineProbes measure what the ends of upstreams cost the hosts that judge by them.
func QuarantineProbes() []Probe {
	probe := func(name string, unit Unit, measure func(int) (float64, error)) Probe {
		return Probe{
			Role: "control voter", Name: name, SizeName: "ends of upstreams", Unit: unit,
			Sizes: endSizes, Target: quarantine.MaxCrashes, Measure: measure,
		}
	}
	return []Probe{
		probe("ends of upstreams held", UnitBytes, func(ends int) (float64, error) {
			return HeapBytes(func() any { return quarantineOf(ends) }), nil
		}),
		probe("time to take in one end", UnitNanoseconds, func(ends int) (float64, error) {
			l, next := quarantineOf(ends-1), endAt(ends)
			return NanosecondsPerOp(func() { l.Ended(next); l.Forget(next.Life) }), nil
		}),
	}
}

// quarantineOf remembers ends, under each of which other requests were running but one.
func quarantineOf(ends int) *quarantine.Tracker {
	l := quarantine.NewTracker()
	for i := range ends {
		l.Ended(endAt(i))
	}
	return l
}

func endAt(i int) quarantine.Crash {
	e := quarantine.Crash{Life: quarantine.Incarnation{Upstream: fmt.Sprint("runner-", i)}, Prints: []quarantine.Fingerprint{{1}}}
	for n := range endedWith - 1 {
		e.Prints = append(e.Prints, quarantine.Fingerprint{2, byte(i), byte(i >> 8), byte(n)})
	}
	return e
}

// verdictBytes is the size of what an entry is told when all that can be is held and
// suspected.
func verdictBytes() int {
	prints := make([]quarantine.Fingerprint, quarantine.MaxTold)
	return len(wire.MustMarshal([][]quarantine.Fingerprint{prints, prints}))
}
