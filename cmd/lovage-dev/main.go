// Command lovage-dev runs a whole deployment in one process on loopback:
// control hosts, entries, and stand-ins for engines, store hosts and a plain
// service. It is for development.
//
// With -demo it runs a short script against the deployment, checks every
// answer, prints what happened and exits.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/process"
	"github.com/lovagereach/lovagereach/internal/settings"
)

// Settings are the contents of the settings file.
type Settings struct {
	// Entries and Control are the numbers of entries and control hosts.
	Entries int `yaml:"entries"`
	Control int `yaml:"control"`
	// Data is the folder of the control hosts' state. If it is empty, a
	// temporary folder is used and removed at the exit.
	Data string `yaml:"data"`
	// Port is the port of the first entry's callers' listener; the other
	// entries use the ports after it. Zero selects free ports.
	Port int `yaml:"port"`

	demo bool
}

// Bounds of the settings.
const (
	minEntries = 2
	maxEntries = 9
	maxControl = 5
	maxPort    = 65535
)

// Check implements settings.Checker.
func (s *Settings) Check(r *settings.Report) {
	r.Require(s.Entries >= minEntries && s.Entries <= maxEntries, "entries",
		fmt.Sprintf("%d is out of range", s.Entries), fmt.Sprintf("%d to %d", minEntries, maxEntries))
	r.Require(s.Control == 1 || s.Control == 3 || s.Control == maxControl, "control",
		fmt.Sprintf("%d is not the size of a control group", s.Control), "1, 3 or 5")
	r.Require(s.Port >= 0 && s.Port <= maxPort-maxEntries, "port",
		fmt.Sprintf("%d is no port", s.Port), "0 or a port number")
}

func main() {
	process.Main(process.Spec[Settings]{
		Name:    "lovage-dev",
		Summary: "a whole deployment with stand-ins in one process on loopback, for development",
		Examples: []string{
			"lovage-dev",
			"lovage-dev -demo",
			"lovage-dev -control 3 -data ./data -port 7400",
		},
		Defaults: func() *Settings { return &Settings{Entries: 2, Control: 3} },
		Flags: func(flags *flag.FlagSet, s *Settings) {
			flags.IntVar(&s.Entries, "entries", s.Entries, "`number` of entries")
			flags.IntVar(&s.Control, "control", s.Control, "`number` of control hosts: 1, 3 or 5")
			flags.StringVar(&s.Data, "data", s.Data, "`folder` for the control hosts' state (default: a temporary one)")
			flags.IntVar(&s.Port, "port", s.Port, "`port` of the first entry, 0 for a free one")
			flags.BoolVar(&s.demo, "demo", s.demo, "run the demonstration and exit")
		},
		Run: run,
	})
}

// startTimeout bounds the time until the deployment serves callers.
const startTimeout = 20 * time.Second

func run(ctx context.Context, env *process.Env, s *Settings) (err error) {
	folder, clean, err := dataFolder(s.Data)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, clean()) }()
	if s.demo {
		// Keeps info lines from mixing with the script's output.
		env.Log.SetLevel(log.WarnLevel)
	}
	d, err := newDeployment(s, folder, env.Log)
	if err != nil {
		return err
	}
	d.start(ctx)
	defer func() { err = errors.Join(err, d.stop()) }()
	if s.demo {
		return runDemo(ctx, d, env.Stdout)
	}
	if err := d.waitReadyOrDrain(ctx, env.Drain); err != nil {
		return err
	}
	tokenFile, err := writeOperatorToken(folder)
	if err != nil {
		return err
	}
	printAddresses(env.Stdout, d, tokenFile)
	select {
	case <-env.Drain:
		d.drain()
		return d.wait(ctx)
	case <-ctx.Done():
		return nil
	}
}

// waitReadyOrDrain waits until the deployment serves callers or drain is closed.
func (d *deployment) waitReadyOrDrain(ctx context.Context, drain <-chan struct{}) error {
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ready := make(chan error, 1)
	go func() { ready <- d.waitReady(starting) }()
	select {
	case err := <-ready:
		return err
	case <-drain:
		return nil
	}
}

// writeOperatorToken writes the token for lovagectl to a file in folder and returns the
// file's path.
func writeOperatorToken(folder string) (string, error) {
	const ownerOnly = 0o600
	file := filepath.Join(folder, "operator.token")
	return file, eris.Wrap(os.WriteFile(file, []byte(operatorToken), ownerOnly), "operator's token")
}

// dataFolder returns the folder to use and a function to call at the exit, which
// removes a temporary folder.
func dataFolder(given string) (string, func() error, error) {
	if given != "" {
		return given, func() error { return nil }, eris.Wrap(os.MkdirAll(given, 0o700), "data folder")
	}
	folder, err := os.MkdirTemp("", "lovage-dev-")
	if err != nil {
		return "", nil, eris.Wrap(err, "data folder")
	}
	return folder, func() error { return os.RemoveAll(folder) }, nil
}
