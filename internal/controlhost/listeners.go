package controlhost

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/adapter/auditapi"
	"github.com/lovagereach/lovagereach/internal/adapter/operators"
	"github.com/lovagereach/lovagereach/internal/adapter/telemetry"
	"github.com/lovagereach/lovagereach/internal/control"
	"github.com/lovagereach/lovagereach/internal/ingress"
)

// Limits of the operators' listener. closeTimeout bounds the closing of the peer
// transport.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = 2 * time.Minute
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
	closeTimeout      = time.Second
)

func (h *Host) buildListeners() error {
	dump := telemetry.NewRegistry()
	dump.Register("control", func() any { return h.server.Status() })
	dump.Register("orders", func() any { return h.orderer.Status() })
	dump.Register("groups", h.groupStatus)
	if h.options.TelemetryAddress != "" {
		var err error
		h.telemetry, err = telemetry.Listen(telemetry.Options{Address: h.options.TelemetryAddress, Dump: dump, Ready: h.server.Ready, Guard: h.guard})
		if err != nil {
			return err
		}
	}
	if h.options.OperatorListener == nil {
		return nil
	}
	handler, err := operators.Handler(operators.Options{
		Control:   h.server,
		Members:   membership{h},
		Operators: h.options.OperatorTokens,
		Leaders:   h.options.OperatorURLs,
		Dump:      dump,
		Audit:     auditapi.New(h.ledger),
		Log:       h.options.Log,
	})
	if err != nil {
		return err
	}
	h.operators = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return nil
}

// groupStatus returns the part of the dump about the replicated groups.
func (h *Host) groupStatus() any {
	list := make([]control.GroupStatus, 0, len(h.replicas))
	for _, id := range h.options.groups() {
		list = append(list, control.NewGroupStatus(h.replicas[id].Status()))
	}
	return list
}

func (h *Host) serveOperators() error {
	if h.operators == nil {
		return nil
	}
	var err error
	files := h.options.OperatorsTLS
	if files != nil {
		h.operators.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	listener := h.guard.Protect(h.operators, h.options.OperatorListener, ingress.ShareOperators, nil)
	if files != nil {
		err = h.operators.ServeTLS(listener, files.Certificate, files.Key)
	} else {
		err = h.operators.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "control: operators' listener")
}

func (h *Host) closeListeners() {
	if h.operators != nil {
		_ = h.operators.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := h.transport.Close(ctx); err != nil {
		h.options.Log.Debug("closing the peer transport failed", "err", err)
	}
}
