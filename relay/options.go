package relay

import (
	"time"

	"github.com/lovagereach/lovagereach/lease"
	"github.com/lovagereach/lovagereach/member"
)

// Defaults of ParentOptions. The lease term is short because a change waits for the lease of
// a crashed process. The root's grace is longer than a relay's: a relay may delay its
// acknowledgement while it waits for a stuck child, and must not lose its own lease, and with
// it all its children, before that child loses its lease.
const (
	DefaultTerm          = 2 * time.Second
	DefaultRelayAckGrace = time.Second
	DefaultRootAckGrace  = 3500 * time.Millisecond
	// MinTerm is the shortest lease that is granted.
	MinTerm = 200 * time.Millisecond
	// RenewEvery is the interval between a child's renewals. Three renewals may be lost
	// before a lease of DefaultTerm expires.
	RenewEvery = DefaultTerm / 4
)

// ParentOptions configure a Parent.
type ParentOptions struct {
	Lease    lease.Options
	Registry member.RegistryOptions
}

// RootOptions returns the options for the leader of the control group.
func RootOptions() ParentOptions {
	return ParentOptions{
		Lease: lease.Options{
			Term:     DefaultTerm,
			AckGrace: DefaultRootAckGrace,
		},
		Registry: member.RegistryOptions{
			Timeout:     member.DefaultTimeout,
			MaxChildren: member.DefaultMaxChildren,
		},
	}
}

// RelayOptions returns the options for a relay.
func RelayOptions() ParentOptions {
	options := RootOptions()
	options.Lease.AckGrace = DefaultRelayAckGrace
	options.Lease.NoEarlierLeases = true
	return options
}
