package steward

import (
	"slices"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/roster"
)

// wouldChange reports whether an announcement would change the roster.
func (m *Machine) wouldChange(u roster.Upstream) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Changes(u)
}

// word is what an announcement is taken for.
type word uint8

const (
	ownWord word = iota
	lateWord
	foreignWord
)

// hear judges an announcement. Other writers may announce a good runner without
// its birth or for another service; taken in, the runner would get no request any
// more, or those of others. What is for a service that isn't named yet is taken
// in where it displaces nothing: its configuration may be on its way.
func (m *Machine) hear(u roster.Upstream) word {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, known := m.roster.Get(u.ID)
	displaces := known && held.State != roster.Gone && held.Service != u.Service && m.names(held.Service)
	switch {
	case m.roster.Outdated(u) || displaces && m.roster.Precedes(u):
		return lateWord
	case u.State == roster.Gone:
		return ownWord
	case u.StartedMs == 0 && m.tellsBirths():
		return foreignWord
	case displaces && (u.StartedMs <= held.StartedMs || !m.names(u.Service)):
		return foreignWord
	}
	return ownWord
}

// tellsBirths reports whether runners tell their births here. A birth told for a
// service that nobody named doesn't count: one such word of another writer would
// have all runners refused where none tells a birth. The caller holds the lock.
func (m *Machine) tellsBirths() bool {
	return m.roster.ReportsStartTimes() && slices.ContainsFunc(m.roster.Live(), func(u roster.Upstream) bool {
		return u.StartedMs != 0 && m.names(u.Service)
	})
}

// names reports whether the configuration names a service. The caller holds the
// lock.
func (m *Machine) names(service string) bool { return m.service(service) != nil }

// service returns a service of the configuration, nil if it names none so. The caller
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
