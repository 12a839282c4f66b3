package rollout

import (
	"slices"
	"time"
)

// maxTargets bounds the target versions remembered for one model. A fleet is brought to
// each within a bound of some ten seconds, so that 64 targets cover minutes even if they
// follow one another within seconds.
const maxTargets = 64

// target is a target version and the time at which it became one, by the monotonic clock of
// the host that recorded it.
type target struct {
	version uint64
	at      time.Time
}

// TargetVersions records when each version of a model became the target. It is not safe for
// concurrent use.
type TargetVersions struct {
	byModel map[string][]target
}

// NewTargetVersions returns a TargetVersions without any version.
func NewTargetVersions() *TargetVersions { return &TargetVersions{byModel: make(map[string][]target)} }

// Record records that a version became the target at a time. A version that is not newer
// than all recorded ones is ignored.
func (t *TargetVersions) Record(model string, version uint64, at time.Time) {
	list := t.byModel[model]
	if len(list) > 0 && version <= list[len(list)-1].version {
		return
	}
	list = append(list, target{version: version, at: at})
	if len(list) > maxTargets {
		// The oldest target is kept: for runners that still lack it, the bound must not
		// start later.
		list = append(list[:1], list[2:]...)
	}
	t.byModel[model] = list
}

// Backdate records that a version became the target at a time or earlier, as for a process that
// learns later than others.
func (t *TargetVersions) Backdate(model string, version uint64, at time.Time) {
	list := t.byModel[model]
	i := 0
	for i < len(list) && list[i].version < version {
		if list[i].at.After(at) {
			list[i].at = at
		}
		i++
	}
	switch {
	case i < len(list) && list[i].version == version:
		if list[i].at.After(at) {
			list[i].at = at
		}
	case len(list) < maxTargets:
		t.byModel[model] = slices.Insert(list, i, target{version: version, at: at})
	}
}

// Newest returns the newest target version of a model, or 0 if there is none.
func (t *TargetVersions) Newest(model string) uint64 {
	list := t.byModel[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// FirstLacked returns when the first version newer than has became the target, and false if
// there is none.
func (t *TargetVersions) FirstLacked(model string, has uint64) (time.Time, bool) {
	for _, known := range t.byModel[model] {
		if known.version > has {
			return known.at, true
		}
	}
	return time.Time{}, false
}

// Clone returns a copy.
func (t *TargetVersions) Clone() *TargetVersions {
	copied := NewTargetVersions()
	for model, list := range t.byModel {
		copied.byModel[model] = append([]target(nil), list...)
	}
	return copied
}
