package main

import (
	"context"
	"flag"

	"github.com/lovagereach/lovagereach/internal/explain"
)

// newLosses returns the losses command, which reads log files and contacts no
// deployment.
func newLosses() command {
	return command{
		offline: true,
		flags:   func(*flag.FlagSet) {},
		run: func(_ context.Context, tool *tool, args []string) error {
			if len(args) == 0 {
				return usageError("losses needs the logs of one or more entries")
			}
			losses := explain.NewLosses()
			for _, path := range args {
				if err := readLog(path, losses.Read); err != nil {
					return err
				}
			}
			return losses.Write(tool.streams.out)
		},
	}
}
