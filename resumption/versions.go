package resumption

import "time"

const (
	// SettleTime is how long after an entry learned of a version it begins streams there. By
	// then every entry with recent state knows the version, and records the streams of all.
	SettleTime = time.Second
	// minLife is how long at least a version counts after its last upstream has gone, and a record
	// is kept.
	minLife = 30 * time.Second
	// waitsPerStream is how many times a caller may wait for the time limit of a route and still
	// resume a stream: in its first attempt, and before a further one.
	waitsPerStream = 2
)

// Versions tracks the software versions of each service's upstreams. Upstreams that announce no
// version are not tracked.
type Versions struct {
	began time.Time
	// life is how long a version counts after its last upstream has gone, longer than callers
	// hold on to a stream.
	life     time.Duration
	services map[string]map[string]*version
}

// version is one software version of a service.
type version struct {
	// upstreams is the number of upstreams that are listed, delisted the time at which the
	// last one was removed.
	upstreams int
	delisted  time.Time
	// learned is the time at which the version was listed, and unlisted the latest time as of
	// which it is known not to have been. Both are zero for one that may have been before.
	learned, unlisted time.Time
}

// NewVersions returns a tracker. What was listed before began isn't known; it is zero if all
// earlier versions will be added.
func NewVersions(began time.Time) *Versions {
	return &Versions{began: began, life: minLife, services: make(map[string]map[string]*version)}
}

// SetCallersWait sets the longest time limit of the streams that callers may resume. A shorter one
// than was set before changes nothing: earlier callers may still hold on.
func (v *Versions) SetCallersWait(longest time.Duration) {
	v.life = max(v.life, waitsPerStream*longest)
}

// Life returns how long a version counts after its last upstream has gone, longer than callers hold
// on to a stream.
func (v *Versions) Life() time.Duration { return v.life }

// Add records that an upstream of a version is listed. asOf is the latest time as of which the
// list without it was complete, zero if there was none.
func (v *Versions) Add(service, software string, asOf, now time.Time) {
	if software == "" {
		return
	}
	v.forget(service, now)
	if v.services[service] == nil {
		v.services[service] = make(map[string]*version)
	}
	known := v.services[service][software]
	if known == nil {
		known = &version{}
		if !asOf.IsZero() {
			known.learned, known.unlisted = now, asOf
		}
		v.services[service][software] = known
	}
	known.upstreams++
}

// Remove records that an upstream of a version is no longer listed.
func (v *Versions) Remove(service, software string, now time.Time) {
	known := v.services[service][software]
	if known == nil || known.upstreams == 0 {
		return
	}
	if known.upstreams--; known.upstreams == 0 {
		known.delisted = now
	}
}

// Departed records a version of an upstream that has left at an unknown time.
func (v *Versions) Departed(service, software string, now time.Time) {
	if software == "" {
		return
	}
	v.Add(service, software, time.Time{}, now)
	v.Remove(service, software, now)
}

// forget drops the versions of a service that no longer count.
func (v *Versions) forget(service string, now time.Time) {
	for software, known := range v.services[service] {
		if known.upstreams == 0 && now.Sub(known.delisted) >= v.life {
			delete(v.services[service], software)
		}
	}
	if len(v.services[service]) == 0 {
		delete(v.services, service)
	}
}

// Count returns the number of versions of a service at which streams may have begun, or soon will.
// It may include versions that no longer count.
func (v *Versions) Count(service string) int { return len(v.services[service]) }

// Counts returns Count for all services.
func (v *Versions) Counts() map[string]int {
	counts := make(map[string]int, len(v.services))
	for service, versions := range v.services {
		counts[service] = len(versions)
	}
	return counts
}

// Usable reports whether streams may begin at a version of a service: SettleTime after it was
// listed, or if no other version is listed for longer.
func (v *Versions) Usable(service, software string, now time.Time) bool {
	known := v.services[service][software]
	if known == nil || settled(known, now) {
		return true
	}
	for _, other := range v.services[service] {
		if other.upstreams > 0 && settled(other, now) {
			return false
		}
	}
	return true
}

func settled(known *version, now time.Time) bool { return now.Sub(known.learned) >= SettleTime }

// Only returns the version at which every stream of a service began that a caller may still
// resume now, empty if no upstream announces one. It is known only if one version remains: the
// list must be complete as of a time less than SettleTime ago, and cover the life of a version. A version
// that was first listed after since, and less than SettleTime ago, is not in use at any entry.
func (v *Versions) Only(service string, since, asOf, now time.Time) (software string, known bool) {
	if now.Sub(asOf) >= SettleTime {
		return "", false
	}
	v.forget(service, now)
	versions := v.services[service]
	if len(versions) == 0 {
		return "", true
	}
	used := 0
	for name, version := range versions {
		isNew := !version.unlisted.IsZero() && !version.unlisted.Before(since) && now.Sub(version.unlisted) < SettleTime
		if len(versions) == 1 || !isNew {
			software = name
			used++
		}
	}
	return software, used == 1 && now.Sub(v.began) >= v.life
}
