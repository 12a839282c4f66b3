// Package controlhost assembles a control host process from the data folder, the
// peer connections, the replicated groups, configuration, leases, orders, the
// at-most-once ledger and the operators' listener. lovage-control and lovage-dev
// run it.
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

// maxCommandBytes is the maximum size of one configuration change. It is below the
// maximum frame size of the peer connections.
const maxCommandBytes = 3 << 20

// DefaultStopTimeout is the default of Options.StopTimeout.
const DefaultStopTimeout = 5 * time.Second

// Options configures a Host. A zero value takes the default if one is named.
type Options struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	// Incarnation distinguishes the connections of this run of the process from those
	// of other runs; incarnations have no order. Zero means a new one.
	Incarnation ident.Incarnation
	// Cluster is the name of the deployment; processes of other deployments are refused.
	Cluster string
	// Data is the path of the folder for the replicated state.
	Data string
	// PeerListener is the listener for peers.
	PeerListener net.Listener
	// OperatorListener is the listener for operators; nil for none.
	OperatorListener net.Listener
	// OperatorsTLS are the certificate and key files of the operators' listener; nil
	// for plain HTTP.
	OperatorsTLS *CertificateFiles
	// TelemetryAddress is the listen address for metrics and dumps; empty for none.
	TelemetryAddress string
	// ControlAddresses are the peer addresses of all control hosts, including this one.
	ControlAddresses map[ident.Host]string
	// OperatorURLs are the URLs of the control hosts' operators' listeners.
	OperatorURLs map[ident.Host]string
	// OperatorTokens are the operators' names by the digests of their tokens.
	OperatorTokens map[config.TokenDigest]string
	// LedgerGroups is the number of groups of the at-most-once ledger. Zero
	// means config.DefaultLedgerShards.
	LedgerGroups int
	// PeerKey is the shared key by which processes authenticate if TLS is nil.
	PeerKey []byte
	// TLS are the certificate files by which processes authenticate; nil to use PeerKey.
	TLS    *peer.TLSFiles
	Quorum quorum.Options
	// StopTimeout bounds the shutdown of the operators' listener and the transfer of
	// leadership at a graceful stop. Zero means DefaultStopTimeout.
	StopTimeout time.Duration
	Log         *log.Logger
}

// CertificateFiles are the paths of a certificate and its key in PEM format.
type CertificateFiles struct {
	Certificate string
	Key         string
}

// Validate returns an error for the first invalid option.
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
		return errors.New("controlhost: log: must be set")
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

// hosts returns the control hosts, sorted by name.
func (o Options) hosts() []ident.Host {
	return slices.Sorted(maps.Keys(o.ControlAddresses))
}

// groups returns the IDs of the replicated groups: the configuration group, then
// the ledger groups.
func (o Options) groups() []port.GroupID {
	ids := []port.GroupID{port.GroupConfig}
	for shard := range o.LedgerGroups {
		ids = append(ids, port.GroupConfig+1+port.GroupID(shard))
	}
	return ids
}
