package settings

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/rotisserie/eris"
)

// Report collects the problems that a Checker finds.
type Report struct {
	file     string
	tree     *ast.File
	problems Problems
}

// Problem adds a fault at the dotted key, for example "listen.callers".
func (r *Report) Problem(key, reason, accepted string) {
	r.problems = append(r.problems, &Problem{
		File:     r.file,
		Line:     r.lineOf(key),
		Key:      key,
		Reason:   reason,
		Accepted: accepted,
	})
}

// Require adds a fault unless ok.
func (r *Report) Require(ok bool, key, reason, accepted string) {
	if !ok {
		r.Problem(key, reason, accepted)
	}
}

// Positive requires a number above zero.
func (r *Report) Positive(key string, value int64) {
	r.Require(value > 0, key, fmt.Sprintf("%d is not above zero", value), "a value above zero")
}

// NotEmpty requires a text that isn't empty.
func (r *Report) NotEmpty(key, value, accepted string) {
	r.Require(value != "", key, "is missing", accepted)
}

// Listen requires an address to listen on.
func (r *Report) Listen(key string, value Address) {
	r.Require(value.IsValid(), key, "is missing", acceptedAddress)
}

// NotNegative requires a number of zero or above; zero often means a default.
func (r *Report) NotNegative(key string, value int64) {
	r.Require(value >= 0, key, "is negative", "a value of zero or above")
}

// Secret requires a file that ReadSecret accepts, so that a check without a start finds
// a faulty secret file.
func (r *Report) Secret(key, path string, least int) {
	accepted := fmt.Sprintf("a file with a secret of at least %d bytes", least)
	if path == "" {
		r.Problem(key, "is missing", accepted)
		return
	}
	if _, err := ReadSecret(key, path, least); err != nil {
		r.Problem(key, strings.TrimPrefix(eris.ToString(err, false), key+": "), accepted)
	}
}

// DistinctListeners requires that no two listeners share an address. Port 0
// may be repeated, since each listener gets a port of its own.
func (r *Report) DistinctListeners(keys []string, addresses []Address) {
	seen := make(map[Address]string)
	for i, address := range addresses {
		if !address.IsValid() || address.Port() == 0 {
			continue
		}
		first, taken := seen[address]
		r.Require(!taken, keys[i], fmt.Sprintf("%s is the address of %s too", address, first), "an address of its own for each listener")
		seen[address] = keys[i]
	}
}

// Err returns the problems found, or nil.
func (r *Report) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return r.problems
}

func (r *Report) lineOf(key string) int {
	if r.tree == nil {
		return 0
	}
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 0
	}
	node, err := path.FilterFile(r.tree)
	if err != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
