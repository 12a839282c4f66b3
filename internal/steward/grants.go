package steward

import (
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/warmup"
)

// grantEvery is the minimum time between two checks of the cold upstreams: each answer to a
// watch carries the grants.
const grantEvery = 50 * time.Millisecond

// coldUpstreams lists the cold upstreams, with the rate that each sustains.
func (m *Machine) coldUpstreams() []warmup.Cold {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []warmup.Cold
	for _, u := range m.roster.Cold() {
		if perSecond := m.coldRate(u.Service); perSecond > 0 && !m.evacuation.Evacuated(u.DataCentre) {
			list = append(list, warmup.Cold{Upstream: u.ID, PerSecond: perSecond})
		}
	}
	return list
}

// coldRate returns the number of requests a second that a cold upstream of a service sustains,
// 0 if none is configured. The caller holds the lock.
func (m *Machine) coldRate(name string) float64 {
	if service := m.service(name); service != nil {
		return service.ColdPerS
	}
	return 0
}

// coldMs returns the time in milliseconds for which an upstream of a service is cold after its
// start, 0 if its service has no cold rate. The caller holds the lock.
func (m *Machine) coldMs(name string) uint64 {
	if service := m.service(name); service != nil && service.ColdPerS > 0 {
		return uint64(service.ColdStart.Milliseconds())
	}
	return 0
}

// grants lists what entries may send to cold upstreams, and its revision. The caller confirms
// the grants only while it is certain to lead: another leader may have granted the same rates.
func (l *leadership) grants(now time.Time) ([]warmup.Grant, uint64) {
	l.grantMu.Lock()
	defer l.grantMu.Unlock()
	if now.Sub(l.grantedAt) < grantEvery {
		return l.granter.Grants()
	}
	l.grantedAt = now
	cold := l.steward.machine.coldUpstreams()
	l.granter.Update(cold, l.grantees(now), now)
	return l.granter.Grants()
}

// grantees returns the entries that receive callers' requests, or all that are ready if none
// does yet.
func (l *leadership) grantees(now time.Time) []string {
	var busy, ready []string
	for _, view := range l.watchers.recentEntries(now) {
		if !view.Ready {
			continue
		}
		ready = append(ready, view.Host)
		if view.Rate > 0 {
			busy = append(busy, view.Host)
		}
	}
	if len(busy) > 0 {
		return busy
	}
	return ready
}

// addGrants implements watchSource: entries receive their own grants, and control hosts that
// hold another revision receive all of them.
func (l *leadership) addGrants(from port.Peer, request *WatchRequest, answer *WatchAnswer, now time.Time) {
	grants, revision := l.grants(now)
	if revision == 0 || !l.certain() {
		return
	}
	answer.GrantsRevision = revision
	switch {
	case from.Role == roleEntry:
		answer.Grants = warmup.GrantsFor(grants, string(from.Host))
	case request.Grants != revision || request.Term != l.elected:
		answer.Grants = grants
	}
}
