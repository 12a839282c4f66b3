// Package boottime reads a steady clock that goes on while the machine is
// suspended, which the monotonic part of time.Now doesn't. Leases between
// machines must go by it: the others go on meanwhile.
package boottime

import "time"

var (
	start           = time.Now()
	atStart, counts = sinceBoot()
)

// Now is the time since the start of the process, suspensions counted, after the
// time of that start. It is compared with other readings of Now only: it is ahead
// of time.Now by the time for which the machine was suspended since. Each reading
// is a system call.
func Now() time.Time {
	if !counts {
		return time.Now()
	}
	now, ok := sinceBoot()
	if !ok {
		// The kernel refuses no clock that it has served before.
		panic("boottime: the clock is gone")
	}
	return start.Add(now - atStart)
}

// CountsSuspension reports whether Now goes on while the machine is suspended.
// Where it does not, no lease may be relied on after a suspension.
func CountsSuspension() bool { return counts }
