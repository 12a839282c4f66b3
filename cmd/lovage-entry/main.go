// Command lovage-entry serves callers: it answers prompts and service calls,
// tracks the upstreams that announce themselves, and stores the KV of kept prompts
// on store hosts.
package main

import (
	"context"
	"errors"
	"flag"

	"github.com/lovagereach/lovagereach/internal/entryhost"
	"github.com/lovagereach/lovagereach/internal/process"
)

func main() {
	process.Main(spec())
}

func spec() process.Spec[Settings] {
	return process.Spec[Settings]{
		Name:    "lovage-entry",
		Summary: "serves callers: prompts, service calls and the answer which entry to use",
		Examples: []string{
			"lovage-entry -config examples/entry.yaml",
			"lovage-entry -config examples/entry.yaml -check",
			"lovage-entry -config examples/entry.yaml -callers 127.0.0.1:7201",
		},
		Defaults:    defaults,
		NeedsConfig: true,
		Flags: func(flags *flag.FlagSet, s *Settings) {
			flags.Var(&s.Listen.Callers, "callers", "`address` for callers, an IP number and a port")
			flags.Var(&s.Listen.Announce, "announce", "`address` for upstreams")
			flags.Var(&s.Listen.Peer, "peer", "`address` for the other processes")
			flags.Var(&s.Listen.Telemetry, "telemetry", "`address` for operators")
		},
		Run: run,
	}
}

func run(ctx context.Context, env *process.Env, s *Settings) error {
	options, err := s.options()
	if err != nil {
		return errors.Join(process.ErrUsage, err)
	}
	options.Log = env.Log.With("host", s.Host)
	if options.Listeners, err = s.listen(); err != nil {
		return err
	}
	defer options.Listeners.Close()
	host, err := entryhost.New(options)
	if err != nil {
		return err
	}
	env.Log.Info("listening", "callers", host.Callers(), "announce", host.Announce(), "telemetry", host.Operators())
	return host.Run(ctx, env.Drain)
}
