package steward

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/rollout"
	"github.com/lovagereach/lovagereach/roster"
)

// minimumVersion is a minimum version of a model's weights, and the age of that version as a target when
// it was raised.
type minimumVersion struct {
	Model   string        `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
}

// applyMinimum raises a minimum version. The caller holds the lock.
func (m *Machine) applyMinimum(v minimumVersion, now time.Time) {
	if v.Version <= m.minimums[v.Model].Version {
		return
	}
	m.minimums[v.Model] = v
	m.targets.Backdate(v.Model, v.Version, now.Add(-v.Age))
	m.notifyOrder()
}

// minimumsLocked lists the minimum versions by model. The caller holds the lock.
func (m *Machine) minimumsLocked() []minimumVersion {
	var list []minimumVersion
	for _, model := range slices.Sorted(maps.Keys(m.minimums)) {
		list = append(list, m.minimums[model])
	}
	return list
}

// minimumVersions lists the recorded minimum versions by model.
func (m *Machine) minimumVersions() []roster.Loaded {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []roster.Loaded
	for _, v := range m.minimumsLocked() {
		list = append(list, roster.Loaded{Model: v.Model, Version: v.Version})
	}
	return list
}

// targetAges returns how long each version has been a target, as far as this host knows.
func (m *Machine) targetAges(versions []roster.Loaded, now time.Time) []time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	ages := make([]time.Duration, len(versions))
	for i, v := range versions {
		if since, known := m.targets.FirstLacked(v.Model, v.Version-1); known {
			ages[i] = max(now.Sub(since), 0)
		}
	}
	return ages
}

// addMinimums adds the minimum versions that this host knows to an answer: those of a leader and those
// that are recorded.
func (m *Machine) addMinimums(answer *WatchAnswer, led []roster.Loaded, now time.Time) {
	known := rollout.NewMinimumVersions()
	known.Adopt(led)
	known.Adopt(m.minimumVersions())
	answer.MinVersions = known.List()
	answer.MinAges = m.targetAges(answer.MinVersions, now)
}

// recordMinimums raises the minimum versions in time, also while no host calls, and commits them, so that
// they hold for later leaders and after a restart of all hosts.
func (l *leadership) recordMinimums(ctx context.Context) {
	for wait.For(ctx, loadEvery) {
		now := time.Now()
		raised := l.raiseMinVersions(now)
		recorded := rollout.NewMinimumVersions()
		recorded.Adopt(l.steward.machine.minimumVersions())
		for i, age := range l.steward.machine.targetAges(raised, now) {
			if v := raised[i]; v.Version > recorded.Of(v.Model) {
				l.recordMinimum(ctx, v, age)
			}
		}
	}
}

// recordMinimum commits a minimum version.
func (l *leadership) recordMinimum(ctx context.Context, v roster.Loaded, age time.Duration) {
	s := l.steward
	// One that another leader raised may be a younger target here.
	age = max(age, rollout.RaiseAge(s.options.VersionTime))
	if _, err := s.propose(ctx, command{Minimum: &minimumVersion{Model: v.Model, Version: v.Version, Age: age}}); err != nil {
		s.options.Log.Warn("minimum version not recorded", "model", v.Model, "version", v.Version, "err", err)
	}
}
