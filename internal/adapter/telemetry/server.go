package telemetry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/ingress"
)

// Limits of the listener.
const (
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = 60 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
	// shutdownTimeout is for a scrape under way. It counts at the end of the time that a process has to stop.
	shutdownTimeout = 300 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	// Address is the IP address and port to listen on; port 0 selects a free port.
	Address string
	// Dump serves /debug/dump; the path isn't served if it is nil.
	Dump *Registry
	// Guard bounds what clients take, nil for no bound.
	Guard *ingress.Guard
	// Ready is called for /readyz. It returns nil if the process is ready, otherwise
	// the reason why it isn't.
	Ready func() error
}

// Server is the telemetry listener of a process.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen opens the listener.
func Listen(opts Options) (*Server, error) {
	listener, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "telemetry: listen on %s", opts.Address)
	}
	server := &http.Server{
		Handler:           Handler(opts),
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return &Server{listener: opts.Guard.Protect(server, listener, ingress.ShareProbes, nil), server: server}, nil
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves requests until ctx is done, and then shuts the server down.
func (s *Server) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.server.Serve(s.listener) }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "telemetry: serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.server.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrap(err, "telemetry: shut down")
	}
	return s.server.Close()
}

// Handler returns the HTTP handler of the telemetry paths.
func Handler(opts Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if opts.Ready == nil {
			writeText(w, http.StatusOK, "ok")
			return
		}
		if err := opts.Ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		writeText(w, http.StatusOK, "ok")
	})
	if opts.Dump != nil {
		mux.Handle("GET /debug/dump", opts.Dump)
	}
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	return mux
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_, _ = w.Write([]byte(text + "\n"))
}
