// Command lovage-fleet is one process of a routed deployment: an entry, which
// takes callers' requests, or a control host, which keeps the configuration and
// knows the upstreams.
package main

import "C" // The machines want programs that are linked to the C library.

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/process"
	"github.com/lovagereach/lovagereach/platform"
)

const (
	// cluster and peerKey tell the processes of one deployment from strangers.
	// The machines form a network of their own and are given no secret.
	cluster = "lovagereach"
	peerKey = "lovagereach processes of one fleet"
	// memoryShare is the part of a machine's memory at which the collector
	// works harder; the rest is for what it does not count.
	memoryShare = 0.7
	mebibyte    = 1 << 20
	// lastLines bounds the writing of the log's last lines at the end.
	lastLines = 300 * time.Millisecond
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

// execute runs the process with a log that never blocks it.
func execute(role string, args []string) int {
	lines := decision.NewWriter(os.Stderr)
	countLines(lines)
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
	case <-time.After(lastLines):
		// Nobody reads the log; the end of the process does not wait for it.
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
				debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB*mebibyte)))
			}
			return run(ctx, env, s)
		},
	}
}
