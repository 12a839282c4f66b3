package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Limits on the content of a configuration.
const (
	MaxNameLength     = 128
	MaxLedgerShards   = 256
	MaxTokensPerTeam  = 16
	MaxClassesPerTeam = 256
	MaxVersions       = 8
	MaxAdapters       = 256
	MaxPathRules      = 256
	MaxBlockTokens    = 1 << 16
	MaxLoadingBound   = 1024
	MaxDeadline       = Duration(24 * time.Hour)
	// MaxProblems limits the number of problems in one error.
	MaxProblems = 20
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// Problem is one reason for which a configuration is refused.
type Problem struct {
	// Path is the path of the field, for example teams[growers].share.floor.
	Path   string `cbor:"1,keyasint" json:"path"`
	Reason string `cbor:"2,keyasint" json:"reason"`
}

// Problems is the error that lists the problems of a configuration.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Path + ": " + problem.Reason
	}
	return strings.Join(lines, "; ")
}

// checker collects up to MaxProblems problems.
type checker struct {
	problems Problems
}

func (c *checker) addf(path, format string, args ...any) {
	if len(c.problems) < MaxProblems {
		c.problems = append(c.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

// Validate checks a normalized document. The error is a Problems.
func (d *Document) Validate() error {
	_, err := d.snapshot(1)
	return err
}

// snapshot checks a normalized document and returns it as the given revision.
func (d *Document) snapshot(revision Revision) (*Snapshot, error) {
	delta := Diff(Empty(), d)
	delta.To = revision
	return Empty().advance(delta)
}

// checkUnique reports each name that occurs more than once in a list.
func checkUnique[K ~string, V any](check *checker, list string, items []V, name func(*V) K) {
	if len(items) < 2 {
		return
	}
	seen := make(map[K]struct{}, len(items))
	for i := range items {
		key := name(&items[i])
		if _, duplicate := seen[key]; duplicate {
			check.addf(itemPath(list, key), "is given twice; keep one")
		}
		seen[key] = struct{}{}
	}
}

// itemPath returns the path of a named item of a list.
func itemPath[K ~string](list string, name K) string {
	return fmt.Sprintf("%s[%s]", list, string(name))
}

// Check checks that the configuration that results from delta is valid, given
// that s is. It checks the changed items and the references to them, so its
// cost depends on the size of the change. Only a removed class or a changed
// class kind requires a check of all teams and services. The error is a
// Problems.
func (s *Snapshot) Check(delta Delta) error {
	_, err := s.advance(delta)
	return err
}

// advance combines Check and Apply.
func (s *Snapshot) advance(delta Delta) (*Snapshot, error) {
	var check checker
	checkUnique(&check, "classes", delta.Classes.Put, className)
	checkUnique(&check, "teams", delta.Teams.Put, teamName)
	checkUnique(&check, "models", delta.Models.Put, modelName)
	checkUnique(&check, "services", delta.Services.Put, serviceName)
	if err := check.err(); err != nil {
		return nil, err
	}
	next := s.Apply(delta)
	check.ledger(s, delta)
	for i := range delta.Classes.Put {
		check.class(&delta.Classes.Put[i])
	}
	for i := range delta.Teams.Put {
		check.team(s, next, &delta.Teams.Put[i])
	}
	for i := range delta.Models.Put {
		check.model(&delta.Models.Put[i])
	}
	for i := range delta.Services.Put {
		check.service(next, &delta.Services.Put[i])
	}
	if next.guaranteedSum > uint64(FullShare) {
		check.addf("teams", "the floors add up to %s; lower some until they fit in 100%%", Share(next.guaranteedSum))
	}
	if s.changesClassUse(delta) {
		check.classReferences(next)
	}
	return next, check.err()
}

// changesClassUse reports whether delta removes a class or changes the kind of
// one, so that references to it can become invalid.
func (s *Snapshot) changesClassUse(delta Delta) bool {
	if len(delta.Classes.Drop) > 0 {
		return true
	}
	for i := range delta.Classes.Put {
		before, found := s.Class(delta.Classes.Put[i].Name)
		if found && before.Kind != delta.Classes.Put[i].Kind {
			return true
		}
	}
	return false
}

// classReferences checks the class names in all teams and services.
func (c *checker) classReferences(next *Snapshot) {
	for team := range next.Teams() {
		c.teamClasses(next, team)
	}
	for service := range next.Services() {
		c.serviceClass(next, service)
	}
}

func (c *checker) ledger(old *Snapshot, delta Delta) {
	if delta.LedgerShards == 0 {
		return
	}
	if delta.LedgerShards < 1 || delta.LedgerShards > MaxLedgerShards {
		c.addf("ledger_shards", "must be from 1 to %d", MaxLedgerShards)
	}
	if old.ledgerShards != 0 && old.ledgerShards != delta.LedgerShards {
		c.addf("ledger_shards", "is fixed at %d by the first revision: with another number a known idempotency key would reach a group that never saw it", old.ledgerShards)
	}
}

func (c *checker) name(path, name string) {
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		c.addf(path+".name", "must be 1 to %d letters, digits, dots, colons, dashes or underscores and start with a letter or digit", MaxNameLength)
	}
}

func (c *checker) class(class *Class) {
	path := itemPath("classes", class.Name)
	c.name(path, string(class.Name))
	if class.Kind != KindModel && class.Kind != KindService {
		c.addf(path+".kind", "must be %q or %q, not %q", KindModel, KindService, class.Kind)
	}
	if class.FirstToken.Within <= 0 {
		c.addf(path+".first_token.within", "must be above zero")
	}
	if !(class.FirstToken.Percentile > 0 && class.FirstToken.Percentile < 100) {
		c.addf(path+".first_token.percentile", "must be above 0 and below 100")
	}
	if class.Deadline < class.FirstToken.Within {
		c.addf(path+".deadline", "must not be shorter than first_token.within")
	}
	if class.Deadline > MaxDeadline {
		c.addf(path+".deadline", "must be at most %s", MaxDeadline)
	}
	if class.Audit != AuditFull && class.Audit != AuditSampled {
		c.addf(path+".audit", "must be %q or %q, not %q", AuditFull, AuditSampled, class.Audit)
	}
}

func (c *checker) team(old, next *Snapshot, team *Team) {
	path := itemPath("teams", team.Name)
	c.name(path, string(team.Name))
	if len(team.Tokens) == 0 || len(team.Tokens) > MaxTokensPerTeam {
		c.addf(path+".token_digests", "must hold 1 to %d digests", MaxTokensPerTeam)
	}
	for _, digest := range team.Tokens {
		c.tokenIsUnique(old, next, team, digest)
	}
	if team.Share.Guaranteed > FullShare || team.Share.Maximum > FullShare {
		c.addf(path+".share", "must be within 0%% to 100%%")
	}
	if team.Share.Maximum != 0 && team.Share.Maximum < team.Share.Guaranteed {
		c.addf(path+".share.ceiling", "must not be below share.floor")
	}
	c.teamClasses(next, team)
}

// tokenIsUnique refuses a digest held by two teams: the token would identify
// both, and its caller could read either team's prompts. The index of next
// detects two changed teams with the same digest; the index of old detects an
// unchanged team that keeps it.
func (c *checker) tokenIsUnique(old, next *Snapshot, team *Team, digest TokenDigest) {
	owner, _ := next.TeamByToken(digest)
	if before, found := old.TeamByToken(digest); found && before.Name != team.Name {
		if current, exists := next.Team(before.Name); exists && slices.Contains(current.Tokens, digest) {
			owner = current
		}
	}
	if owner == nil || owner.Name != team.Name {
		path := itemPath("teams", team.Name) + ".token_digests"
		c.addf(path, "%s... is also another team's; every token names one team", digest.String()[:12])
	}
}

func (c *checker) teamClasses(next *Snapshot, team *Team) {
	path := itemPath("teams", team.Name) + ".classes"
	if len(team.Classes) == 0 || len(team.Classes) > MaxClassesPerTeam {
		c.addf(path, "must name 1 to %d classes", MaxClassesPerTeam)
	}
	for _, name := range team.Classes {
		c.classExists(next, path, name)
	}
}

func (c *checker) classExists(next *Snapshot, path string, name ident.Class) (*Class, bool) {
	class, found := next.Class(name)
	if !found {
		c.addf(path, "names the class %q, which is not in classes; add it or take it out here", name)
	}
	return class, found
}

func (c *checker) model(model *Model) {
	path := itemPath("models", model.Name)
	c.name(path, string(model.Name))
	if len(model.Versions) == 0 || len(model.Versions) > MaxVersions {
		c.addf(path+".versions", "must hold 1 to %d versions", MaxVersions)
	}
	seen := make(map[ident.Version]struct{}, len(model.Versions))
	for _, target := range model.Versions {
		c.name(path+".versions", string(target.Version))
		if _, duplicate := seen[target.Version]; duplicate {
			c.addf(path+".versions", "names %q twice", target.Version)
		}
		seen[target.Version] = struct{}{}
		if len(target.Adapters) > MaxAdapters {
			c.addf(path+".versions", "%q has more than %d adapters", target.Version, MaxAdapters)
		}
	}
	if model.MaxLoading < 1 || model.MaxLoading > MaxLoadingBound {
		c.addf(path+".max_loading", "must be from 1 to %d", MaxLoadingBound)
	}
	if model.BlockTokens < 1 || model.BlockTokens > MaxBlockTokens {
		c.addf(path+".block_tokens", "must be from 1 to %d", MaxBlockTokens)
	}
	c.roles(path, model.Roles)
}

func (c *checker) roles(path string, roles []RoleShare) {
	var sum uint64
	for _, role := range roles {
		c.name(path+".roles", role.Role)
		sum += uint64(role.Share)
	}
	if sum > uint64(FullShare) {
		c.addf(path+".roles", "the shares add up to more than 100%%")
	}
}

func (c *checker) service(next *Snapshot, service *Service) {
	path := itemPath("services", service.Name)
	c.name(path, string(service.Name))
	c.serviceClass(next, service)
	if len(service.Paths) > MaxPathRules {
		c.addf(path+".paths", "must hold at most %d rules", MaxPathRules)
	}
	for i, rule := range service.Paths {
		if !strings.HasPrefix(rule.Prefix, "/") {
			c.addf(fmt.Sprintf("%s.paths[%d].prefix", path, i), "must start with /")
		}
		if rule.Method != strings.ToUpper(rule.Method) {
			c.addf(fmt.Sprintf("%s.paths[%d].method", path, i), "must be in capitals")
		}
	}
}

func (c *checker) serviceClass(next *Snapshot, service *Service) {
	path := itemPath("services", service.Name) + ".class"
	class, found := c.classExists(next, path, service.Class)
	if found && class.Kind != KindService {
		c.addf(path, "names the class %q of kind %q; a service needs one of kind %q", service.Class, class.Kind, KindService)
	}
}
