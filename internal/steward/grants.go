package steward

import (
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/ratelimit"
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

// permits are what entries may send to cold and to limited upstreams.
type permits struct {
	grants []warmup.Grant
	shares []ratelimit.Share
	// revision changes with each change of either, 0 before the first.
	revision uint64
}

// permits returns what entries may send. The caller confirms the permits only while it is certain
// to lead: another leader may have granted the same rates.
func (l *leadership) permits(now time.Time) permits {
	l.grantMu.Lock()
	defer l.grantMu.Unlock()
	if now.Sub(l.grantedAt) >= grantEvery {
		l.grantedAt = now
		l.granter.Update(l.steward.machine.coldUpstreams(), l.grantees(now), now)
		l.divideLimits(now)
	}
	var p permits
	var granted, divided uint64
	p.grants, granted = l.granter.Grants()
	p.shares, divided = l.divider.Shares()
	p.revision = granted + divided
	return p
}

// grantees returns the entries that receive callers' requests, or all that are ready if none
// does yet.
func (l *leadership) grantees(now time.Time) []string {
	views := l.granteeViews(now)
	hosts := make([]string, len(views))
	for i, view := range views {
		hosts[i] = view.Host
	}
	return hosts
}

func (l *leadership) granteeViews(now time.Time) []EntryView {
	var busy, ready []EntryView
	for _, view := range l.watchers.recentEntries(now) {
		if !view.Ready {
			continue
		}
		ready = append(ready, view)
		if view.Rate > 0 {
			busy = append(busy, view)
		}
	}
	if len(busy) > 0 {
		return busy
	}
	return ready
}

// addGrants implements watchSource: entries receive their own permits, and control hosts that
// hold another revision receive all of them.
func (l *leadership) addGrants(from port.Peer, request *WatchRequest, answer *WatchAnswer, now time.Time) {
	permits := l.permits(now)
	if permits.revision == 0 || !l.certain() {
		return
	}
	answer.GrantsRevision = permits.revision
	switch {
	case from.Role == roleEntry:
		answer.Grants = warmup.GrantsFor(permits.grants, string(from.Host))
		answer.Shares = ratelimit.SharesFor(permits.shares, string(from.Host))
	case request.Grants != permits.revision || request.Term != l.elected:
		answer.Grants, answer.Shares = permits.grants, permits.shares
	}
}
