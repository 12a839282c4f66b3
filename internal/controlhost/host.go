package controlhost

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/intake"
	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/adapter/engine"
	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/internal/adapter/peer"
	"github.com/lovagereach/lovagereach/internal/adapter/telemetry"
	"github.com/lovagereach/lovagereach/internal/boottime"
	"github.com/lovagereach/lovagereach/internal/control"
	"github.com/lovagereach/lovagereach/internal/ingress"
	"github.com/lovagereach/lovagereach/internal/ledger"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/replica"
	"github.com/lovagereach/lovagereach/once"
)

// roleControl is the peer role of control hosts.
const roleControl = "control"

// Host is one control host process.
type Host struct {
	options   Options
	transport *peer.Transport
	folder    *disk.Folder
	manager   *replica.Manager
	config    *control.Machine
	ledgers   map[port.GroupID]*ledger.Machine
	replicas  map[port.GroupID]*deferredReplica
	server    *control.Server
	orderer   *control.Orderer
	// ledger serves operators' audit queries.
	ledger    *ledger.Client
	operators *http.Server
	telemetry *telemetry.Server
	// guard bounds what clients take at all listeners.
	guard *ingress.Guard
}

// New assembles a Host and opens its data folder; Run serves.
func New(options Options) (*Host, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	h := &Host{
		options:  options.withDefaults(),
		config:   control.NewMachine(),
		ledgers:  make(map[port.GroupID]*ledger.Machine),
		replicas: make(map[port.GroupID]*deferredReplica),
		guard:    ingress.New(intake.Resources{}),
	}
	for _, build := range []func() error{h.buildPeers, h.buildGroups, h.buildControl, h.buildAudit, h.buildListeners} {
		if err := build(); err != nil {
			return nil, errors.Join(err, h.closeFolder())
		}
	}
	return h, nil
}

func (h *Host) buildPeers() error {
	o := h.options
	var err error
	h.transport, err = peer.New(peer.Options{
		Cluster: o.Cluster,
		Self:    port.Peer{Host: o.Host, DataCentre: o.DataCentre, Incarnation: o.Incarnation, Role: roleControl},
		Key:     o.PeerKey,
		TLS:     o.TLS,
		Guard:   h.guard,
		Log:     o.Log,
	})
	return eris.Wrap(err, "control: peers")
}

func (h *Host) buildGroups() error {
	o := h.options
	files, err := disk.NewFS(o.Data)
	if err != nil {
		return err
	}
	if h.folder, err = disk.Open(disk.Options{FS: files, Cluster: o.Cluster, Host: o.Host}); err != nil {
		return eris.Wrapf(err, "control: data folder %s", o.Data)
	}
	o.Quorum.NoLeaseReads = o.Quorum.NoLeaseReads || !boottime.CountsSuspension()
	h.manager, err = replica.New(replica.Options{
		Self:     o.Host,
		Storage:  h.folder,
		Peers:    h.transport,
		Registry: h.transport,
		Address:  addressOf(o.ControlAddresses),
		Quorum:   o.Quorum,
		Clock:    boottime.Now,
		Log:      o.Log,
	})
	if err != nil {
		return err
	}
	for _, id := range o.groups() {
		h.replicas[id] = &deferredReplica{group: id, self: o.Host}
		if id != port.GroupConfig {
			h.ledgers[id] = ledger.NewMachine()
		}
	}
	return nil
}

func addressOf(addresses map[ident.Host]string) func(ident.Host) string {
	return func(host ident.Host) string { return addresses[host] }
}

func (h *Host) machine(id port.GroupID) port.StateMachine {
	if id == port.GroupConfig {
		return h.config
	}
	return h.ledgers[id]
}

func (h *Host) buildControl() error {
	o := h.options
	h.server = control.NewServer(control.Options{
		Replica:         h.replicas[port.GroupConfig],
		Machine:         h.config,
		Addresses:       o.ControlAddresses,
		LedgerGroups:    o.LedgerGroups,
		OnEntryReplaced: h.entryReplaced,
		MaxCommandBytes: o.Quorum.MaxCommandBytes,
		Log:             o.Log,
	})
	h.server.Register(h.transport)
	groups := make(map[port.GroupID]ledger.Group)
	for id, machine := range h.ledgers {
		groups[id] = ledger.Group{Replica: h.replicas[id], Machine: machine}
	}
	ledger.NewServer(groups, time.Now).Register(h.transport)
	h.transport.Handle(methodMembers, port.PeerHandlerFunc(h.handleMembers))
	engines := engine.Options{Transport: httpsend.NoRetryTransport(), Counters: &engine.Counters{}}
	h.orderer = control.NewOrderer(control.OrderOptions{
		Server: h.server,
		Dial:   func(address string) (port.Engine, error) { return engine.New(address, engines), nil },
		Clock:  boottime.Now,
		Log:    o.Log,
	})
	return nil
}

func (h *Host) buildAudit() error {
	var err error
	h.ledger, err = ledger.NewClient(h.transport, ledger.Options{
		Self:    func() once.Owner { return once.Owner{Host: h.options.Host} },
		Control: h.options.ControlAddresses,
		Shards:  func() once.Shards { return once.Shards{uint32(max(1, h.config.Current().LedgerShards()))} },
		Now:     time.Now,
	})
	return eris.Wrap(err, "control: ledger client")
}

// Server returns the configuration server.
func (h *Host) Server() *control.Server { return h.server }

// Orders returns the orderer's status.
func (h *Host) Orders() control.OrderStatus { return h.orderer.Status() }

// PeerAddress returns the address of the listener for peers.
func (h *Host) PeerAddress() string { return h.options.PeerListener.Addr().String() }

// Name returns the host's name.
func (h *Host) Name() string { return string(h.options.Host) }

// Run serves until ctx ends or a graceful stop is complete. Closing drain starts a
// graceful stop, which first transfers leadership to other hosts. It can be called
// once: it closes the listeners and the data folder.
func (h *Host) Run(ctx context.Context, drain <-chan struct{}) error {
	for _, set := range h.metricSets() {
		metrics.RegisterSet(set)
		defer metrics.UnregisterSet(set, false)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.transport.Serve(h.options.PeerListener) })
	group.Go(func() error { h.manager.Run(ctx); return nil })
	group.Go(func() error { return h.openAndRun(ctx) })
	group.Go(func() error { return h.serveOperators() })
	if h.telemetry != nil {
		group.Go(func() error { return h.telemetry.Run(ctx) })
	}
	group.Go(func() error {
		select {
		case <-drain:
			h.transferLeadership(ctx)
			stop()
		case <-ctx.Done():
		}
		h.closeListeners()
		return nil
	})
	return errors.Join(group.Wait(), h.closeFolder())
}

func (h *Host) metricSets() []*metrics.Set {
	return []*metrics.Set{h.transport.Metrics(), h.folder.Metrics(), h.manager.Metrics(), h.server.Metrics(), h.guard.Metrics()}
}

// openAndRun opens the groups and then runs the parts that act while this host leads
// a group.
func (h *Host) openAndRun(ctx context.Context) error {
	if err := h.openGroups(ctx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.server.Run(ctx) })
	group.Go(func() error { return h.orderer.Run(ctx) })
	group.Go(func() error { h.completeFormation(ctx); return nil })
	return group.Wait()
}

// transferLeadership shuts down the operators' listener and transfers the leadership
// of all groups, so that the stop causes no election.
func (h *Host) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.options.StopTimeout)
	defer cancel()
	if h.operators != nil {
		if err := h.operators.Shutdown(ctx); err != nil {
			h.options.Log.Warn("operators' listener: graceful shutdown failed", "err", err)
		}
	}
	h.manager.Stop(ctx)
}

func (h *Host) closeFolder() error {
	if h.folder == nil {
		return nil
	}
	return h.folder.Close()
}
