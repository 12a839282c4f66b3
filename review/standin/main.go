//go:build review

// Command standin plays a case: it starts the processes of a small deployment and plays its clients,
// runners and operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the longest time that a case may take.
const longest = 115 * time.Second

// The exit codes of a case.
const (
	held, broken, notRun = 0, 1, 2
)

// cases are the cases by name, and the findings that are no cases. trouble tells whether the
// disruption is played.
var cases = map[string]func(out *recorder, trouble bool) (code int, err error){
	"versions": versions, "wall": wall, "routes": routes, "forming": forming, "stopping": stopping, "braces": braces,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(notRun)
	}
	out, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		select {
		case <-signals:
		case <-time.After(longest):
		}
		stopAll()
		os.Exit(notRun)
	}()
	code, err := cases[os.Args[1]](out, os.Getenv("TROUBLE") != "0")
	if err != nil {
		out.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	out.printf("exit %d", code)
	os.Exit(code)
}
