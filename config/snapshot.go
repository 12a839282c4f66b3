package config

import (
	"encoding/binary"
	"iter"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagereach/lovagereach/ident"
)

// Snapshot is an immutable revision of the configuration. It is safe for
// concurrent use. The values returned by its lookups must not be modified.
type Snapshot struct {
	revision     Revision
	ledgerShards int
	classes      table[ident.Class, Class]
	teams        table[ident.Team, Team]
	models       table[ident.Model, Model]
	services     table[ident.Service, Service]
	tokens       table[TokenDigest, Team]
	// guaranteedSum is the sum of the teams' guaranteed shares in millionths.
	guaranteedSum uint64
}

func hashName[K ~string](name K) uint64 { return xxhash.Sum64String(string(name)) }

// hashToken returns the first bytes of the digest, which are already uniformly
// distributed.
func hashToken(digest TokenDigest) uint64 { return binary.LittleEndian.Uint64(digest[:8]) }

// Empty returns the configuration at revision zero.
func Empty() *Snapshot {
	return &Snapshot{
		classes:  newTable[ident.Class, Class](hashName[ident.Class]),
		teams:    newTable[ident.Team, Team](hashName[ident.Team]),
		models:   newTable[ident.Model, Model](hashName[ident.Model]),
		services: newTable[ident.Service, Service](hashName[ident.Service]),
		tokens:   newTable[TokenDigest, Team](hashToken),
	}
}

// NewSnapshot normalizes doc and returns it as the given revision. If doc is
// invalid, the error is a Problems.
func NewSnapshot(revision Revision, doc Document) (*Snapshot, error) {
	doc.Normalize()
	return doc.snapshot(revision)
}

// Revision returns the snapshot's revision.
func (s *Snapshot) Revision() Revision { return s.revision }

// LedgerShards returns the number of groups of the at-most-once ledger, or zero
// before the first revision.
func (s *Snapshot) LedgerShards() int { return s.ledgerShards }

// TeamByToken returns the team that holds the bearer token with the given
// digest.
func (s *Snapshot) TeamByToken(digest TokenDigest) (*Team, bool) { return s.tokens.get(digest) }

// Team returns a team by name.
func (s *Snapshot) Team(name ident.Team) (*Team, bool) { return s.teams.get(name) }

// Class returns a class by name.
func (s *Snapshot) Class(name ident.Class) (*Class, bool) { return s.classes.get(name) }

// Model returns a model by name.
func (s *Snapshot) Model(name ident.Model) (*Model, bool) { return s.models.get(name) }

// Service returns a service by name.
func (s *Snapshot) Service(name ident.Service) (*Service, bool) { return s.services.get(name) }

// Classes yields all classes in no particular order.
func (s *Snapshot) Classes() iter.Seq[*Class] { return s.classes.all() }

// Teams yields all teams in no particular order. It is intended for dumps and
// setup, not for the path of a request.
func (s *Snapshot) Teams() iter.Seq[*Team] { return s.teams.all() }

// Models yields all models in no particular order.
func (s *Snapshot) Models() iter.Seq[*Model] { return s.models.all() }

// Services yields all services in no particular order.
func (s *Snapshot) Services() iter.Seq[*Service] { return s.services.all() }

// Items returns the number of classes, teams, models and services.
func (s *Snapshot) Items() int {
	return s.classes.size + s.teams.size + s.models.size + s.services.size
}

// Document returns the complete configuration, sorted by name.
func (s *Snapshot) Document() Document {
	doc := Document{
		LedgerShards: s.ledgerShards,
		Classes:      collect(s.classes),
		Teams:        collect(s.teams),
		Models:       collect(s.models),
		Services:     collect(s.services),
	}
	if s.revision > 0 {
		doc.Normalize()
	}
	return doc
}

// collect returns the items of a table in no particular order.
func collect[K comparable, V any](t table[K, V]) []V {
	list := make([]V, 0, t.size)
	for value := range t.all() {
		list = append(list, *value)
	}
	return nilIfEmpty(list)
}
