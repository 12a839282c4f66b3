package config

import (
	"slices"
	"strings"

	"github.com/lovagereach/lovagereach/ident"
)

// Defaults filled in by Normalize.
const (
	DefaultLedgerShards = 4
	DefaultPercentile   = 95
	DefaultMaxLoading   = 2
	DefaultBlockTokens  = 1000
)

// Document is a complete configuration as an operator writes it.
type Document struct {
	// LedgerShards is the number of groups of the at-most-once ledger. It is
	// fixed by the first revision, because with another number a known key
	// would be sent to a group that has no record of it.
	LedgerShards int       `cbor:"1,keyasint,omitempty" yaml:"ledger_shards,omitempty" json:"ledger_shards,omitempty"`
	Classes      []Class   `cbor:"2,keyasint,omitempty" yaml:"classes,omitempty" json:"classes,omitempty"`
	Teams        []Team    `cbor:"3,keyasint,omitempty" yaml:"teams,omitempty" json:"teams,omitempty"`
	Models       []Model   `cbor:"4,keyasint,omitempty" yaml:"models,omitempty" json:"models,omitempty"`
	Services     []Service `cbor:"5,keyasint,omitempty" yaml:"services,omitempty" json:"services,omitempty"`
}

// ClassKind is the kind of upstream, model or service, that answers the
// requests of a class.
type ClassKind string

// The kinds of class.
const (
	KindModel   ClassKind = "model"
	KindService ClassKind = "service"
)

// AuditMode determines how many of a class's answers are recorded.
type AuditMode string

// The audit modes.
const (
	AuditFull    AuditMode = "full"
	AuditSampled AuditMode = "sampled"
)

// Class is a class of work with its target.
type Class struct {
	Name ident.Class `cbor:"1,keyasint" yaml:"name" json:"name"`
	Kind ClassKind   `cbor:"2,keyasint" yaml:"kind" json:"kind"`
	// FirstToken is the target for the time to the first token or, for a
	// service, to the first byte of the answer.
	FirstToken Target `cbor:"3,keyasint" yaml:"first_token" json:"first_token"`
	// Deadline is the time after arrival from which an answer is of no use.
	Deadline Duration `cbor:"4,keyasint" yaml:"deadline" json:"deadline"`
	// Repeatable is set if running a request twice is harmless. Requests of
	// other classes run at most once.
	Repeatable bool      `cbor:"5,keyasint,omitempty" yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	Audit      AuditMode `cbor:"6,keyasint" yaml:"audit,omitempty" json:"audit,omitempty"`
}

// Target is a time limit that a percentage of requests must meet.
type Target struct {
	Within Duration `cbor:"1,keyasint" yaml:"within" json:"within"`
	// Percentile is the percentage of requests, for example 95.
	Percentile float64 `cbor:"2,keyasint" yaml:"percentile,omitempty" json:"percentile,omitempty"`
}

// Team is a group of callers whose prompts are isolated from those of all other
// teams.
type Team struct {
	Name ident.Team `cbor:"1,keyasint" yaml:"name" json:"name"`
	// Tokens are the digests of the team's bearer tokens. With two tokens, one
	// can be replaced without an interruption.
	Tokens []TokenDigest `cbor:"2,keyasint" yaml:"token_digests" json:"token_digests"`
	// Classes are the classes that the team may use. The first is its default.
	Classes []ident.Class `cbor:"3,keyasint" yaml:"classes" json:"classes"`
	Share   TeamShare     `cbor:"4,keyasint" yaml:"share,omitempty" json:"share"`
}

// TeamShare holds the limits of a team's share of a contended resource.
type TeamShare struct {
	// Guaranteed is reserved for the team while it has work. The sum over all
	// teams must not exceed 100%.
	Guaranteed Share `cbor:"1,keyasint,omitempty" yaml:"floor,omitempty" json:"floor,omitempty"`
	// Maximum is the largest share the team gets while other teams wait. Zero
	// means no limit.
	Maximum Share `cbor:"2,keyasint,omitempty" yaml:"ceiling,omitempty" json:"ceiling,omitempty"`
}

// Model is a model with its target versions.
type Model struct {
	Name ident.Model `cbor:"1,keyasint" yaml:"name" json:"name"`
	// Versions are to be loaded on every runner of the model. New requests use
	// the first one wherever it is loaded.
	Versions []TargetVersion `cbor:"2,keyasint" yaml:"versions" json:"versions"`
	// MaxLoading is the number of runners that may load weights at the same
	// time.
	MaxLoading int `cbor:"3,keyasint" yaml:"max_loading,omitempty" json:"max_loading,omitempty"`
	// BlockTokens is the number of tokens in one block of a kept prompt.
	BlockTokens int `cbor:"4,keyasint" yaml:"block_tokens,omitempty" json:"block_tokens,omitempty"`
	// Roles are the target shares of the model's runners by role. The other
	// runners keep their role.
	Roles []RoleShare `cbor:"5,keyasint,omitempty" yaml:"roles,omitempty" json:"roles,omitempty"`
}

// TargetVersion is a version of the weights with the adapters to load for it.
type TargetVersion struct {
	Version  ident.Version   `cbor:"1,keyasint" yaml:"version" json:"version"`
	Adapters []ident.Adapter `cbor:"2,keyasint,omitempty" yaml:"adapters,omitempty" json:"adapters,omitempty"`
}

// RoleShare is the share of a model's runners that should have a role.
type RoleShare struct {
	Role  string `cbor:"1,keyasint" yaml:"role" json:"role"`
	Share Share  `cbor:"2,keyasint" yaml:"share" json:"share"`
}

// Service is a plain HTTP service, as opposed to a model.
type Service struct {
	Name  ident.Service `cbor:"1,keyasint" yaml:"name" json:"name"`
	Class ident.Class   `cbor:"2,keyasint" yaml:"class" json:"class"`
	// Repeatable applies to calls that no entry of Paths matches.
	Repeatable bool       `cbor:"3,keyasint,omitempty" yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	Paths      []PathRule `cbor:"4,keyasint,omitempty" yaml:"paths,omitempty" json:"paths,omitempty"`
}

// PathRule states whether calls to some paths of a service are repeatable.
type PathRule struct {
	// Method is an HTTP method in upper case, or empty for all methods.
	Method string `cbor:"1,keyasint,omitempty" yaml:"method,omitempty" json:"method,omitempty"`
	// Prefix is matched by whole path segments.
	Prefix     string `cbor:"2,keyasint" yaml:"prefix" json:"prefix"`
	Repeatable bool   `cbor:"3,keyasint,omitempty" yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
}

// Allows reports whether the team may use class.
func (t *Team) Allows(class ident.Class) bool {
	return slices.Contains(t.Classes, class)
}

// TargetVersion returns the version that new requests use, or "" if there is
// none.
func (m *Model) TargetVersion() ident.Version {
	if len(m.Versions) == 0 {
		return ""
	}
	return m.Versions[0].Version
}

// RepeatableCall reports whether a call is repeatable. Of the matching rules
// the one with the longest prefix applies. Of two rules with the same prefix,
// the one with a method takes precedence.
func (s *Service) RepeatableCall(method, path string) bool {
	repeatable := s.Repeatable
	best := -1
	for i := range s.Paths {
		rule := &s.Paths[i]
		if rank := rule.rank(method, path); rank > best {
			best = rank
			repeatable = rule.Repeatable
		}
	}
	return repeatable
}

// rank returns the precedence of a matching rule, or a negative number if the
// rule doesn't match.
func (r *PathRule) rank(method, path string) int {
	if r.Method != "" && r.Method != method {
		return -1
	}
	if !matchesSegments(path, r.Prefix) {
		return -1
	}
	rank := 2 * len(strings.TrimSuffix(r.Prefix, "/"))
	if r.Method != "" {
		rank++
	}
	return rank
}

// matchesSegments reports whether prefix consists of leading whole segments of
// path; "/lots" does not match "/lotsale".
func matchesSegments(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}
