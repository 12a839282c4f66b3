package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/peer"
	"github.com/lovagereach/lovagereach/internal/adapter/telemetry"
	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/gateway"
	"github.com/lovagereach/lovagereach/internal/ingress"
	"github.com/lovagereach/lovagereach/internal/process"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/platform"
)

const (
	// stopReserve is the part of the stop timeout that is left unused, so that
	// the process exits by itself before it is killed.
	stopReserve = 700 * time.Millisecond
	// acceptWindow is how long a leaving entry accepts further requests: most callers
	// cache an answer of the directory for 2 s. Most requests that arrive later
	// would be refused, because they might not complete before the process has to
	// exit; callers find another entry sooner if the listener is closed.
	acceptWindow = 2700 * time.Millisecond
	// answerReserve is how long before the process ends the last answers begin at the latest.
	answerReserve = 200 * time.Millisecond
)

func runEntry(ctx context.Context, env *process.Env, s *platform.Settings) error {
	callers, err := net.Listen("tcp", s.Callers)
	if err != nil {
		return errors.Join(process.ErrUsage, eris.Wrap(err, "callers: listen"))
	}
	readiness, err := net.Listen("tcp", s.Readiness)
	if err != nil {
		return errors.Join(process.ErrUsage, eris.Wrap(err, "readiness: listen"))
	}
	directory, err := listenDirectory(s)
	if err != nil {
		return err
	}
	guard := ingress.New(s.Resources())
	incarnation := peer.NewIncarnation()
	follower, err := steward.NewEntryFollower(steward.EntryOptions{
		Cluster: cluster, Key: []byte(peerKey), Host: ident.Host(s.Host), DataCentre: s.DataCentre, Incarnation: incarnation,
		Seeds: s.SeedHosts(), PeerPort: s.PeerPorts[0], ApplyWithin: s.ConfigWithin(), Log: env.Log,
	})
	if err != nil {
		return err
	}
	upstreams, peers := platform.NewUpstreams(), platform.NewPeers(s.Host)
	g, err := gateway.New(gateway.Options{
		Host: s.Host, DataCentre: string(s.DataCentre), Callers: s.Callers, Directory: directory != nil, Sender: upstreams, Peers: peers, Regions: s.DataCentres,
		Budget: gateway.BudgetLimits{Ratio: s.RetryRatio, Extra: s.RetryExtra},
		Rates:  placement.DefaultRates(), Load: s.Load.Options(), Capacity: gateway.HostCapacity{Cores: s.ProcessorShare * s.ProcessorSpeed, LinkMbps: s.LinkMbps},
		AnnounceEvery: s.AnnounceEvery(), VersionTime: s.VersionTime(),
		// The follower's clock counts suspensions of the machine.
		ConfigExpired: func(time.Time) bool { return follower.ConfigExpired(follower.Now()) },
		Origins:       follower, RequestTrial: follower.RequestTrial, Clock: follower.Now,
		Log: env.Log, Decisions: decision.New(env.Log),
	})
	if err != nil {
		return err
	}
	dump := telemetry.NewRegistry()
	dump.Register("entry", func() any { return g.Dump() })
	telemetryServer, err := listenTelemetry(s, dump, func() error { return readyError(g.Ready()) }, guard)
	if err != nil {
		return err
	}
	metrics.RegisterSet(guard.Metrics())
	metrics.RegisterSet(g.Metrics())
	metrics.RegisterSet(follower.Metrics())
	env.Log.Info("started", "role", "entry", "name", s.Name, "host", s.Host, "callers", s.Callers, "incarnation", uint64(incarnation))
	e := &entry{
		env: env, gateway: g, callers: platform.NewCallers(g, env.Log), readiness: platform.NewReadiness(g.Ready),
		directory: platform.NewDirectory(g.Addresses), stopWithin: s.StopWithin(),
	}
	tasks, ctx := errgroup.WithContext(ctx)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	tasks.Go(func() error { return e.callers.Serve(callers, guard) })
	tasks.Go(func() error {
		return serve(e.readiness, guard.Protect(e.readiness, readiness, ingress.ShareProbes, nil))
	})
	if directory != nil {
		tasks.Go(func() error {
			return serve(e.directory, guard.Protect(e.directory, directory, ingress.ShareDirectory, nil))
		})
	}
	tasks.Go(func() error { upstreams.Run(ctx); return nil })
	tasks.Go(func() error { peers.Run(ctx); return nil })
	tasks.Go(func() error {
		follower.Run(ctx, g.NextRequest, func(answer *steward.WatchAnswer, sent time.Time) {
			g.ApplyAnswer(answer, follower.Monotonic(sent))
		})
		return nil
	})
	tasks.Go(func() error { g.Report(ctx, follower.Report); return nil })
	tasks.Go(func() error { g.ProbeUpstreams(ctx); return nil })
	tasks.Go(func() error { runTelemetry(ctx, env, telemetryServer); return nil })
	tasks.Go(func() error { watchSettings(ctx, env, follower.SetSeeds); return nil })
	tasks.Go(func() error {
		defer stop()
		e.awaitStop(ctx)
		return nil
	})
	return tasks.Wait()
}

// listenDirectory opens the listener for callers that ask for the addresses of entries, nil if this
// entry has none.
func listenDirectory(s *platform.Settings) (net.Listener, error) {
	if s.Directory == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", s.Directory)
	if err != nil {
		return nil, errors.Join(process.ErrUsage, eris.Wrap(err, "directory: listen"))
	}
	return listener, nil
}

// readyError returns the reason why an entry that isn't ready accepts no callers.
func readyError(ready bool) error {
	if ready {
		return nil
	}
	return eris.New("no configuration yet, or leaving")
}

type entry struct {
	env       *process.Env
	gateway   *gateway.Gateway
	callers   *platform.Callers
	readiness *http.Server
	// directory serves callers that ask for the addresses of entries.
	directory  *http.Server
	stopWithin time.Duration
}

// awaitStop waits for the drain signal and stops gracefully: it withdraws the
// entry from the directory, closes the listener and then waits for the requests
// in progress.
func (e *entry) awaitStop(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.env.Drain:
		e.gateway.Leave(time.Now().Add(e.stopWithin - stopReserve - answerReserve))
		e.env.Log.Info("leaving", "open", e.gateway.Open())
		wait.For(ctx, min(acceptWindow, e.stopWithin/3))
	}
	bound, cancel := context.WithTimeout(context.Background(), e.stopWithin-stopReserve-min(acceptWindow, e.stopWithin/3))
	defer cancel()
	if err := e.callers.Stop(bound); err != nil {
		e.env.Log.Warn("requests in progress aborted at the stop timeout", "open", e.gateway.Open(), "err", err)
	}
	_ = e.readiness.Close()
	_ = e.directory.Close()
	e.env.Log.Info("stopped")
}

// serve runs an HTTP server until it is closed.
func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
