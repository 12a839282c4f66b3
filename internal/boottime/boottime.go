// Package boottime reads a monotonic clock that keeps running while the machine is
// suspended, unlike the monotonic reading of time.Now. Leases between machines must
// use it, since the clocks of the other machines keep running meanwhile.
package boottime

import "time"

var (
	startTime                         = time.Now()
	bootTimeAtStart, countsSuspension = sinceBoot()
)

// Now returns the start time of the process plus the time elapsed since then, including
// suspensions of the machine. It may only be compared with other results of Now: it is
// ahead of time.Now by the duration of the suspensions since the start. Each call makes
// a system call.
func Now() time.Time {
	if !countsSuspension {
		return time.Now()
	}
	now, ok := sinceBoot()
	if !ok {
		// The kernel doesn't refuse a clock that it has provided before.
		panic("boottime: CLOCK_BOOTTIME can no longer be read")
	}
	return startTime.Add(now - bootTimeAtStart)
}

// CountsSuspension reports whether Now keeps running while the machine is suspended. If
// it doesn't, no lease may be relied on after a suspension.
func CountsSuspension() bool { return countsSuspension }
