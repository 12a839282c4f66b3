package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/internal/process"
	"github.com/lovagereach/lovagereach/internal/settings"
	"github.com/lovagereach/lovagereach/internal/standin"
)

// member is one stand-in with its listener.
type member struct {
	name     string
	kind     string
	upstream standin.Upstream
	listener net.Listener
}

func run(ctx context.Context, env *process.Env, s *Settings) error {
	runs, closeRuns, err := openRunLog(s.RunLog)
	if err != nil {
		return err
	}
	defer closeRuns()
	members, err := open(s, runs)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	if s.Weights != nil {
		if err := serveWeights(ctx, group, s.Weights); err != nil {
			return err
		}
	}
	for _, m := range members {
		env.Log.Info("listening", "kind", m.kind, "upstream", m.name, "address", m.listener.Addr())
		group.Go(func() error { return standin.Serve(ctx, m.listener, m.upstream) })
	}
	group.Go(func() error {
		select {
		case <-env.Drain:
			leave(ctx, members, s.Linger.Std())
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	return group.Wait()
}

// open creates all stand-ins and their listeners. On an error it closes the
// listeners already open.
func open(s *Settings, runs *standin.RunLog) ([]member, error) {
	var members []member
	add := func(kind string, common Common, upstream standin.Upstream) error {
		listener, err := listen(common.Listen)
		if err != nil {
			return err
		}
		members = append(members, member{name: common.Name, kind: kind, upstream: upstream, listener: listener})
		return nil
	}
	var err error
	for _, engine := range s.Engines {
		err = firstError(err, add("engine", engine.Common, standin.NewEngine(s.engineOptions(engine, runs))))
	}
	for _, store := range s.Stores {
		err = firstError(err, add("store", store.Common, standin.NewStore(s.storeOptions(store))))
	}
	for _, service := range s.Services {
		err = firstError(err, add("service", service.Common, standin.NewService(s.serviceOptions(service, runs))))
	}
	if err != nil {
		for _, m := range members {
			m.listener.Close()
		}
		return nil, err
	}
	return members, nil
}

// openRunLog opens the run log at path and returns it with the function that closes
// it. An empty path yields no run log.
func openRunLog(path string) (*standin.RunLog, func(), error) {
	if path == "" {
		return nil, func() {}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, eris.Wrap(err, "run_log")
	}
	return standin.NewRunLog(file), func() { file.Close() }, nil
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func listen(address settings.Address) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	return listener, eris.Wrapf(err, "listen on %s", address)
}

// readHeaderTimeout bounds the reading of a request's header.
const readHeaderTimeout = 5 * time.Second

func serveWeights(ctx context.Context, group *errgroup.Group, s *WeightSettings) error {
	listener, err := listen(s.Listen)
	if err != nil {
		return err
	}
	weights := standin.NewWeights(standin.WeightOptions{LoadTime: s.LoadTime.Std(), FullSpeedLoads: s.FullSpeedLoads})
	server := &http.Server{Handler: weights.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return eris.Wrap(err, "weight store")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}

// leave announces the departure of all stand-ins and waits for linger, or until ctx
// ends, so that requests in progress can complete.
func leave(ctx context.Context, members []member, linger time.Duration) {
	for _, m := range members {
		m.upstream.Leave()
	}
	timer := time.NewTimer(linger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
