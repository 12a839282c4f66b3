package entryhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/intake"
	"github.com/lovagereach/lovagereach/internal/adapter/announce"
	"github.com/lovagereach/lovagereach/internal/adapter/callers"
	"github.com/lovagereach/lovagereach/internal/adapter/peer"
	"github.com/lovagereach/lovagereach/internal/audited"
	"github.com/lovagereach/lovagereach/internal/boottime"
	"github.com/lovagereach/lovagereach/internal/control/client"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/internal/ingress"
	"github.com/lovagereach/lovagereach/internal/ledger"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/member"
)

// Host is one entry process.
type Host struct {
	options          Options
	metrics          *metrics.Set
	transport        *peer.Transport
	control          *client.Client
	ledger           *ledger.Client
	entry            *entry.Entry
	audit            *audited.Stack
	callers          *http.Server
	announce         *http.Server
	operators        *http.Server
	operatorListener net.Listener
	// guard bounds what clients take at all listeners.
	guard *ingress.Guard
}

// New builds an entry process; Run serves.
func New(options Options) (*Host, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	setDefault(&options.DrainTimeout, DefaultDrainTimeout)
	setDefault(&options.Incarnation, peer.NewIncarnation())
	h := &Host{options: options, metrics: metrics.NewSet(), guard: ingress.New(intake.Resources{})}
	for _, build := range []func() error{h.buildPeers, h.buildControl, h.buildLedger, h.buildEntry, h.buildListeners} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return h, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (h *Host) buildPeers() error {
	o := h.options
	transport, err := peer.New(peer.Options{
		Cluster: o.Cluster,
		Self:    port.Peer{Host: o.Host, DataCentre: o.DataCentre, Incarnation: o.Incarnation, Role: "entry"},
		Key:     o.PeerKey,
		TLS:     o.TLS,
		Guard:   h.guard,
		Log:     o.Log,
	})
	if err != nil {
		return eris.Wrap(err, "entry: peers")
	}
	h.transport = transport
	return nil
}

func (h *Host) buildControl() error {
	o := h.options
	addresses := make([]string, 0, len(o.Control))
	for _, address := range o.Control {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	var err error
	h.control, err = client.New(client.Options{
		Peers:     h.transport,
		Self:      h.selfMember(),
		Addresses: addresses,
		Log:       o.Log,
		Clock:     boottime.Now,
		Upstreams: func() []protocol.Upstream { return reportOf(h.entry.Engines()) },
	})
	return eris.Wrap(err, "entry: control client")
}

// selfMember returns the membership record with which this entry registers at
// the control hosts.
func (h *Host) selfMember() member.Member {
	o := h.options
	return member.Member{
		Host:       o.Host,
		DataCentre: o.DataCentre,
		Role:       member.RoleEntry,
		Callers:    o.Listeners.Callers.Addr().String(),
		Announce:   o.Listeners.Announce.Addr().String(),
		Peers:      o.Listeners.Peer.Addr().String(),
		Stamp:      member.Stamp{Incarnation: o.Incarnation, Session: 1},
		State:      member.StateAlive,
	}
}

func (h *Host) buildEntry() error {
	o := h.options
	seed := uint64(o.Incarnation)
	var err error
	h.entry, err = entry.New(entry.Options{
		Host:           o.Host,
		DataCentre:     o.DataCentre,
		Incarnation:    o.Incarnation,
		Callers:        o.Listeners.Callers.Addr().String(),
		Announce:       o.Listeners.Announce.Addr().String(),
		BlockKey:       o.BlockKey,
		Control:        controlView{client: h.control, near: o.DataCentre},
		Ledger:         ledgerPort{client: h.ledger},
		Upstreams:      newUpstreamClients(o.TokenGap),
		Log:            o.Log,
		Metrics:        h.metrics,
		Random:         rand.New(rand.NewPCG(seed, seed>>32)),
		KeepAddress:    o.KeepAddress,
		SendUse:        h.sendUse,
		SendDepartures: h.sendDepartures,
		SendCrashes:    h.sendCrashes,
		Keep:           o.Keep,
	})
	h.transport.Handle(MethodUse, port.PeerHandlerFunc(h.handleUse))
	h.transport.Handle(MethodDepartures, port.PeerHandlerFunc(h.handleDepartures))
	h.transport.Handle(MethodCrashes, port.PeerHandlerFunc(h.handleCrashes))
	return eris.Wrap(err, "entry: pipeline")
}

func (h *Host) buildListeners() error {
	h.audit = audited.NewStack(h.entry, h.ledger, h.options.Host, h.control.Snapshot, h.options.Log)
	handler, err := callers.New(h.audit, h.options.Callers, h.metrics)
	if err != nil {
		return eris.Wrap(err, "entry: callers")
	}
	h.callers = handler.Server()
	h.callers.Handler = h.audit.Handler(handler)
	h.announce = announce.NewServer(h.entry, h.metrics)
	return h.buildOperators()
}

// Callers returns the address of the callers' listener.
func (h *Host) Callers() string { return h.options.Listeners.Callers.Addr().String() }

// Audit returns the numbers of accepted requests and of recorded outcomes.
func (h *Host) Audit() audit.Counts { return h.audit.Counts() }

// Entry returns the request pipeline.
func (h *Host) Entry() *entry.Entry { return h.entry }

// Run serves until ctx ends, or until the graceful shutdown that closing drain
// starts has completed.
func (h *Host) Run(ctx context.Context, drain <-chan struct{}) error {
	metrics.RegisterSet(h.metrics)
	defer metrics.UnregisterSet(h.metrics, true)
	metrics.RegisterSet(h.guard.Metrics())
	defer metrics.UnregisterSet(h.guard.Metrics(), true)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.transport.Serve(h.options.Listeners.Peer) })
	group.Go(func() error {
		return serve(h.callers, h.guard.Protect(h.callers, h.options.Listeners.Callers, ingress.ShareCallers, nil))
	})
	group.Go(func() error {
		return serve(h.announce, h.guard.Protect(h.announce, h.options.Listeners.Announce, ingress.ShareDirectory, nil))
	})
	group.Go(func() error {
		return serve(h.operators, h.guard.Protect(h.operators, h.operatorListener, ingress.ShareProbes, nil))
	})
	group.Go(func() error { return h.control.Run(ctx) })
	group.Go(func() error { h.ledger.Run(ctx); return nil })
	group.Go(func() error { h.audit.Run(ctx); return nil })
	group.Go(func() error { h.entry.Run(ctx); return nil })
	group.Go(func() error {
		select {
		case <-drain:
			h.drain(ctx)
			stop()
		case <-ctx.Done():
		}
		h.close()
		return nil
	})
	return group.Wait()
}

// drain shuts down gracefully within DrainTimeout. It stops early when ctx
// ends.
func (h *Host) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.options.DrainTimeout)
	defer cancel()
	if err := h.entry.Drain(ctx); err != nil {
		h.options.Log.Warn("drain did not complete", "err", err)
	}
	// The server may still be sending the last answers.
	if err := h.callers.Shutdown(ctx); err != nil {
		h.options.Log.Warn("callers' connections closed before the end of their requests", "err", err)
	}
	h.report(ctx)
	if err := h.control.Release(ctx); err != nil {
		h.options.Log.Warn("serving lease not released", "err", err)
	}
}

// reportTimeout bounds how long a graceful shutdown waits for the trace and the
// ledger to accept the last outcomes, in case the control group has no quorum.
const reportTimeout = 15 * time.Second

// report waits until the outcomes of the last requests are in the trace and in
// the ledger. Without it, a stop right after an answer would leave the request
// listed as open and its key as one whose owner was lost. No further outcomes
// can be added, since the callers' server has shut down.
func (h *Host) report(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	h.audit.Drain(ctx)
	h.ledger.Drain(ctx)
	if ctx.Err() != nil {
		h.options.Log.Warn("some outcomes were not recorded", "settlements", h.ledger.Pending())
	}
}

// closeTimeout bounds the closing of peer connections.
const closeTimeout = time.Second

func (h *Host) close() {
	_ = h.callers.Close()
	_ = h.announce.Close()
	_ = h.operators.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := h.transport.Close(ctx); err != nil {
		h.options.Log.Debug("closing peer connections failed", "err", err)
	}
}

// serve runs an HTTP server until it is closed.
func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "entry: listener %s", listener.Addr())
}

// Announce returns the address of the upstreams' listener.
func (h *Host) Announce() string { return h.options.Listeners.Announce.Addr().String() }

// Metric returns the value of a counter of the entry. It is meant for tests and
// demonstrations.
func (h *Host) Metric(name string) float64 {
	return float64(h.metrics.GetOrCreateCounter(name).Get())
}
