package steward

import (
	"slices"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/roster"
)

// changesRoster reports whether an announcement would change the roster.
func (m *Machine) changesRoster(u roster.Upstream) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Changes(u)
}

// announcementKind classifies an announcement.
type announcementKind uint8

const (
	currentAnnouncement announcementKind = iota
	staleAnnouncement
	foreignAnnouncement
)

// classify returns the kind of an announcement. Other writers may announce a working runner without its
// start time or for another service; if that were applied, the runner would receive no more
// requests, or those of another service. An announcement for a service that isn't configured
// yet is applied if it displaces no other: its configuration may be in flight.
func (m *Machine) classify(u roster.Upstream) announcementKind {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, known := m.roster.Get(u.ID)
	displaces := known && held.State != roster.Gone && held.Service != u.Service && m.hasService(held.Service)
	switch {
	case m.roster.Outdated(u) || displaces && m.roster.Precedes(u):
		return staleAnnouncement
	case u.State == roster.Gone:
		return currentAnnouncement
	case u.StartedMs == 0 && m.reportsStartTimes():
		return foreignAnnouncement
	case displaces && (u.StartedMs <= held.StartedMs || !m.hasService(u.Service)):
		return foreignAnnouncement
	}
	return currentAnnouncement
}

// reportsStartTimes reports whether runners in this deployment report start times. A start time
// reported for a service that isn't configured doesn't count: one such announcement of another
// writer would cause all runners to be refused in a deployment whose runners report none. The
// caller holds the lock.
func (m *Machine) reportsStartTimes() bool {
	return m.roster.ReportsStartTimes() && slices.ContainsFunc(m.roster.Live(), func(u roster.Upstream) bool {
		return u.StartedMs != 0 && m.hasService(u.Service)
	})
}

// hasService reports whether the configuration has a service. The caller holds the lock.
func (m *Machine) hasService(service string) bool { return m.service(service) != nil }

// service returns a service of the configuration, nil if there is none of that name. The caller
// holds the lock.
func (m *Machine) service(name string) *catalog.Service {
	if m.document == nil {
		return nil
	}
	at := slices.IndexFunc(m.document.Services, func(s catalog.Service) bool { return s.Name == name })
	if at < 0 {
		return nil
	}
	return &m.document.Services[at]
}
