package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
)

// newLogger returns a logger that writes one logfmt line for each message.
func newLogger(output io.Writer, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("-log-level: %q is not a level; accepted: debug, info, warn, error", level)
	}
	logger := log.NewWithOptions(output, log.Options{
		Level:           parsed,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.LogfmtFormatter,
	})
	return logger, nil
}

func run[S any](spec Spec[S], common *commonFlags, current *S, logger *log.Logger, stdout io.Writer) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	drain, stopSignals := watchSignals(cancel, logger)
	defer stopSignals()
	env := &Env{Log: logger, Drain: drain, Stdout: stdout, ConfigFile: common.config}
	err := spec.Run(ctx, env, current)
	return exitCode(err, logger)
}

func exitCode(err error, logger *log.Logger) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		logger.Error("refused", "err", err)
		return ExitUsage
	default:
		logger.Error("failed", "err", eris.ToString(err, false))
		return ExitFailed
	}
}

// watchSignals closes the returned channel on the first termination signal and calls
// force on the second, so that an operator can abort a drain that hangs. The returned
// function stops the watch.
func watchSignals(force func(), logger *log.Logger) (<-chan struct{}, func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	drain := make(chan struct{})
	done := make(chan struct{})
	go func() {
		if !awaitSignal(signals, done) {
			return
		}
		logger.Info("draining", "hint", "a second signal forces the exit")
		close(drain)
		if !awaitSignal(signals, done) {
			return
		}
		logger.Warn("forced")
		force()
	}()
	stop := func() {
		signal.Stop(signals)
		close(done)
	}
	return drain, stop
}

func awaitSignal(signals <-chan os.Signal, done <-chan struct{}) bool {
	select {
	case <-signals:
		return true
	case <-done:
		return false
	}
}
