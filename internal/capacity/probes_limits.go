package capacity

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/ratelimit"
)

// limitSizes are numbers of upstreams that name limits, up to a tenth of the target's runners.
var limitSizes = []int{12, 120, TargetRunners / 10}

// requestsPerLimit is the limit of each of these upstreams in requests a second.
const requestsPerLimit = 6

// LimitProbes returns the probes of the cost of limits that upstreams name.
func LimitProbes() []Probe {
	probe := func(role, name string, unit Unit, measure func(int) (float64, error)) Probe {
		return Probe{
			Role: role, Name: name, SizeName: "limited upstreams", Unit: unit,
			Sizes: limitSizes, Target: TargetRunners / 10, Measure: measure,
		}
	}
	return []Probe{
		probe("entry", "list of limits, at each change", UnitBytes, func(n int) (float64, error) {
			return float64(len(wire.MustMarshal(limitsOf(n)))), nil
		}),
		probe("leader", "shares of limits to one relay, at each change", UnitBytes, func(n int) (float64, error) {
			shares, _ := dividerOf(n).Shares()
			return float64(len(wire.MustMarshal(shares))), nil
		}),
		probe("leader", "time to update the shares of all limits", UnitNanoseconds, func(n int) (float64, error) {
			d, limits, entries, now := dividerOf(n), limitsOf(n), limitEntries(), probeStart.Add(time.Minute)
			return NanosecondsPerOp(func() { now = now.Add(50 * time.Millisecond); d.Update(limits, entries, now) }), nil
		}),
	}
}

func limitsOf(n int) []ratelimit.Observation {
	list := make([]ratelimit.Observation, n)
	for i := range list {
		list[i] = ratelimit.Observation{
			Upstream: fmt.Sprintf("i-%010x", i), StartedMs: uint64(probeStart.UnixMilli()),
			Limit: ratelimit.Limit{Limited: true, PerSecond: requestsPerLimit}, Age: time.Duration(i) * time.Millisecond,
		}
	}
	return list
}

func limitEntries() []ratelimit.Entry {
	entries := make([]ratelimit.Entry, TargetDaemons)
	for i := range entries {
		entries[i] = ratelimit.Entry{Host: fmt.Sprintf("10.1.%d.%d", i/250, i%250), Rate: TargetRequestsPerSec / TargetDaemons}
	}
	return entries
}

func dividerOf(n int) *ratelimit.Divider {
	d := ratelimit.NewDivider(probeStart)
	d.Update(limitsOf(n), limitEntries(), probeStart.Add(time.Minute))
	return d
}
