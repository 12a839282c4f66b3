package catalog

import (
	"fmt"
	"strings"
)

// InvalidError reports why a document is rejected.
type InvalidError struct {
	// Field is the path of the field, for example routes[3].timeout.
	Field string
	// Reason describes what is wrong and what would be accepted.
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Reason)
}

func invalid(field, format string, args ...any) error {
	return &InvalidError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Validate returns the first reason for rejecting the document, an *InvalidError, or nil.
func (d *Document) Validate() error {
	if d.Version == 0 {
		return invalid("version", "is missing or 0; versions start at 1")
	}
	services, err := d.serviceNames()
	if err != nil {
		return err
	}
	if err := d.checkRoutes(services); err != nil {
		return err
	}
	return d.checkTeams()
}

func (d *Document) serviceNames() (map[string]bool, error) {
	names := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		name := d.Services[i].Name
		if name == "" {
			return nil, invalid(fmt.Sprintf("services[%d].name", i), "is empty")
		}
		if names[name] {
			return nil, invalid(fmt.Sprintf("services[%d].name", i), "%q is listed twice", name)
		}
		names[name] = true
	}
	return names, nil
}

type routeKey struct{ host, prefix string }

func (d *Document) checkRoutes(services map[string]bool) error {
	seen := make(map[routeKey]int, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		key := routeKey{strings.ToLower(r.Host), r.Prefix}
		if other, exists := seen[key]; exists {
			return invalid(field, "has the host and prefix of routes[%d]", other)
		}
		seen[key] = i
		if err := r.check(field, services); err != nil {
			return err
		}
	}
	return nil
}

// maxWeight is the largest weight of a target. The sum of a route's weights fits an int.
const maxWeight = 1 << 31

func (r *Route) check(field string, services map[string]bool) error {
	switch {
	case r.Host == "":
		return invalid(field+".host", "is empty")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid(field+".prefix", "%q does not begin and end with a slash", r.Prefix)
	case r.Kind < Safe || r.Kind > Stream:
		return invalid(field+".kind", "is not known")
	case r.Timeout <= 0:
		return invalid(field+".timeout", "is %v; it must be above 0", r.Timeout)
	case len(r.Targets) == 0:
		return invalid(field+".service", "is missing")
	}
	total := 0
	for _, target := range r.Targets {
		if !services[target.Service] {
			return invalid(field+".service", "%q is not among the services", target.Service)
		}
		if target.Weight < 0 || target.Weight > maxWeight {
			return invalid(field+".weight", "%d is not from 0 to %d", target.Weight, maxWeight)
		}
		total += target.Weight
	}
	if total == 0 {
		return invalid(field+".weight", "the weights add up to 0")
	}
	return nil
}

func (d *Document) checkTeams() error {
	owners := make(map[string]string)
	for i := range d.Teams {
		team := &d.Teams[i]
		field := fmt.Sprintf("teams[%d]", i)
		if team.Name == "" {
			return invalid(field+".name", "is empty")
		}
		for _, key := range team.Keys {
			if owner, exists := owners[key]; exists && owner != team.Name {
				return invalid(field+".keys", "a key is shared with team %q", owner)
			}
			owners[key] = team.Name
		}
	}
	return nil
}
