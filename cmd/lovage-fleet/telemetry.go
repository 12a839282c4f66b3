package main

import (
	"context"
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagereach/lovagereach/internal/adapter/telemetry"
	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/ingress"
	"github.com/lovagereach/lovagereach/internal/process"
	"github.com/lovagereach/lovagereach/platform"
)

// registerDroppedLines registers the metric of log lines that were dropped because
// the buffer was full.
func registerDroppedLines(lines *decision.Writer) {
	set := metrics.NewSet()
	set.NewGauge("lovagereach_log_lines_dropped", func() float64 { return float64(lines.Dropped()) })
	metrics.RegisterSet(set)
}

// listenTelemetry opens the listener for metrics and state dumps. It returns nil
// when the settings have no telemetry port.
func listenTelemetry(s *platform.Settings, dump *telemetry.Registry, ready func() error, guard *ingress.Guard) (*telemetry.Server, error) {
	if s.TelemetryPort == 0 {
		return nil, nil
	}
	server, err := telemetry.Listen(telemetry.Options{Address: s.TelemetryAddress(), Dump: dump, Ready: ready, Guard: guard})
	if err != nil {
		return nil, errors.Join(process.ErrUsage, err)
	}
	return server, nil
}

// runTelemetry serves metrics and state dumps until ctx ends. A failure is only
// logged: the process can do its work without telemetry.
func runTelemetry(ctx context.Context, env *process.Env, server *telemetry.Server) {
	if server == nil {
		return
	}
	if err := server.Run(ctx); err != nil {
		env.Log.Warn("telemetry server failed; metrics and state dumps are unavailable", "err", err)
	}
}
