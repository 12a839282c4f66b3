package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/entryhost"
	"github.com/lovagereach/lovagereach/internal/standin"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
)

// cluster is the name of the deployment.
const cluster = "lovage-dev"

// keepAddress is how long callers may cache an address answer. It is short, so that
// the deployment stops quickly.
const keepAddress = time.Second

// idleDelay is how long a prompt is unused before its blocks are exported. It is
// short, so that the demonstration doesn't wait long.
const idleDelay = 200 * time.Millisecond

var dataCentres = []ident.DataCentre{"hall-north", "hall-dock"}

// deployment holds all hosts and stand-ins that run in the process.
type deployment struct {
	log      *log.Logger
	controls *controls
	entries  []*entryhost.Host
	standins *standins

	group     *errgroup.Group
	cancel    context.CancelFunc
	drainCh   chan struct{}
	drainOnce sync.Once
}

// listen opens a loopback listener; port 0 selects a free port.
func listen(port int) (net.Listener, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	return listener, eris.Wrap(err, "listen")
}

func newDeployment(s *Settings, folder string, logger *log.Logger) (*deployment, error) {
	d := &deployment{log: logger, drainCh: make(chan struct{})}
	key := make([]byte, prefix.KeySize)
	if _, err := rand.Read(key); err != nil {
		return nil, eris.Wrap(err, "peer key")
	}
	var err error
	if d.controls, err = newControls(s.Control, folder, key, logger); err != nil {
		return nil, err
	}
	if err := d.newEntries(s, key); err != nil {
		return nil, err
	}
	d.standins, err = newStandins(d.entries[0].Announce())
	return d, err
}

func (d *deployment) newEntries(s *Settings, key []byte) error {
	var opened []entryhost.Listeners
	for i := range s.Entries {
		callersPort := 0
		if s.Port > 0 {
			callersPort = s.Port + i
		}
		listeners, err := openListeners(callersPort)
		if err != nil {
			return err
		}
		opened = append(opened, listeners)
	}
	for i, listeners := range opened {
		host, err := entryhost.New(entryhost.Options{
			Host:        entryName(i),
			DataCentre:  dataCentres[i%len(dataCentres)],
			Cluster:     cluster,
			Listeners:   listeners,
			Operators:   "127.0.0.1:0",
			Control:     d.controls.peers,
			PeerKey:     key,
			BlockKey:    prefix.Key(key),
			KeepAddress: keepAddress,
			Keep:        keep.Options{IdleDelay: idleDelay},
			Log:         d.log.With("host", entryName(i)),
		})
		if err != nil {
			return err
		}
		d.entries = append(d.entries, host)
	}
	return nil
}

func entryName(i int) ident.Host { return ident.Host(fmt.Sprintf("entry-%d", i+1)) }

func openListeners(callersPort int) (entryhost.Listeners, error) {
	var out entryhost.Listeners
	var err error
	if out.Callers, err = listen(callersPort); err != nil {
		return out, err
	}
	if out.Announce, err = listen(0); err != nil {
		return out, err
	}
	out.Peer, err = listen(0)
	return out, err
}

// start starts all hosts and stand-ins, which run until stop or drain.
func (d *deployment) start(ctx context.Context) {
	ctx, d.cancel = context.WithCancel(ctx)
	d.group, ctx = errgroup.WithContext(ctx)
	d.group.Go(func() error { return d.controls.run(ctx) })
	// At a graceful shutdown the entries stop first; then d.cancel stops the
	// control hosts and stand-ins.
	entries, entriesCtx := errgroup.WithContext(ctx)
	for _, host := range d.entries {
		entries.Go(func() error { return host.Run(entriesCtx, d.drainCh) })
	}
	d.group.Go(func() error {
		defer d.cancel()
		return entries.Wait()
	})
	for i, upstream := range d.standins.all {
		d.group.Go(func() error { return standin.Serve(ctx, d.standins.listener[i], upstream) })
	}
}

// drain starts a graceful shutdown.
func (d *deployment) drain() { d.drainOnce.Do(func() { close(d.drainCh) }) }

// wait returns when all hosts and stand-ins have stopped or ctx ends.
func (d *deployment) wait(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- d.group.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return nil // forced by a second signal
	}
}

// stop stops all hosts and stand-ins without a drain.
func (d *deployment) stop() error {
	d.cancel()
	err := d.group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
