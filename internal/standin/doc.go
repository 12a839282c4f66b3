// Package standin provides fakes of the external systems for development and
// tests: model engines, store hosts, plain services and the weight store. They
// serve the HTTP interface of package upstreamapi, announce themselves as real
// upstreams do, and fail on demand; see Faults.
package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/ident"
)

// Paths that every stand-in serves in addition to those of its kind.
const (
	PathFaults = "/faults"
	PathStats  = "/stats"
)

// Upstream is a stand-in that announces itself to entries.
type Upstream interface {
	// Handler returns the handler of the HTTP interface, including PathFaults
	// and PathStats.
	Handler() http.Handler
	// SetAddress sets the IP and port to announce. It must be called before
	// Run.
	SetAddress(address string)
	// Run sends announcements and reports until ctx is done.
	Run(ctx context.Context) error
	// Leave announces that the upstream accepts no new work.
	Leave()
	// Faults returns the faults of the stand-in.
	Faults() *Faults
}

// Time limits of the HTTP servers of stand-ins.
const (
	readHeaderTimeout = 5 * time.Second
	shutdownGrace     = 2 * time.Second
)

// Serve serves u on listener and announces it until ctx is done. Requests in
// progress then have shutdownGrace to complete before they are aborted.
func Serve(ctx context.Context, listener net.Listener, u Upstream) error {
	u.SetAddress(listener.Addr().String())
	server := &http.Server{Handler: u.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return u.Run(ctx) })
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return eris.Wrap(err, "stand-in server")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
		defer cancel()
		if server.Shutdown(grace) != nil {
			return server.Close()
		}
		return nil
	})
	return group.Wait()
}

// NewIncarnation returns a number that increases with each incarnation of a
// process: now in Unix microseconds, which JSON decoders of every language
// represent exactly.
func NewIncarnation(now time.Time) ident.Incarnation {
	return ident.Incarnation(now.UnixMicro())
}
