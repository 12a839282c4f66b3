package main

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/lovagereach/lovagereach/internal/capacity"
	"github.com/lovagereach/lovagereach/internal/process"
)

// capacityCommand measures the costs from which docs/CAPACITY.md is calculated and
// prints them as a table.
func capacityCommand(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("lovage-load capacity", flag.ContinueOnError)
	flags.SetOutput(stderr)
	only := flags.String("only", "", "run only probes whose role or name contains this `text`")
	if err := flags.Parse(args); err != nil {
		return process.ExitUsage
	}
	probes := matching(capacity.All(), *only)
	if len(probes) == 0 {
		fmt.Fprintf(stderr, "lovage-load capacity: only: no probe's role or name has %q\n", *only)
		return process.ExitUsage
	}
	results, err := capacity.RunAll(probes, stderr)
	if err != nil {
		fmt.Fprintln(stderr, "lovage-load capacity:", err)
		return process.ExitFailed
	}
	if err := capacity.WriteTable(stdout, results); err != nil {
		return process.ExitFailed
	}
	return process.ExitOK
}

func matching(probes []capacity.Probe, text string) []capacity.Probe {
	var chosen []capacity.Probe
	for _, probe := range probes {
		if strings.Contains(probe.Role+" "+probe.Name, text) {
			chosen = append(chosen, probe)
		}
	}
	return chosen
}
