// Command lovage-control is a control host: together with the other control
// hosts it replicates the configuration, the epochs and the at-most-once ledger
// and stores them on its disk.
package main

import (
	"context"
	"errors"
	"flag"
	"net"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/controlhost"
	"github.com/lovagereach/lovagereach/internal/process"
)

func main() {
	process.Main(spec())
}

func spec() process.Spec[Settings] {
	return process.Spec[Settings]{
		Name:    "lovage-control",
		Summary: "a control host: configuration, leases, orders and the at-most-once ledger",
		Examples: []string{
			"lovage-control -config examples/control.yaml",
			"lovage-control -config examples/control.yaml -check",
			"lovage-control -config examples/control.yaml -data /var/lib/lovage -telemetry 127.0.0.1:7530",
		},
		Flags: func(flags *flag.FlagSet, s *Settings) {
			flags.StringVar(&s.Data, "data", s.Data, "`folder` of the replicated state")
			flags.Var(&s.Listen.Peer, "peer", "`address` for the other processes, an IP number and a port")
			flags.Var(&s.Listen.Operators, "operators", "`address` for operators")
			flags.Var(&s.Listen.Telemetry, "telemetry", "`address` for metrics and dumps")
		},
		Defaults:    func() *Settings { return &Settings{} },
		NeedsConfig: true,
		Run:         run,
	}
}

func run(ctx context.Context, env *process.Env, s *Settings) error {
	options, err := s.options()
	if err != nil {
		return errors.Join(process.ErrUsage, err)
	}
	options.Log = env.Log
	if options.PeerListener, err = net.Listen("tcp", s.Listen.Peer.String()); err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	if options.OperatorListener, err = net.Listen("tcp", s.Listen.Operators.String()); err != nil {
		return errors.Join(eris.Wrap(err, "listen for operators"), options.PeerListener.Close())
	}
	host, err := controlhost.New(options)
	if err != nil {
		return errors.Join(err, options.PeerListener.Close(), options.OperatorListener.Close())
	}
	env.Log.Info("started", "host", s.Host, "peer", options.PeerListener.Addr(), "operators", options.OperatorListener.Addr(), "data", s.Data)
	return host.Run(ctx, env.Drain)
}
