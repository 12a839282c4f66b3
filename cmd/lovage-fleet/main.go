// Command lovage-fleet is one process of a routed deployment: an entry, which
// serves callers' requests, or a control host, which stores the configuration and
// tracks the upstreams.
package main

import "C" // The target machines require binaries linked to the C library.

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/ingress"
	"github.com/lovagereach/lovagereach/internal/process"
	"github.com/lovagereach/lovagereach/platform"
)

const (
	// cluster and peerKey distinguish the processes of one deployment from
	// foreign ones. peerKey is no secret: the machines form a network of their
	// own and are provisioned with none.
	cluster = "lovagereach"
	peerKey = "lovagereach processes of one fleet"
	// logFlushTimeout bounds the writing of the remaining log lines at the exit.
	logFlushTimeout = 300 * time.Millisecond
)

func main() {
	if len(os.Args) < 2 || (os.Args[1] != "entry" && os.Args[1] != "control") {
		fmt.Fprintln(os.Stderr, "usage: lovage-fleet entry|control [-config FILE] [-check]")
		os.Exit(process.ExitUsage)
	}
	args := os.Args[2:]
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		args = append([]string{"-config", path}, args...)
	}
	os.Exit(execute(os.Args[1], args))
}

// execute runs the process with a log writer that never blocks it and returns the
// exit code.
func execute(role string, args []string) int {
	lines := decision.NewWriter(os.Stderr)
	registerDroppedLines(lines)
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		lines.Run(ctx)
		close(written)
	}()
	code := process.Execute(spec(role), args, os.Stdout, lines)
	cancel()
	select {
	case <-written:
	case <-time.After(logFlushTimeout):
		// The reader of standard error has stalled; the exit does not wait for it.
	}
	return code
}

func spec(role string) process.Spec[platform.Settings] {
	run := runEntry
	summary := "an entry of a routed deployment"
	if role == "control" {
		run = runControl
		summary = "a control host of a routed deployment"
	}
	return process.Spec[platform.Settings]{
		Name:        "lovage-fleet " + role,
		Summary:     summary,
		Examples:    []string{"lovage-fleet " + role + " -config node.yaml", "lovage-fleet " + role + " -config node.yaml -check"},
		Defaults:    func() *platform.Settings { return &platform.Settings{} },
		NeedsConfig: true,
		Run: func(ctx context.Context, env *process.Env, s *platform.Settings) error {
			if s.MemoryMB > 0 {
				ingress.SetRuntimeLimit(s.Resources().Memory)
			}
			return run(ctx, env, s)
		},
	}
}
