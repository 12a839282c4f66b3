package main

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/telemetry"
	"github.com/lovagereach/lovagereach/internal/ingress"
	"github.com/lovagereach/lovagereach/internal/process"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/platform"
)

const (
	// maxConcurrentLoads is the maximum number of runners that load weights
	// concurrently in a small fleet. Beyond two to three concurrent loads, the
	// weight store slows each of them down.
	maxConcurrentLoads = 3
	// diskRetryDelay is the delay after a disk failure before a control host reads
	// the data folder again. A full or faulty disk may stay so for seconds.
	diskRetryDelay = 500 * time.Millisecond
)

func runControl(ctx context.Context, env *process.Env, s *platform.Settings) error {
	operators, err := net.Listen("tcp", s.Operators)
	if err != nil {
		return errors.Join(process.ErrUsage, eris.Wrap(err, "operators: listen"))
	}
	directory, err := net.Listen("tcp", s.Directory)
	if err != nil {
		return errors.Join(process.ErrUsage, eris.Wrap(err, "directory: listen"))
	}
	c := &controlHost{env: env, settings: s, guard: ingress.New(s.Resources())}
	dump := telemetry.NewRegistry()
	dump.Register("control", c.dump)
	metrics.RegisterSet(c.guard.Metrics())
	telemetryServer, err := listenTelemetry(s, dump, c.ready, c.guard)
	if err != nil {
		return err
	}
	env.Log.Info("started", "role", "control", "name", s.Name, "host", s.Host, "bootstrap", s.Bootstrap)
	seeds := s.SeedHosts()
	c.seeds.Store(&seeds)
	operatorsServer := platform.NewOperators(c.current.Load, s.Operators, env.Log)
	operators = c.guard.Protect(operatorsServer, operators, ingress.ShareOperators, nil)
	directoryServer := platform.NewDirectory(c.addresses)
	directory = c.guard.Protect(directoryServer, directory, ingress.ShareDirectory, nil)
	tasks, ctx := errgroup.WithContext(ctx)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	tasks.Go(func() error { return serve(operatorsServer, operators) })
	tasks.Go(func() error { return serve(directoryServer, directory) })
	tasks.Go(func() error { runTelemetry(ctx, env, telemetryServer); return nil })
	tasks.Go(func() error { watchSettings(ctx, env, c.setSeeds); return nil })
	tasks.Go(func() error {
		defer stop()
		err := c.run(ctx)
		_ = operatorsServer.Close()
		_ = directoryServer.Close()
		env.Log.Info("stopped", "err", err)
		return err
	})
	return tasks.Wait()
}

// controlHost runs a steward and replaces it by a new one after a disk failure.
// Which of the last writes reached the disk is then unknown, and the new steward
// recovers the state from the data folder as it does after a crash. The listeners
// stay open meanwhile and answer that the host is starting.
type controlHost struct {
	env      *process.Env
	settings *platform.Settings
	guard    *ingress.Guard
	seeds    atomic.Pointer[[]ident.Host]
	current  atomic.Pointer[steward.Steward]
}

// dump returns the state for operators, nil while the data folder is read again.
func (c *controlHost) dump() any {
	if s := c.current.Load(); s != nil {
		return s.Dump()
	}
	return nil
}

// addresses lists the entries for callers, none while the data folder is read.
func (c *controlHost) addresses(dataCentre string, limit int) []string {
	if s := c.current.Load(); s != nil {
		return s.Addresses(dataCentre, limit)
	}
	return nil
}

// ready returns an error while this host knows no leader and can't serve requests.
func (c *controlHost) ready() error {
	if s := c.current.Load(); s == nil || s.Leader() == "" {
		return eris.New("no leader is known here")
	}
	return nil
}

func (c *controlHost) setSeeds(seeds []ident.Host) {
	c.seeds.Store(&seeds)
	if s := c.current.Load(); s != nil {
		s.SetSeeds(seeds)
	}
}

func (c *controlHost) run(ctx context.Context) error {
	for {
		err := c.runSteward(ctx)
		if err == nil || !isDiskFailure(err) {
			return err
		}
		c.env.Log.Error("disk failed; reading the data folder again", "err", err)
		select {
		case <-c.env.Drain:
			return nil
		default:
		}
		if !wait.For(ctx, diskRetryDelay) {
			return nil
		}
	}
}

// isDiskFailure reports whether err is a disk failure, which is retried; other
// errors, such as settings that can't work, end the process.
func isDiskFailure(err error) bool {
	return errors.Is(err, steward.ErrDisk)
}

func (c *controlHost) runSteward(ctx context.Context) error {
	s := c.settings
	peers, err := net.Listen("tcp", s.PeerAddress())
	if err != nil {
		return eris.Wrap(err, "peers: listen")
	}
	management := platform.NewManagement()
	host, err := steward.New(steward.Options{
		Self: ident.Host(s.Host), DataCentre: s.DataCentre, PeerPort: s.PeerPorts[0], Listener: peers, Guard: c.guard,
		Seeds: *c.seeds.Load(), Bootstrap: s.Bootstrap, Tolerated: s.ToleratedDisks, CatchUp: s.CatchUp(),
		Cluster: cluster, Key: []byte(peerKey), Data: s.Data,
		MaxConcurrentLoads: maxConcurrentLoads, VersionTime: s.VersionTime(), HolderLease: s.HolderLease(),
		AnnounceEvery: s.AnnounceEvery(), Handover: s.Load.Handover,
		DataCentres: slices.Sorted(maps.Keys(s.DataCentres)),
		Stores:      management, Runners: management, Log: c.env.Log,
	})
	if err != nil {
		return err
	}
	c.current.Store(host)
	defer c.current.Store(nil)
	for _, set := range host.Metrics() {
		metrics.RegisterSet(set)
		defer metrics.UnregisterSet(set, true)
	}
	return host.Run(ctx, c.env.Drain)
}
