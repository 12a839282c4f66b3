package member

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Defaults of RegistryOptions.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultMaxChildren = 1024
)

// RegistryOptions configure a Registry.
type RegistryOptions struct {
	// Timeout is the time without a heartbeat after which a child is down.
	Timeout time.Duration
	// MaxChildren bounds the children, including those that are down.
	MaxChildren int
}

// Validate returns an error that names the first option that is not above zero.
func (o RegistryOptions) Validate() error {
	if o.Timeout <= 0 {
		return errors.New("member: Timeout must be above zero")
	}
	if o.MaxChildren <= 0 {
		return errors.New("member: MaxChildren must be above zero")
	}
	return nil
}

// Verdict is a registry's answer to a heartbeat.
type Verdict uint8

// The verdicts on a heartbeat.
const (
	// VerdictAccepted means that the sender is a member until Timeout has
	// passed without another heartbeat.
	VerdictAccepted Verdict = iota + 1
	// VerdictStale means that a later incarnation or session is known, or that
	// this session has been marked down. The sender must attach again.
	VerdictStale
	// VerdictFull means that the parent has no capacity for another child.
	VerdictFull
	// VerdictUnknown means that the parent has no claim for the sender of a
	// short heartbeat. The sender must send its claim.
	VerdictUnknown
)

// String returns the name used in logs.
func (v Verdict) String() string {
	switch v {
	case VerdictAccepted:
		return "accepted"
	case VerdictStale:
		return "stale"
	case VerdictFull:
		return "full"
	case VerdictUnknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Registry is a parent's table of the processes attached to it, its children. It is
// not safe for concurrent use.
type Registry struct {
	opts     RegistryOptions
	children map[ident.Host]*child
	// changes holds the latest changed claim of each host until the next call
	// of Changes.
	changes map[ident.Host]Member
}

type child struct {
	member   Member
	lastSeen time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(opts RegistryOptions) (*Registry, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	registry := &Registry{
		opts:     opts,
		children: make(map[ident.Host]*child),
		changes:  make(map[ident.Host]Member),
	}
	return registry, nil
}

// Heartbeat applies a heartbeat. The State of m is the state that the sender
// reports: alive, draining, or down when it leaves permanently.
func (r *Registry) Heartbeat(now time.Time, m Member) Verdict {
	known, exists := r.children[m.Host]
	if !exists {
		return r.attach(now, m)
	}
	if m.Stamp == known.member.Stamp && m.State == known.member.State && m.State != StateDown {
		known.lastSeen = now
		return VerdictAccepted
	}
	// A claim that does not supersede the known one comes from an earlier
	// incarnation or session, or from a session already reported as down. If it
	// were accepted, callers would again get the address of a dead process.
	if !m.supersedes(known.member) {
		return VerdictStale
	}
	known.member = m
	known.lastSeen = now
	r.changes[m.Host] = m
	return VerdictAccepted
}

// ShortHeartbeat applies a short heartbeat. It has only the host, stamp and state
// of a process whose claim the parent already has.
func (r *Registry) ShortHeartbeat(now time.Time, host ident.Host, stamp Stamp, state State) Verdict {
	known, exists := r.children[host]
	if !exists || known.member.Stamp.Compare(stamp) < 0 {
		return VerdictUnknown
	}
	claim := known.member
	claim.Stamp = stamp
	claim.State = state
	return r.Heartbeat(now, claim)
}

func (r *Registry) attach(now time.Time, m Member) Verdict {
	if len(r.children) >= r.opts.MaxChildren && !r.evictDown() {
		return VerdictFull
	}
	r.children[m.Host] = &child{member: m, lastSeen: now}
	r.changes[m.Host] = m
	return VerdictAccepted
}

// evictDown removes the child that has been down longest. It returns false if none
// is down.
func (r *Registry) evictDown() bool {
	var oldest *child
	for _, c := range r.children {
		if c.member.State != StateDown {
			continue
		}
		if oldest == nil || c.lastSeen.Before(oldest.lastSeen) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(r.children, oldest.member.Host)
	return true
}

// Tick marks children whose last heartbeat is older than Timeout as down.
func (r *Registry) Tick(now time.Time) {
	for _, c := range r.children {
		if c.member.State == StateDown || now.Sub(c.lastSeen) <= r.opts.Timeout {
			continue
		}
		c.member.State = StateDown
		r.changes[c.member.Host] = c.member
	}
}

// Changes returns the claims that have changed since the last call, ordered by
// host.
func (r *Registry) Changes() []Member {
	if len(r.changes) == 0 {
		return nil
	}
	claims := make([]Member, 0, len(r.changes))
	for _, m := range r.changes {
		claims = append(claims, m)
	}
	clear(r.changes)
	SortByHost(claims)
	return claims
}

// All returns all claims, ordered by host. A parent sends them to a new root.
func (r *Registry) All() []Member {
	claims := make([]Member, 0, len(r.children))
	for _, c := range r.children {
		claims = append(claims, c.member)
	}
	SortByHost(claims)
	return claims
}

// Live returns the number of children that are not down.
func (r *Registry) Live() int {
	live := 0
	for _, c := range r.children {
		if c.member.State != StateDown {
			live++
		}
	}
	return live
}

// SortByHost sorts claims by host, so that equal sets give equal messages.
func SortByHost(claims []Member) {
	slices.SortFunc(claims, func(a, b Member) int {
		return strings.Compare(string(a.Host), string(b.Host))
	})
}

// Validate returns an error that names the first field of a claim that is missing
// or out of range.
func (m Member) Validate() error {
	switch {
	case m.Host == "":
		return errors.New("member: Host is empty")
	case m.DataCentre == "":
		return fmt.Errorf("member %s: DataCentre is empty", m.Host)
	case m.Role < RoleEntry || m.Role > RoleRelay:
		return fmt.Errorf("member %s: Role %d is not known", m.Host, m.Role)
	case m.Stamp.Incarnation == 0:
		return fmt.Errorf("member %s: Incarnation is zero", m.Host)
	case m.State < StateAlive || m.State > StateDown:
		return fmt.Errorf("member %s: State %d is not known", m.Host, m.State)
	default:
		return nil
	}
}
