// Package controlhost puts a control process together: the data folder, the
// peer connections, the replicated groups, configuration, leases, orders and
// the at-most-once ledger, and the operators' listener. Both lovage-control and
// lovage-dev run it.
package controlhost

import (
	"cmp"
	"errors"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/peer"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quorum"
)

// maxCommandBytes bounds one change of the configuration. It stays below the
// frame bound of the peer connections.
const maxCommandBytes = 3 << 20

// DefaultStopTimeout bounds the handing over of leadership at a graceful stop.
const DefaultStopTimeout = 5 * time.Second

// Options configure a Host. Zero values take defaults where one is named.
type Options struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	// Incarnation tells this run's connections from those of others; it has no
	// order. Zero takes a new one.
	Incarnation ident.Incarnation
	// Cluster names the deployment; processes of another one are refused.
	Cluster string
	// Data is the folder of the replicated state.
	Data string
	// PeerListener is the listener for the other processes.
	PeerListener net.Listener
	// OperatorListener is the listener for operators; nil for none.
	OperatorListener net.Listener
	// OperatorsTLS are the operators' listener's certificate and key files.
	OperatorsTLS *CertificateFiles
	// TelemetryAddress is the address of the listener for metrics and dumps; empty
	// for none.
	TelemetryAddress string
	// ControlAddresses gives the peer addresses of all control hosts, this one's too.
	ControlAddresses map[ident.Host]string
	// OperatorURLs are where operators reach the control hosts.
	OperatorURLs map[ident.Host]string
	// OperatorTokens name the operators by the digest of their token.
	OperatorTokens map[config.TokenDigest]string
	// LedgerGroups is the number of groups of the at-most-once ledger. Zero
	// means config.DefaultLedgerShards.
	LedgerGroups int
	// PeerKey authenticates the processes to one another when TLS is not set.
	PeerKey []byte
	// TLS are the certificates by which processes authenticate; nil for PeerKey.
	TLS    *peer.TLSFiles
	Quorum quorum.Options
	// StopTimeout bounds a graceful stop. Zero means DefaultStopTimeout.
	StopTimeout time.Duration
	Log         *log.Logger
}

// CertificateFiles name PEM files.
type CertificateFiles struct {
	Certificate string
	Key         string
}

// Validate reports the first option that cannot work.
func (o Options) Validate() error {
	switch {
	case o.Host == "" || o.DataCentre == "" || o.Cluster == "":
		return errors.New("controlhost: host, data centre and cluster are required")
	case o.Data == "":
		return errors.New("controlhost: a data folder is required")
	case o.PeerListener == nil:
		return errors.New("controlhost: a listener for peers is required")
	case o.ControlAddresses[o.Host] == "":
		return errors.New("controlhost: control: must list this host itself")
	case o.LedgerGroups < 0 || o.LedgerGroups > config.MaxLedgerShards:
		return errors.New("controlhost: ledger groups: out of range")
	case o.OperatorListener != nil && len(o.OperatorTokens) == 0:
		return errors.New("controlhost: operators: the listener needs at least one operator's token digest")
	case o.Log == nil:
		return errors.New("controlhost: no log")
	}
	return nil
}

func (o Options) withDefaults() Options {
	o.LedgerGroups = cmp.Or(o.LedgerGroups, config.DefaultLedgerShards)
	o.StopTimeout = cmp.Or(o.StopTimeout, DefaultStopTimeout)
	o.Quorum.MaxCommandBytes = cmp.Or(o.Quorum.MaxCommandBytes, maxCommandBytes)
	if o.Incarnation == 0 {
		o.Incarnation = peer.NewIncarnation()
	}
	return o
}

// hosts lists the control hosts in order.
func (o Options) hosts() []ident.Host {
	return slices.Sorted(maps.Keys(o.ControlAddresses))
}

// groups lists the replicated groups.
func (o Options) groups() []port.GroupID {
	ids := []port.GroupID{port.GroupConfig}
	for shard := range o.LedgerGroups {
		ids = append(ids, port.GroupConfig+1+port.GroupID(shard))
	}
	return ids
}
