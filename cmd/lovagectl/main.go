// Command lovagectl applies, shows and explains the configuration of a
// lovagereach deployment and the state of its control group.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr}, os.Getenv)
	stop()
	os.Exit(code)
}

// streams are the three standard streams.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}
