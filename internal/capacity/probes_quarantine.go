package capacity

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/quarantine"
)

// crashSizes are numbers of upstream crashes in the tracker, up to its bound.
var crashSizes = []int{16, 64, quarantine.MaxCrashes}

const (
	// requestsPerCrash is the number of requests running at each crash.
	requestsPerCrash = 16
	// partsPerRequest is the number of parts of each of their prompts that others may share.
	partsPerRequest = 3
)

// QuarantineProbes returns the probes of the cost of upstream crashes for the hosts
// that decide on quarantine.
func QuarantineProbes() []Probe {
	probe := func(name string, unit Unit, measure func(int) (float64, error)) Probe {
		return Probe{
			Role: "control voter", Name: name, SizeName: "ends of upstreams", Unit: unit,
			Sizes: crashSizes, Target: quarantine.MaxCrashes, Measure: measure,
		}
	}
	return []Probe{
		probe("ends of upstreams held", UnitBytes, func(crashes int) (float64, error) {
			return HeapBytes(func() any { return quarantineOf(crashes) }), nil
		}),
		probe("time to take in one end", UnitNanoseconds, func(crashes int) (float64, error) {
			l, next := quarantineOf(crashes-1), crashAt(crashes)
			return NanosecondsPerOp(func() { l.AddCrashes(next); l.Forget(next.Incarnation) }), nil
		}),
	}
}

// quarantineOf returns a tracker with this number of crashes. One request was
// running at all of them, the others at one crash each.
func quarantineOf(crashes int) *quarantine.Tracker {
	l := quarantine.NewTracker()
	for i := range crashes {
		l.AddCrashes(crashAt(i))
	}
	return l
}

func crashAt(i int) quarantine.Crash {
	e := quarantine.Crash{Incarnation: quarantine.Incarnation{Upstream: fmt.Sprint("runner-", i)}, Fingerprints: []quarantine.Fingerprint{{1}}}
	for n := range requestsPerCrash - 1 {
		e.Fingerprints = append(e.Fingerprints, quarantine.Fingerprint{2, byte(i), byte(i >> 8), byte(n)})
	}
	for n := range requestsPerCrash * partsPerRequest {
		part := quarantine.Fingerprint{3, byte(i), byte(i >> 8), byte(n)}
		part[len(part)-1] = 1 // that of a team
		e.Parts = append(e.Parts, part.Scopes()...)
	}
	return e
}

// quarantineAnswerBytes returns the size of the message to an entry with the
// maximum number of quarantined and suspected requests and parts.
func quarantineAnswerBytes() int {
	prints := make([]quarantine.Fingerprint, quarantine.MaxListed)
	const retentionMs = uint32(quarantine.CrashRetention / time.Millisecond)
	parts, suspects := make([]steward.PartView, quarantine.MaxQuarantinedParts), make([]steward.PartView, quarantine.MaxSuspectedParts)
	for i := range parts {
		parts[i] = steward.PartView{FirstCrashMs: retentionMs, DueMs: retentionMs, DueSharedMs: retentionMs}
	}
	for i := range suspects {
		suspects[i] = steward.PartView{FirstCrashMs: retentionMs}
	}
	return len(wire.MustMarshal(steward.QuarantineView{
		Revision: 1 << 40, Quarantined: prints, Suspects: prints[len(parts)+len(suspects):], Parts: parts, PartSuspects: suspects,
	}))
}
