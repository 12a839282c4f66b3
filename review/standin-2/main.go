//go:build review

// Command standin-2 plays the cases of the second review: it starts the project's programs as the deploy
// file does, on loopback addresses, beside stand-ins for servers, clients, the operator and the platform
// that do what the users' pages say.
//
// It ends with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTime bounds a case, with its end.
const caseTime = 112 * time.Second

// verdict is the result of a case that ran.
type verdict struct {
	broken bool
	seen   string
}

// cases are the cases by name.
var cases = map[string]func(ctx context.Context, w *world) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs one case and returns the exit code.
func play(name, path string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTime)
	defer cancel()
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w, err := newWorld(rec)
	if err != nil {
		rec.line("case not run: %v", err)
		return exitNotRun
	}
	defer w.end()
	found, err := cases[name](ctx, w)
	switch {
	case err != nil:
		rec.line("case not run: %v", err)
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = os.CopyFS(keep, os.DirFS(w.dir))
		}
		return exitNotRun
	case found.broken:
		rec.line("broken: %s", found.seen)
	default:
		rec.line("held: %s", found.seen)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(w.dir))
	}
	if found.broken {
		return exitBroken
	}
	return exitHeld
}

// troubled reports whether the disruption of the case is played.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// pause waits until d is over or ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// until calls check until it returns true, for at most d.
func until(ctx context.Context, d time.Duration, check func() bool) bool {
	for end := time.Now().Add(d); ; pause(ctx, 100*time.Millisecond) {
		if check() {
			return true
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
}

var errNotServing = errors.New("the fleet did not begin to serve")

// program returns the path of the program of the deploy file.
func program() string {
	path, _ := filepath.Abs(filepath.Join("target", "lovage-fleet"))
	return path
}
