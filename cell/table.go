// Package cell divides upstreams and kept prompts among entries.
//
// A cell is a shard of one model in one data centre, with about 100 upstreams. Each cell is
// owned by a few entries, chosen by rendezvous hashing over the members: a membership change
// moves only the cells of the member that joined or left, and every entry computes the same
// owners from the same members. Within a cell, the first block of a prompt selects its home,
// the entry that holds the prompt's part of the directory. Entries that don't own a cell
// keep one Summary of it.
package cell

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagereach/lovagereach/ident"
)

// Defaults of Options.
const (
	// DefaultOwners is how many entries own a cell, so that two may fail at the same time.
	DefaultOwners = 3
	// UpstreamsPerCell is the number of upstreams above which a cell is sharded.
	UpstreamsPerCell = 100
	// MaxMembers is the maximum number of members of a Table.
	MaxMembers = 4096
	// maxCached is the maximum number of cells whose owners a Table caches.
	maxCached = 4096
)

// ErrTooManyMembers is returned for more members than MaxMembers.
var ErrTooManyMembers = errors.New("cell: too many members")

// Member is an entry that may own cells.
type Member struct {
	Host       ident.Host
	DataCentre ident.DataCentre
}

// Options configure a Table.
type Options struct {
	// Owners is how many entries own each cell; zero selects DefaultOwners. With Owners
	// members or fewer, all of them own every cell.
	Owners int
}

// Table computes owners and homes from the current members. It is not safe for concurrent
// use.
type Table struct {
	owners  int
	members []member
	cached  map[ident.Cell][]ident.Host
}

// member is a Member with the hash of its host.
type member struct {
	Member
	hash uint64
}

// NewTable returns a Table without members.
func NewTable(options Options) *Table {
	owners := options.Owners
	if owners <= 0 {
		owners = DefaultOwners
	}
	return &Table{owners: owners, cached: make(map[ident.Cell][]ident.Host)}
}

// SetMembers replaces the members. It returns an error if there are more than MaxMembers or
// a host is listed twice.
func (t *Table) SetMembers(members []Member) error {
	if len(members) > MaxMembers {
		return fmt.Errorf("%w: %d", ErrTooManyMembers, len(members))
	}
	next := make([]member, 0, len(members))
	seen := make(map[ident.Host]bool, len(members))
	for _, m := range members {
		if seen[m.Host] {
			return fmt.Errorf("cell: member %q is listed twice", m.Host)
		}
		seen[m.Host] = true
		next = append(next, member{Member: m, hash: xxhash.Sum64String(string(m.Host))})
	}
	t.members = next
	clear(t.cached)
	return nil
}

// Owners returns the hosts that own a cell, most preferred first. Members in the cell's own
// data centre come before others, because the cell's upstreams fail together with their data
// centre. The caller must not modify the result.
func (t *Table) Owners(c ident.Cell) []ident.Host {
	if hosts, ok := t.cached[c]; ok {
		return hosts
	}
	if len(t.cached) >= maxCached {
		clear(t.cached)
	}
	hosts := t.choose(c)
	t.cached[c] = hosts
	return hosts
}

// choose computes the owners of a cell.
func (t *Table) choose(c ident.Cell) []ident.Host {
	type ranked struct {
		host   ident.Host
		remote bool
		score  uint64
	}
	key := hashCell(c)
	all := make([]ranked, 0, len(t.members))
	for _, m := range t.members {
		all = append(all, ranked{m.Host, m.DataCentre != c.DataCentre, score(m.hash, key)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.remote != b.remote {
			if a.remote {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host))
	})
	hosts := make([]ident.Host, 0, t.owners)
	for _, r := range all[:min(t.owners, len(all))] {
		hosts = append(hosts, r.host)
	}
	return hosts
}

// Owns reports whether host is one of the owners of a cell.
func (t *Table) Owns(host ident.Host, c ident.Cell) bool {
	return slices.Contains(t.Owners(c), host)
}

// Home returns the owner that holds the directory part of a prompt, which is identified by
// the hash of its first block. It returns false if the cell has no owner.
func (t *Table) Home(c ident.Cell, firstBlock uint64) (ident.Host, bool) {
	var best ident.Host
	var bestScore uint64
	for _, host := range t.Owners(c) {
		s := score(xxhash.Sum64String(string(host)), firstBlock)
		if best == "" || s > bestScore {
			best, bestScore = host, s
		}
	}
	return best, best != ""
}
