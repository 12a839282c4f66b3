// Package entryhost assembles an entry process: the listeners for callers,
// upstreams, peers and operators, the clients of the control hosts and the
// ledger, and the pipeline of package entry. It is used by lovage-entry and
// lovage-dev.
package entryhost

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/callers"
	"github.com/lovagereach/lovagereach/internal/adapter/peer"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
)

// Listeners are the open listeners of an entry process.
type Listeners struct {
	Callers  net.Listener
	Announce net.Listener
	Peer     net.Listener
}

// Close closes the listeners that are set.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Announce, l.Peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Options configure a Host. Zero durations take the defaults of the packages
// that use them.
type Options struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	// Incarnation distinguishes this run's connections from those of other
	// runs. It has no order. Zero generates a new one.
	Incarnation ident.Incarnation
	// Cluster is the name of the deployment. Processes of other deployments are
	// refused.
	Cluster   string
	Listeners Listeners
	// Operators is the listen address of the operators' listener.
	Operators string
	// Control maps control hosts to their peer addresses.
	Control map[ident.Host]string
	// PeerKey authenticates the processes of the deployment to each other if
	// TLS is not set.
	PeerKey []byte
	TLS     *peer.TLSFiles
	// BlockKey is the secret key of block identifiers.
	BlockKey prefix.Key
	Callers  callers.Options
	// Keep holds the bounds and intervals of kept prompts.
	Keep keep.Options
	// KeepAddress is how long callers may use an address answer.
	KeepAddress time.Duration
	// TokenGap is the maximum time without data from an engine, before and
	// between tokens; comments of the event stream count as data.
	TokenGap time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	Log          *log.Logger
}

// DefaultDrainTimeout is the default of Options.DrainTimeout.
const DefaultDrainTimeout = 10 * time.Minute

// Validate returns an error for the first option that is missing or invalid.
func (o Options) Validate() error {
	switch {
	case o.Host == "" || o.DataCentre == "" || o.Cluster == "":
		return errors.New("entryhost: host, data centre and cluster are required")
	case o.Listeners.Callers == nil || o.Listeners.Announce == nil || o.Listeners.Peer == nil:
		return errors.New("entryhost: listeners for callers, upstreams and peers are required")
	case len(o.Control) == 0:
		return errors.New("entryhost: no control hosts")
	case o.Log == nil:
		return errors.New("entryhost: no log")
	case o.DrainTimeout < 0 || o.KeepAddress < 0 || o.TokenGap < 0:
		return errors.New("entryhost: times can't be negative")
	}
	if err := o.Callers.Validate(); err != nil {
		return fmt.Errorf("entryhost: %w", err)
	}
	return nil
}
