package steward

import (
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/warmup"
)

// grantEvery is the least time between two looks at the cold upstreams: each answer to
// a watch tells the grants.
const grantEvery = 50 * time.Millisecond

// coldUpstreams lists the upstreams that are cold, with what each bears.
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

// coldRate is how many requests a second a cold upstream of a service bears, 0 where
// none is told. The caller holds the lock.
func (m *Machine) coldRate(name string) float64 {
	if service := m.service(name); service != nil {
		return service.ColdPerS
	}
	return 0
}

// coldMs is for how long an upstream of a service is cold after its start. The caller
// holds the lock.
func (m *Machine) coldMs(name string) uint64 {
	if service := m.service(name); service != nil && service.ColdPerS > 0 {
		return uint64(service.ColdStart.Milliseconds())
	}
	return 0
}

// grants lists what entries may send to cold upstreams, with its revision. A host that
// is not certain to lead confirms nothing: another leader may have granted the same.
func (l *leadership) grants(now time.Time) ([]warmup.Grant, uint64) {
	l.grantMu.Lock()
	defer l.grantMu.Unlock()
	if now.Sub(l.grantedAt) < grantEvery {
		return l.granter.Grants()
	}
	l.grantedAt = now
	cold := l.steward.machine.coldUpstreams()
	l.granter.Update(cold, l.takers(now), now)
	return l.granter.Grants()
}

// takers are the entries that take callers' requests, all that are ready where none
// has any yet.
func (l *leadership) takers(now time.Time) []string {
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

// tellGrants implements bulletin: entries are told their own grants, and control hosts
// that hold another revision all of them.
func (l *leadership) tellGrants(from port.Peer, request *WatchRequest, answer *WatchAnswer, now time.Time) {
	grants, revision := l.grants(now)
	if revision == 0 || !l.certain() {
		return
	}
	answer.GrantsAt = revision
	switch {
	case from.Role == roleEntry:
		answer.Grants = warmup.GrantsFor(grants, string(from.Host))
	case request.Grants != revision || request.Term != l.elected:
		answer.Grants = grants
	}
}
