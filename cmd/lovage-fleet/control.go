package main

import (
	"context"
	"errors"
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/process"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/platform"
)

// loadsAtOnce is how many runners load weights at the same time at most in a
// small fleet: beyond two to three, the weight store makes each load take
// longer.
const loadsAtOnce = 3

func runControl(ctx context.Context, env *process.Env, s *platform.Settings) error {
	var listeners []net.Listener
	for _, address := range []string{s.PeerAddress(), s.Operators, s.Directory} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Join(process.ErrUsage, eris.Wrapf(err, "listen on %s", address))
		}
		listeners = append(listeners, listener)
	}
	management := platform.NewManagement()
	host, err := steward.New(steward.Options{
		Self: ident.Host(s.Host), DataCentre: s.DataCentre, PeerPort: s.PeerPorts[0], Listener: listeners[0],
		Seeds: s.SeedHosts(), Bootstrap: s.Bootstrap, Tolerated: s.ToleratedDisks,
		Cluster: cluster, Key: []byte(peerKey), Data: s.Data,
		LoadsAtOnce: loadsAtOnce, VersionTime: s.VersionTime(), HolderLease: s.HolderLease(),
		Stores: management, Runners: management, Log: env.Log,
	})
	if err != nil {
		return err
	}
	env.Log.Info("started", "role", "control", "name", s.Name, "host", s.Host, "bootstrap", s.Bootstrap)
	operators := platform.NewOperators(host, s.Operators, env.Log)
	directory := platform.NewDirectory(host)
	tasks, ctx := errgroup.WithContext(ctx)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	tasks.Go(func() error { return serve(operators, listeners[1]) })
	tasks.Go(func() error { return serve(directory, listeners[2]) })
	tasks.Go(func() error { watchSettings(ctx, env, host.SetSeeds); return nil })
	tasks.Go(func() error {
		defer stop()
		err := host.Run(ctx, env.Drain)
		_ = operators.Close()
		_ = directory.Close()
		env.Log.Info("stopped", "err", err)
		return err
	})
	return tasks.Wait()
}
