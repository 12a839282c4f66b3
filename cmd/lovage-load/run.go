package main

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/loadgen"
	"github.com/lovagereach/lovagereach/internal/process"
)

// errViolations makes the process fail when the report contains violations of the
// system's guarantees.
var errViolations = errors.New("the system broke a promise; see violations in the report")

func runCommand(args []string, stdout, stderr io.Writer) int {
	return process.Execute(process.Spec[Settings]{
		Name:    "lovage-load run",
		Summary: "open-loop load with returning prompts and calls; checks every answer",
		Examples: []string{
			"lovage-load run -config examples/load.yaml",
			"lovage-load run -config examples/load.yaml -duration 1m -json report.json",
		},
		Defaults:    defaults,
		Flags:       flags,
		NeedsConfig: true,
		Run:         run,
	}, args, stdout, stderr)
}

func run(ctx context.Context, env *process.Env, s *Settings) error {
	options := s.options()
	options.Stop = env.Drain
	if s.Audit != nil {
		token, err := os.ReadFile(s.Audit.TokenFile)
		if err != nil {
			return eris.Wrap(err, "audit.token_file")
		}
		options.Audit = &loadgen.AuditOptions{Servers: s.Audit.Servers, Token: strings.TrimSpace(string(token))}
	}
	report, err := loadgen.Run(ctx, options)
	if err != nil {
		return err
	}
	report.WriteText(env.Stdout)
	if err := writeFile(s.CSV, report.WriteCSV); err != nil {
		return err
	}
	if err := writeFile(s.JSON, report.WriteJSON); err != nil {
		return err
	}
	if report.Violations.Any() {
		return errViolations
	}
	return nil
}

// writeFile writes a report to path; with an empty path it writes nothing.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "report")
	}
	if err := write(file); err != nil {
		file.Close()
		return eris.Wrapf(err, "write %s", path)
	}
	return eris.Wrapf(file.Close(), "close %s", path)
}
