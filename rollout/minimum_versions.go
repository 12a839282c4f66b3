package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/roster"
)

const (
	// raiseFraction is the fraction of a version's bound after which no prompt is sent to a
	// runner that lacks the version. The rest of the bound is for prompts that wait at a
	// runner.
	raiseFraction = 0.9
	// minLeadFraction is the fraction of the bound for which a leader must have led before it
	// raises a minimum version, unless most runners have the version. Without it, as after
	// an outage of the control group, no runner could have received an order yet, and all
	// prompts would be refused immediately.
	minLeadFraction = 0.6
)

// Runner is a model runner as the leader sees it.
type Runner struct {
	roster.Upstream
	// Reachable indicates that the leader has recently received an announcement from the
	// runner.
	Reachable bool
}

// MinimumVersions tracks, for one leader, the oldest version of each model on which a
// prompt may still begin. It is not safe for concurrent use. What a leader raises must outlive
// it and every process: a bound that is over does not begin again with the next leader, which
// Adopts what is recorded.
//
// Load steps alone cannot enforce the bound: a runner may refuse its orders, be unreachable
// for the leader, or restart with weights whose bound expired long ago. A leader that does
// not receive announcements from most runners does not raise a minimum version above the
// runners' versions: it may be behind a network partition, and entries would refuse all
// prompts because its orders do not arrive.
type MinimumVersions struct{ oldest map[string]uint64 }

// NewMinimumVersions returns a MinimumVersions that allows all versions.
func NewMinimumVersions() *MinimumVersions { return &MinimumVersions{oldest: make(map[string]uint64)} }

// Adopt raises the minimum versions to at least those of a list.
func (m *MinimumVersions) Adopt(list []roster.Loaded) {
	for _, v := range list {
		m.oldest[v.Model] = max(m.oldest[v.Model], v.Version)
	}
}

// Due is a target version whose bound expires, and whether it became the minimum version.
type Due struct {
	Model   string
	Version uint64
	// Age is the time since it became the target.
	Age    time.Duration
	Raised bool
	// Have is the number of serving runners that have the version or a newer one, Heard of
	// those that the leader hears from, and Total of all.
	Have, Heard, Total int
}

// Raise raises the minimum versions to those whose bound expires, for a leader that was
// elected at the time led, and returns these. fleet is called only when a version is due.
func (m *MinimumVersions) Raise(targets *TargetVersions, fleet func() []Runner, led time.Time, bound time.Duration, now time.Time) []Due {
	var runners []Runner
	var list []Due
	for model, versions := range targets.byModel {
		for _, target := range versions {
			if target.version <= m.oldest[model] || now.Sub(target.at) < RaiseAge(bound) {
				continue
			}
			if runners == nil {
				runners = fleet()
			}
			due := Due{Model: model, Version: target.version, Age: now.Sub(target.at)}
			due.Have, due.Heard, due.Total = countRunners(runners, model, target.version)
			if 2*due.Have > due.Total || now.Sub(led) >= fraction(minLeadFraction, bound) && 2*due.Heard > due.Total {
				m.oldest[model] = target.version
				due.Raised = true
			}
			list = append(list, due)
		}
	}
	return list
}

// Of returns the minimum version of a model, 0 if there is none.
func (m *MinimumVersions) Of(model string) uint64 { return m.oldest[model] }

// List lists the minimum versions by model.
func (m *MinimumVersions) List() []roster.Loaded {
	var minimum []roster.Loaded
	for _, model := range slices.Sorted(maps.Keys(m.oldest)) {
		minimum = append(minimum, roster.Loaded{Model: model, Version: m.oldest[model]})
	}
	return minimum
}

// RaiseAge returns the age of a target version at which it becomes the minimum version.
func RaiseAge(bound time.Duration) time.Duration { return fraction(raiseFraction, bound) }

// RaisedBefore returns how long before the end of a version's bound the minimum version is raised.
func RaisedBefore(bound time.Duration) time.Duration { return bound - RaiseAge(bound) }

// countRunners counts the serving runners of a model: those that have the version or a newer one,
// those that the leader hears from, and all.
func countRunners(runners []Runner, model string, version uint64) (have, heard, total int) {
	for i := range runners {
		has := runners[i].VersionOf(model)
		if has == 0 || runners[i].State != roster.Serving {
			continue
		}
		total++
		if has >= version {
			have++
		}
		if runners[i].Reachable {
			heard++
		}
	}
	return have, heard, total
}

func fraction(share float64, total time.Duration) time.Duration {
	return time.Duration(share * float64(total))
}
