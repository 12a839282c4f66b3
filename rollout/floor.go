package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/roster"
)

const (
	// floorAt is the part of a version's bound after which no prompt is sent to a
	// runner that lacks it. The rest is for prompts that wait at a runner.
	floorAt = 0.9
	// floorLed is the part of the bound for which a leader must have led, unless
	// most runners have the version. With less, as after an outage of the control
	// group, no runner could have been ordered yet, and all prompts would be refused
	// at once.
	floorLed = 0.6
)

// Runner is a model runner as the leader sees it.
type Runner struct {
	roster.Upstream
	// Heard tells that it has announced itself lately.
	Heard bool
}

// MinimumVersions keeps the oldest version of each model on which a prompt may still begin,
// for one leader. It is not safe for concurrent use.
//
// Turns alone can't hold the bound: a runner may refuse its orders, be out of the
// leader's reach, or start again with weights whose bound has long ended. A leader
// that hears less than half of the runners raises no floor that they are below: it
// may be behind a cut, and entries would refuse all prompts for want of its orders.
type MinimumVersions struct{ oldest map[string]uint64 }

// NewMinimumVersions returns a floor below all versions.
func NewMinimumVersions() *MinimumVersions { return &MinimumVersions{oldest: make(map[string]uint64)} }

// Raise raises the floor to the versions whose bound ends, for a leader that leads
// since led, and lists it by model. fleet is asked only when a version is due.
func (f *MinimumVersions) Raise(namings *TargetVersions, fleet func() []Runner, led time.Time, bound time.Duration, now time.Time) []roster.Loaded {
	var runners []Runner
	for model, list := range namings.byModel {
		for _, known := range list {
			if known.version <= f.oldest[model] || now.Sub(known.at) < part(floorAt, bound) {
				continue
			}
			if runners == nil {
				runners = fleet()
			}
			have, heard, of := census(runners, model, known.version)
			if 2*have > of || now.Sub(led) >= part(floorLed, bound) && 2*heard > of {
				f.oldest[model] = known.version
			}
		}
	}
	var floor []roster.Loaded
	for _, model := range slices.Sorted(maps.Keys(f.oldest)) {
		floor = append(floor, roster.Loaded{Model: model, Version: f.oldest[model]})
	}
	return floor
}

// census counts a model's runners: those that have a version or a newer one, those
// that are heard, and all.
func census(runners []Runner, model string, version uint64) (have, heard, of int) {
	for i := range runners {
		has := runners[i].VersionOf(model)
		if has == 0 || runners[i].State != roster.Serving {
			continue
		}
		of++
		if has >= version {
			have++
		}
		if runners[i].Heard {
			heard++
		}
	}
	return have, heard, of
}

func part(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}
