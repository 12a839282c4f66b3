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

// Floor lists the oldest version of each model on which a prompt may still begin,
// for a leader that leads since led. Models without one are left out. live lists the
// runners; it is asked only when that matters.
//
// Turns alone can't hold the bound: a runner may refuse its orders, be out of the
// leader's reach, or start again with weights whose bound has long ended.
func Floor(namings *Namings, live func() []roster.Upstream, led time.Time, bound time.Duration, now time.Time) []roster.Loaded {
	late := now.Sub(led) >= part(floorLed, bound)
	var floor []roster.Loaded
	for _, model := range slices.Sorted(maps.Keys(namings.byModel)) {
		oldest := uint64(0)
		for _, known := range namings.byModel[model] {
			if now.Sub(known.at) >= part(floorAt, bound) && (late || mostHave(live(), model, known.version)) {
				oldest = known.version
			}
		}
		if oldest > 0 {
			floor = append(floor, roster.Loaded{Model: model, Version: oldest})
		}
	}
	return floor
}

// mostHave reports whether more than half of a model's runners have a version or a
// newer one.
func mostHave(live []roster.Upstream, model string, version uint64) bool {
	have, of := 0, 0
	for i := range live {
		has := live[i].VersionOf(model)
		if has == 0 || live[i].State != roster.Serving {
			continue
		}
		of++
		if has >= version {
			have++
		}
	}
	return 2*have > of
}

func part(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}
