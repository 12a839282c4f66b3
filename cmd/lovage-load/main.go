// Command lovage-load drives a running system with load and checks every
// answer; its other subcommands measure parts of the system in isolation.
package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/lovagereach/lovagereach/internal/process"
)

// command is one subcommand; run returns the exit code.
type command struct {
	summary string
	run     func(args []string, stdout, stderr io.Writer) int
}

// commands maps names to subcommands.
var commands = map[string]command{
	"capacity": {"the slopes behind docs/CAPACITY.md, measured", capacityCommand},
	"policy":   {"the policy against its baselines, in virtual time", policyCommand},
	"run":      {"open-loop load with returning prompts and calls; checks every answer", runCommand},
}

func main() {
	os.Exit(dispatch(os.Args[1:], os.Stdout, os.Stderr))
}

func dispatch(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		usage(stderr)
		return process.ExitUsage
	}
	switch args[0] {
	case "-help", "--help", "-h", "help":
		usage(stdout)
		return process.ExitOK
	case "-version", "--version":
		fmt.Fprintln(stdout, "lovage-load", process.Version())
		return process.ExitOK
	}
	chosen, ok := commands[args[0]]
	if !ok {
		fmt.Fprintf(stderr, "lovage-load: unknown command %q\n", args[0])
		usage(stderr)
		return process.ExitUsage
	}
	return chosen.run(args[1:], stdout, stderr)
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "lovage-load: load and measurements for development\n\nCommands:")
	for _, name := range slices.Sorted(maps.Keys(commands)) {
		fmt.Fprintf(w, "  %-10s %s\n", name, commands[name].summary)
	}
	fmt.Fprintln(w, "\nExamples:\n  lovage-load run -config examples/load.yaml\n  lovage-load run -help")
}
