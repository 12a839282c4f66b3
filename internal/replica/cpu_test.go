package replica

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// cpuTime returns the user and system CPU time of this process.
func cpuTime(tb testing.TB) time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
