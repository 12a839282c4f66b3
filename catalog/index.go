package catalog

import (
	"bytes"
	"strings"
)

// Index finds routes and teams of one document. It is immutable and safe for
// concurrent use.
type Index struct {
	document *Document
	// places holds the routes of each host by prefix.
	places   map[string]map[string]*Route
	teams    map[string]*Team
	services map[string]*Service
	stores   []*Service
}

// NewIndex builds the index of a valid document, which must not change after.
func NewIndex(d *Document) *Index {
	x := &Index{
		document: d,
		places:   make(map[string]map[string]*Route),
		teams:    make(map[string]*Team),
		services: make(map[string]*Service, len(d.Services)),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		if x.places[host] == nil {
			x.places[host] = make(map[string]*Route)
		}
		x.places[host][r.Prefix] = r
	}
	for i := range d.Teams {
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

// Document returns the indexed document.
func (x *Index) Document() *Document { return x.document }

// Version returns the document's version.
func (x *Index) Version() Version { return x.document.Version }

// Route returns the route of a host with the longest prefix that begins path,
// nil when there is none. path has no query.
func (x *Index) Route(host, path string) *Route {
	prefixes := x.places[strings.ToLower(host)]
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

// Team returns the team that holds a key, nil when none does.
func (x *Index) Team(key string) *Team { return x.teams[key] }

// Service returns a service by name, nil when there is none.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Stores lists the services that are stores, in the document's order.
func (x *Index) Stores() []*Service { return x.stores }

// Verdict tells what becomes of a document beside the one held.
type Verdict uint8

const (
	// Accepted documents replace the one held.
	Accepted Verdict = iota + 1
	// Repeated documents are the one held.
	Repeated
	// Overtaken documents are older than the one held and change nothing.
	Overtaken
	// Conflicting documents bear the number of the one held and other content.
	Conflicting
)

// Compare judges a document against the one held, nil for none.
func Compare(held, offered *Document) Verdict {
	switch {
	case held == nil || offered.Version > held.Version:
		return Accepted
	case offered.Version < held.Version:
		return Overtaken
	case bytes.Equal(held.Source, offered.Source):
		return Repeated
	}
	return Conflicting
}
