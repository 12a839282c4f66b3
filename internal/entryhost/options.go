// Package entryhost puts an entry process together: the listeners for callers,
// upstreams, peers and operators, the clients of control hosts and ledger, and
// the pipeline of package entry between them. Both lovage-entry and lovage-dev
// run it.
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

// Listeners are the open listeners of one entry process.
type Listeners struct {
	Callers  net.Listener
	Announce net.Listener
	Peer     net.Listener
}

// Close closes those that are open.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Announce, l.Peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Options configure a Host. Zero times take the defaults of the packages that
// use them.
type Options struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	// Incarnation tells this run's connections from those of others; it has no
	// order. Zero takes a new one.
	Incarnation ident.Incarnation
	// Cluster names the deployment; processes of another one are refused.
	Cluster   string
	Listeners Listeners
	// Operators is the address of the operators' listener.
	Operators string
	// Control gives the peer addresses of the control hosts.
	Control map[ident.Host]string
	// PeerKey authenticates the processes of the deployment to one another
	// when TLS is not set.
	PeerKey []byte
	TLS     *peer.TLSFiles
	// BlockKey is the secret under which blocks are named.
	BlockKey prefix.Key
	Callers  callers.Options
	// Keep bounds and times what is kept of prompts.
	Keep keep.Options
	// KeepAddress is how long callers may keep an address answer.
	KeepAddress time.Duration
	// TokenGap is how long an engine's stream may stay silent.
	TokenGap time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	Log          *log.Logger
}

// DefaultDrainTimeout bounds a graceful shutdown.
const DefaultDrainTimeout = 10 * time.Minute

// Validate reports the first option that cannot work.
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
