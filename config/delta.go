package config

import (
	"reflect"

	"github.com/lovagereach/lovagereach/ident"
)

// Delta is the list of item changes that turn revision From into revision To.
type Delta struct {
	From Revision `cbor:"1,keyasint" json:"from"`
	To   Revision `cbor:"2,keyasint" json:"to"`
	// LedgerShards is set by the first revision only.
	LedgerShards int                            `cbor:"3,keyasint,omitempty" json:"ledger_shards,omitempty"`
	Classes      Change[ident.Class, Class]     `cbor:"4,keyasint,omitzero" json:"classes,omitzero"`
	Teams        Change[ident.Team, Team]       `cbor:"5,keyasint,omitzero" json:"teams,omitzero"`
	Models       Change[ident.Model, Model]     `cbor:"6,keyasint,omitzero" json:"models,omitzero"`
	Services     Change[ident.Service, Service] `cbor:"7,keyasint,omitzero" json:"services,omitzero"`
}

// Change lists the items of one kind that were set or removed. No item is in
// both lists.
type Change[K ~string, V any] struct {
	Put  []V `cbor:"1,keyasint,omitempty" json:"put,omitempty"`
	Drop []K `cbor:"2,keyasint,omitempty" json:"drop,omitempty"`
}

// IsZero reports whether the change is empty.
func (c Change[K, V]) IsZero() bool { return len(c.Put) == 0 && len(c.Drop) == 0 }

func (c Change[K, V]) size() int { return len(c.Put) + len(c.Drop) }

// Size returns the number of items the delta sets or removes.
func (d *Delta) Size() int {
	size := d.Classes.size() + d.Teams.size() + d.Models.size() + d.Services.size()
	if d.LedgerShards != 0 {
		size++
	}
	return size
}

func className(c *Class) ident.Class       { return c.Name }
func teamName(t *Team) ident.Team          { return t.Name }
func modelName(m *Model) ident.Model       { return m.Name }
func serviceName(s *Service) ident.Service { return s.Name }

// Diff returns the changes that turn old into doc, which must be normalized.
// The caller sets To.
func Diff(old *Snapshot, doc *Document) Delta {
	delta := Delta{
		From:     old.revision,
		Classes:  diffItems(old.classes, doc.Classes, className),
		Teams:    diffItems(old.teams, doc.Teams, teamName),
		Models:   diffItems(old.models, doc.Models, modelName),
		Services: diffItems(old.services, doc.Services, serviceName),
	}
	if doc.LedgerShards != old.ledgerShards {
		delta.LedgerShards = doc.LedgerShards
	}
	return delta
}

func diffItems[K ~string, V any](old table[K, V], items []V, name func(*V) K) Change[K, V] {
	var change Change[K, V]
	wanted := make(map[K]struct{}, len(items))
	for i := range items {
		key := name(&items[i])
		wanted[key] = struct{}{}
		before, found := old.get(key)
		if !found || !reflect.DeepEqual(*before, items[i]) {
			change.Put = append(change.Put, items[i])
		}
	}
	for value := range old.all() {
		if _, keep := wanted[name(value)]; !keep {
			change.Drop = append(change.Drop, name(value))
		}
	}
	sortByName(change.Drop, func(key *K) K { return *key })
	return change
}

// Apply returns the snapshot that results from delta. The caller has checked
// that the delta starts at this revision (see Check and Follower).
func (s *Snapshot) Apply(delta Delta) *Snapshot {
	next := *s
	next.revision = delta.To
	if delta.LedgerShards != 0 {
		next.ledgerShards = delta.LedgerShards
	}
	next.classes = applyChange(s.classes, delta.Classes, className)
	next.models = applyChange(s.models, delta.Models, modelName)
	next.services = applyChange(s.services, delta.Services, serviceName)
	next.applyTeams(delta.Teams)
	return &next
}

func applyChange[K ~string, V any](t table[K, V], change Change[K, V], name func(*V) K) table[K, V] {
	put := make([]tableItem[K, V], len(change.Put))
	for i := range change.Put {
		value := change.Put[i]
		put[i] = tableItem[K, V]{key: name(&value), value: &value}
	}
	return t.apply(change.Drop, put)
}

// applyTeams applies a change of teams and updates the token index and the sum
// of guaranteed shares. Old tokens are removed first, because a token may move
// from one changed team to another.
func (s *Snapshot) applyTeams(change Change[ident.Team, Team]) {
	var oldTokens []TokenDigest
	for _, name := range change.Drop {
		oldTokens = s.unindexTeam(name, oldTokens)
	}
	for i := range change.Put {
		oldTokens = s.unindexTeam(change.Put[i].Name, oldTokens)
	}
	s.teams = applyChange(s.teams, change, teamName)
	var newTokens []tableItem[TokenDigest, Team]
	for i := range change.Put {
		team, _ := s.teams.get(change.Put[i].Name)
		s.guaranteedSum += uint64(team.Share.Guaranteed)
		for _, digest := range team.Tokens {
			newTokens = append(newTokens, tableItem[TokenDigest, Team]{key: digest, value: team})
		}
	}
	s.tokens = s.tokens.apply(oldTokens, newTokens)
}

// unindexTeam subtracts a team's guaranteed share from the sum and appends its
// tokens, which are to be removed from the index, to tokens. The caller is
// about to change or remove the team.
func (s *Snapshot) unindexTeam(name ident.Team, tokens []TokenDigest) []TokenDigest {
	team, found := s.teams.get(name)
	if !found {
		return tokens
	}
	s.guaranteedSum -= uint64(team.Share.Guaranteed)
	return append(tokens, team.Tokens...)
}

// Merge combines consecutive deltas into one. It panics if there are none.
func Merge(deltas []Delta) Delta {
	merged := deltas[0]
	for _, next := range deltas[1:] {
		merged.To = next.To
		if next.LedgerShards != 0 {
			merged.LedgerShards = next.LedgerShards
		}
	}
	merged.Classes = mergeChanges(deltas, func(d *Delta) Change[ident.Class, Class] { return d.Classes }, className)
	merged.Teams = mergeChanges(deltas, func(d *Delta) Change[ident.Team, Team] { return d.Teams }, teamName)
	merged.Models = mergeChanges(deltas, func(d *Delta) Change[ident.Model, Model] { return d.Models }, modelName)
	merged.Services = mergeChanges(deltas, func(d *Delta) Change[ident.Service, Service] { return d.Services }, serviceName)
	return merged
}

// mergeChanges keeps the latest change of each item. Put and Drop are sorted,
// so that equal inputs give equal messages.
func mergeChanges[K ~string, V any](deltas []Delta, part func(*Delta) Change[K, V], name func(*V) K) Change[K, V] {
	last := make(map[K]*V)
	for i := range deltas {
		change := part(&deltas[i])
		for _, key := range change.Drop {
			last[key] = nil
		}
		for j := range change.Put {
			last[name(&change.Put[j])] = &change.Put[j]
		}
	}
	var merged Change[K, V]
	for key, value := range last {
		if value == nil {
			merged.Drop = append(merged.Drop, key)
			continue
		}
		merged.Put = append(merged.Put, *value)
	}
	sortByName(merged.Put, name)
	sortByName(merged.Drop, func(key *K) K { return *key })
	return merged
}
