package entryhost

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/adapter/auditapi"
	"github.com/lovagereach/lovagereach/internal/adapter/telemetry"
)

// Bounds of the operators' listener.
const (
	operatorHeaderTimeout = 5 * time.Second
	operatorReadTimeout   = 10 * time.Second
	operatorWriteTimeout  = time.Minute
	operatorIdleTimeout   = time.Minute
	operatorMaxHeader     = 16 << 10
)

// buildOperators opens the operators' listener, which serves metrics, health,
// profiles, the dump, and audit queries on this entry's own requests.
func (h *Host) buildOperators() error {
	dump := telemetry.NewRegistry()
	dump.Register("entry", func() any { return h.entry.Dump() })
	dump.Register("audit", func() any { return h.audit.Counts() })
	dump.Register("control", func() any { return h.control.Status() })
	mux := http.NewServeMux()
	mux.Handle(auditapi.PathAudit, h.audit.Queries())
	mux.Handle("/", telemetry.Handler(telemetry.Options{Dump: dump, Ready: h.entry.Ready}))
	var err error
	if h.operatorListener, err = net.Listen("tcp", h.options.Operators); err != nil {
		return eris.Wrapf(err, "entry: operators' listener on %s", h.options.Operators)
	}
	h.operators = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: operatorHeaderTimeout,
		ReadTimeout:       operatorReadTimeout,
		WriteTimeout:      operatorWriteTimeout,
		IdleTimeout:       operatorIdleTimeout,
		MaxHeaderBytes:    operatorMaxHeader,
	}
	return nil
}

// Operators returns the address of the operators' listener.
func (h *Host) Operators() string { return h.operatorListener.Addr().String() }
