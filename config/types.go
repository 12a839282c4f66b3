package config

import (
	"slices"
	"strings"

	"github.com/lovagereach/lovagereach/ident"
)

// Defaults that Normalize fills in.
const (
	DefaultLedgerShards = 4
	DefaultPercentile   = 95
	DefaultMaxLoading   = 2
	DefaultBlockTokens  = 1000
)

// Document is one whole configuration as an operator writes it.
type Document struct {
	// LedgerShards is the number of groups of the at-most-once ledger. It is
	// fixed by the first revision: another number would send a known key to a
	// group that has never seen it.
	LedgerShards int       `cbor:"1,keyasint,omitempty" yaml:"ledger_shards,omitempty" json:"ledger_shards,omitempty"`
	Classes      []Class   `cbor:"2,keyasint,omitempty" yaml:"classes,omitempty" json:"classes,omitempty"`
	Teams        []Team    `cbor:"3,keyasint,omitempty" yaml:"teams,omitempty" json:"teams,omitempty"`
	Models       []Model   `cbor:"4,keyasint,omitempty" yaml:"models,omitempty" json:"models,omitempty"`
	Services     []Service `cbor:"5,keyasint,omitempty" yaml:"services,omitempty" json:"services,omitempty"`
}

// ClassKind tells what answers a class of work.
type ClassKind string

// The kinds of class.
const (
	KindModel   ClassKind = "model"
	KindService ClassKind = "service"
)

// AuditMode tells how much of a class's answers is recorded.
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
	// Deadline is when an answer is of no more use, counted from arrival.
	Deadline Duration `cbor:"4,keyasint" yaml:"deadline" json:"deadline"`
	// Repeatable tells that running a request twice does no harm. Requests of
	// other classes run at most once.
	Repeatable bool      `cbor:"5,keyasint,omitempty" yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	Audit      AuditMode `cbor:"6,keyasint" yaml:"audit,omitempty" json:"audit,omitempty"`
}

// Target is a time that a share of requests must meet.
type Target struct {
	Within Duration `cbor:"1,keyasint" yaml:"within" json:"within"`
	// Percentile is the share of requests in percent, for example 95.
	Percentile float64 `cbor:"2,keyasint" yaml:"percentile,omitempty" json:"percentile,omitempty"`
}

// Team is a group of callers whose prompts stay apart from all others.
type Team struct {
	Name ident.Team `cbor:"1,keyasint" yaml:"name" json:"name"`
	// Tokens are the digests of the bearer tokens that name the team. Two
	// tokens allow one to be replaced without a gap.
	Tokens []TokenDigest `cbor:"2,keyasint" yaml:"token_digests" json:"token_digests"`
	// Classes are those the team may use; the first is its default.
	Classes []ident.Class `cbor:"3,keyasint" yaml:"classes" json:"classes"`
	Share   TeamShare     `cbor:"4,keyasint" yaml:"share,omitempty" json:"share"`
}

// TeamShare bounds a team's part of a contended resource.
type TeamShare struct {
	// Guaranteed is kept for the team while it has work. All floors together stay
	// within the whole.
	Guaranteed Share `cbor:"1,keyasint,omitempty" yaml:"floor,omitempty" json:"floor,omitempty"`
	// Maximum is the most the team gets while others wait. Zero is no bound.
	Maximum Share `cbor:"2,keyasint,omitempty" yaml:"ceiling,omitempty" json:"ceiling,omitempty"`
}

// Model is a model with its wanted versions.
type Model struct {
	Name ident.Model `cbor:"1,keyasint" yaml:"name" json:"name"`
	// Versions are wanted on every runner of the model; new requests name the
	// first wherever it is loaded.
	Versions []TargetVersion `cbor:"2,keyasint" yaml:"versions" json:"versions"`
	// MaxLoading is how many runners may load weights at once.
	MaxLoading int `cbor:"3,keyasint" yaml:"max_loading,omitempty" json:"max_loading,omitempty"`
	// BlockTokens is the number of tokens in one block of a kept prompt.
	BlockTokens int `cbor:"4,keyasint" yaml:"block_tokens,omitempty" json:"block_tokens,omitempty"`
	// Roles are wanted parts of the model's runners; the rest keeps its role.
	Roles []RoleShare `cbor:"5,keyasint,omitempty" yaml:"roles,omitempty" json:"roles,omitempty"`
}

// TargetVersion is a weight version with the adapters wanted beside it.
type TargetVersion struct {
	Version  ident.Version   `cbor:"1,keyasint" yaml:"version" json:"version"`
	Adapters []ident.Adapter `cbor:"2,keyasint,omitempty" yaml:"adapters,omitempty" json:"adapters,omitempty"`
}

// RoleShare is the part of a model's runners that should take a role.
type RoleShare struct {
	Role  string `cbor:"1,keyasint" yaml:"role" json:"role"`
	Share Share  `cbor:"2,keyasint" yaml:"share" json:"share"`
}

// Service is a plain service.
type Service struct {
	Name  ident.Service `cbor:"1,keyasint" yaml:"name" json:"name"`
	Class ident.Class   `cbor:"2,keyasint" yaml:"class" json:"class"`
	// Repeatable holds for calls that no entry of Paths matches.
	Repeatable bool       `cbor:"3,keyasint,omitempty" yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	Paths      []PathRule `cbor:"4,keyasint,omitempty" yaml:"paths,omitempty" json:"paths,omitempty"`
}

// PathRule says whether calls to some paths of a service may be repeated.
type PathRule struct {
	// Method is an HTTP method in capitals, empty for all.
	Method string `cbor:"1,keyasint,omitempty" yaml:"method,omitempty" json:"method,omitempty"`
	// Prefix is compared by whole path segments.
	Prefix     string `cbor:"2,keyasint" yaml:"prefix" json:"prefix"`
	Repeatable bool   `cbor:"3,keyasint,omitempty" yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
}

// Allows reports whether the team may use class.
func (t *Team) Allows(class ident.Class) bool {
	return slices.Contains(t.Classes, class)
}

// TargetVersion returns the version that new requests name.
func (m *Model) TargetVersion() ident.Version {
	if len(m.Versions) == 0 {
		return ""
	}
	return m.Versions[0].Version
}

// RepeatableCall reports whether a call may be repeated. Of the rules that
// match, the one with the longest prefix decides, and of two with the same
// prefix the one that names the method.
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

// rank orders matching rules by specificity; it is negative without a match.
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

// matchesSegments reports whether prefix covers whole segments of path, so
// that "/lots" does not match "/lotsale".
func matchesSegments(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}
