package config

import (
	"cmp"
	"slices"

	"github.com/lovagereach/lovagereach/ident"
)

// Normalize fills in defaults and sorts the lists by name, so that equal
// configurations are equal values.
func (d *Document) Normalize() {
	if d.LedgerShards == 0 {
		d.LedgerShards = DefaultLedgerShards
	}
	for i := range d.Classes {
		d.Classes[i].normalize()
	}
	for i := range d.Teams {
		d.Teams[i].normalize()
	}
	for i := range d.Models {
		d.Models[i].normalize()
	}
	for i := range d.Services {
		d.Services[i].Paths = nilIfEmpty(d.Services[i].Paths)
	}
	sortByName(d.Classes, func(c *Class) ident.Class { return c.Name })
	sortByName(d.Teams, func(t *Team) ident.Team { return t.Name })
	sortByName(d.Models, func(m *Model) ident.Model { return m.Name })
	sortByName(d.Services, func(s *Service) ident.Service { return s.Name })
}

func (c *Class) normalize() {
	if c.FirstToken.Percentile == 0 {
		c.FirstToken.Percentile = DefaultPercentile
	}
	if c.Audit == "" {
		c.Audit = AuditSampled
	}
}

func (t *Team) normalize() {
	t.Tokens = nilIfEmpty(t.Tokens)
	t.Classes = nilIfEmpty(t.Classes)
}

func (m *Model) normalize() {
	if m.MaxLoading == 0 {
		m.MaxLoading = DefaultMaxLoading
	}
	if m.BlockTokens == 0 {
		m.BlockTokens = DefaultBlockTokens
	}
	m.Roles = nilIfEmpty(m.Roles)
	m.Versions = nilIfEmpty(m.Versions)
	for i := range m.Versions {
		// Write only where needed: the documents of a snapshot share this array
		// and are already normalized, so it must not be written to.
		if adapters := m.Versions[i].Adapters; adapters != nil && len(adapters) == 0 {
			m.Versions[i].Adapters = nil
		}
	}
}

// nilIfEmpty returns nil for an empty list.
func nilIfEmpty[E any](list []E) []E {
	if len(list) == 0 {
		return nil
	}
	return list
}

func sortByName[E any, N cmp.Ordered](list []E, name func(*E) N) {
	slices.SortStableFunc(list, func(a, b E) int {
		return cmp.Compare(name(&a), name(&b))
	})
}
