package upstream

import "time"

// Bytes of one message of an upstream as an HTTP exchange, with headers and the
// packets' own headers; internal/capacity measures them and its tests hold these
// numbers to the measurement.
const (
	ReportWireBytes = 768
	EventsWireBytes = 704
)

// Bounds of Pace.
const (
	// UnpacedUpstreams is up to how many upstreams report at their own
	// intervals.
	UnpacedUpstreams = 32
	// ReportBytesPerSecond and EventBytesPerSecond are what all upstreams that a
	// process follows may send it of load reports, and of batches of cache
	// events beside the events themselves.
	ReportBytesPerSecond = 3_000
	EventBytesPerSecond  = 1_000
	// MaxReportEvery is the age at which a load report tells too little to be
	// worth an interval; what this process sent itself is counted meanwhile.
	MaxReportEvery = 10 * time.Second
	// MaxEventsEvery bounds how long a directory may believe in a block that an
	// engine has evicted; each such belief costs one missed transfer.
	MaxEventsEvery = 20 * time.Second
)

// ReportIntervals is how often an upstream should report to one process. Zero leaves it to
// the upstream.
type ReportIntervals struct {
	ReportEvery time.Duration
	EventsEvery time.Duration
}

// ReportIntervalsFor returns the intervals at which the given number of upstreams keep to
// the budgets. An interval at its maximum exceeds its budget.
func ReportIntervalsFor(upstreams int) ReportIntervals {
	if upstreams <= UnpacedUpstreams {
		return ReportIntervals{}
	}
	return ReportIntervals{
		ReportEvery: paced(upstreams, ReportWireBytes, ReportBytesPerSecond, MaxReportEvery),
		EventsEvery: paced(upstreams, EventsWireBytes, EventBytesPerSecond, MaxEventsEvery),
	}
}

func paced(upstreams, bytes, budget int, longest time.Duration) time.Duration {
	// Beyond this count the interval is the longest; without the bound the
	// product below could overflow.
	if upstreams >= int(longest/time.Second)*budget/bytes+1 {
		return longest
	}
	return time.Duration(upstreams) * time.Duration(bytes) * time.Second / time.Duration(budget)
}
