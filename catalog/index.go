package catalog

import (
	"bytes"
	"strings"
)

// Index finds routes, teams and services of one document. It is immutable and safe for
// concurrent use.
type Index struct {
	document *Document
	// routes holds the routes of each host by prefix.
	routes map[string]map[string]*Route
	teams  map[string]*Team
	// isolated tells by name which teams are isolated; it holds all teams.
	isolated map[string]bool
	services map[string]*Service
	stores   []*Service
	// lowestRank is the rank of the routes and teams that are served last.
	lowestRank int
}

// NewIndex returns the index of a valid document, which must not be modified afterwards.
func NewIndex(d *Document) *Index {
	x := &Index{
		document: d,
		routes:   make(map[string]map[string]*Route),
		teams:    make(map[string]*Team),
		isolated: make(map[string]bool, len(d.Teams)),
		services: make(map[string]*Service, len(d.Services)),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		if x.routes[host] == nil {
			x.routes[host] = make(map[string]*Route)
		}
		x.routes[host][r.Prefix] = r
		x.lowestRank = max(x.lowestRank, r.Priority)
	}
	for i := range d.Teams {
		if rank := d.Teams[i].Priority; rank != nil {
			x.lowestRank = max(x.lowestRank, *rank)
		}
		x.isolated[d.Teams[i].Name] = x.isolated[d.Teams[i].Name] || d.Teams[i].Isolated
		for _, key := range d.Teams[i].Keys {
			x.teams[key] = &d.Teams[i]
		}
	}
	for i := range d.Services {
		service := &d.Services[i]
		x.services[service.Name] = service
		if service.Store != nil {
			x.stores = append(x.stores, service)
		}
	}
	return x
}

// LowestRank returns the rank of the routes and teams that are served last; 0 is served first.
func (x *Index) LowestRank() int { return x.lowestRank }

// Document returns the indexed document.
func (x *Index) Document() *Document { return x.document }

// Version returns the document's version.
func (x *Index) Version() Version { return x.document.Version }

// Route returns the route of a host with the longest prefix of path, or nil if there is
// none. path has no query.
func (x *Index) Route(host, path string) *Route {
	prefixes := x.routes[strings.ToLower(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := prefixes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// Team returns the team that holds a key, or nil if none does.
func (x *Index) Team(key string) *Team { return x.teams[key] }

// Isolated reports whether the document isolates a team.
func (x *Index) Isolated(team string) bool { return x.isolated[team] }

// CacheTeam returns the team whose kept prompts a team's requests use alone, empty if they share
// the pool. A team that is no longer in the document shares nothing.
func (x *Index) CacheTeam(team string) string {
	if isolated, known := x.isolated[team]; team == "" || known && !isolated {
		return ""
	}
	return team
}

// Service returns the service with a name, or nil if there is none.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Stores returns the services that are stores, in the document's order.
func (x *Index) Stores() []*Service { return x.stores }

// Verdict is the result of comparing an offered document with the current one.
type Verdict uint8

const (
	// Accepted documents replace the current one.
	Accepted Verdict = iota + 1
	// Repeated documents are equal to the current one.
	Repeated
	// Outdated documents are older than the current one and change nothing.
	Outdated
	// Conflicting documents have the version of the current one and other content.
	Conflicting
)

// Compare compares an offered document with the current one, which is nil if there is none.
func Compare(current, offered *Document) Verdict {
	switch {
	case current == nil || offered.Version > current.Version:
		return Accepted
	case offered.Version < current.Version:
		return Outdated
	case bytes.Equal(current.Source, offered.Source):
		return Repeated
	}
	return Conflicting
}
