package cacheindex

import (
	"strconv"
	"strings"
)

// Scope is the memory that prompts may share: that of one version of a model's weights, in one pool
// of the teams that are not isolated, or of one isolated team.
type Scope struct {
	Model   string
	Version uint64
	// Pool is the pool of the teams that are not isolated, 0 for the first one.
	Pool uint64
	// Team is the isolated team, empty for a pool.
	Team string
}

// Salt returns the scope's name. Different scopes of one model have different names.
func (s Scope) Salt() string {
	name := s.Model + "." + strconv.FormatUint(s.Version, 10)
	switch {
	case s.Team != "":
		return name + "/" + s.Team
	case s.Pool != 0:
		return name + ":" + strconv.FormatUint(s.Pool, 10)
	}
	return name
}

// ParseSalt returns the scope that a salt names, and false for a salt of another form.
func ParseSalt(salt string) (Scope, bool) {
	name, team, _ := strings.Cut(salt, "/")
	at := strings.LastIndexByte(name, '.')
	if at <= 0 {
		return Scope{}, false
	}
	version, pool, pooled := strings.Cut(name[at+1:], ":")
	scope := Scope{Model: name[:at], Team: team}
	var err error
	if scope.Version, err = strconv.ParseUint(version, 10, 64); err != nil {
		return Scope{}, false
	}
	if pooled {
		if scope.Pool, err = strconv.ParseUint(pool, 10, 64); err != nil {
			return Scope{}, false
		}
	}
	return scope, true
}
