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
	// floorLed is the part of the bound for which a leader must have led. With
	// less, as after an outage of the control group, no runner could have been
	// ordered yet, and all prompts would be refused at once.
	floorLed = 0.6
)

// Floor lists the oldest version of each model on which a prompt may still begin,
// for a leader that leads since led. Models without one are left out.
//
// Turns alone can't hold the bound: a runner may refuse its orders, be out of the
// leader's reach, or start again with weights whose bound has long ended.
func Floor(namings *Namings, led time.Time, bound time.Duration, now time.Time) []roster.Loaded {
	if now.Sub(led) < part(floorLed, bound) {
		return nil
	}
	var floor []roster.Loaded
	for _, model := range slices.Sorted(maps.Keys(namings.byModel)) {
		oldest := uint64(0)
		for _, known := range namings.byModel[model] {
			if now.Sub(known.at) >= part(floorAt, bound) {
				oldest = known.version
			}
		}
		if oldest > 0 {
			floor = append(floor, roster.Loaded{Model: model, Version: oldest})
		}
	}
	return floor
}

func part(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}
