package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/lovagereach/lovagereach/internal/simload"
)

// policyCommand runs the policy benchmark in virtual time. It prints a table
// and writes policy.csv and policy.svg to the folder given by -out.
func policyCommand(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("lovage-load policy", flag.ContinueOnError)
	flags.SetOutput(stderr)
	out := flags.String("out", "", "folder for policy.csv and policy.svg; empty writes neither")
	workloads := flags.String("workload", "merrimack,adomako", "workloads, separated by commas")
	policies := flags.String("policy", strings.Join(simload.Policies(), ","), "policies, separated by commas")
	faults := flags.String("faults", "quiet", "quiet, single, pairs, or names of faults joined by + and separated by commas")
	variants := flags.String("variants", "", "variants of the policy, separated by commas, or all; empty runs the policy as it is")
	seed := flags.Uint64("seed", 1, "seed of the workload")
	scale := flags.Float64("scale", 1, "factor on the rate of requests")
	links := flags.Float64("links", 1, "factor on the rate of links and disks")
	parallel := flags.Int("parallel", 4, "runs at a time")
	overlap := flags.Bool("overlap", false, "engines begin prefill while blocks still arrive")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	plan := simload.Plan{
		Workloads: split(*workloads), Policies: split(*policies), Faults: split(*faults),
		Variants: split(*variants), Seed: *seed, Scale: *scale, Links: *links, Overlap: *overlap,
	}
	if err := runPolicy(plan, *out, *parallel, stdout); err != nil {
		fmt.Fprintf(stderr, "lovage-load policy: %v\n", err)
		return 1
	}
	return 0
}

func runPolicy(plan simload.Plan, out string, parallel int, stdout io.Writer) error {
	runs, err := plan.Runs()
	if err != nil {
		return err
	}
	results, err := simload.DoAll(runs, parallel)
	if err != nil {
		return err
	}
	if err := simload.WriteTable(stdout, results); err != nil {
		return err
	}
	if out == "" {
		return nil
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(out, "policy.csv"))
	if err != nil {
		return err
	}
	if err := simload.WriteCSV(file, results); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return simload.WritePlot(filepath.Join(out, "policy.svg"), results)
}

// split splits a list at its commas and drops empty elements.
func split(list string) []string {
	parts := strings.Split(list, ",")
	return slices.DeleteFunc(parts, func(s string) bool { return s == "" })
}
