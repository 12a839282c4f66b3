package upstream

import "time"

// Sizes in bytes of one message of an upstream as an HTTP exchange, with HTTP
// and packet headers. The tests of internal/capacity compare them with
// measurements.
const (
	ReportWireBytes = 768
	EventsWireBytes = 704
)

// Bounds of ReportIntervalsFor.
const (
	// MaxUnpacedUpstreams is the largest number of upstreams that report at their
	// own intervals.
	MaxUnpacedUpstreams = 32
	// ReportBytesPerSecond and EventBytesPerSecond are the budgets of one
	// process for what all its upstreams together send it: the former for load
	// reports, the latter for batches of cache events without the events
	// themselves.
	ReportBytesPerSecond = 3_000
	EventBytesPerSecond  = 1_000
	// MaxReportEvery bounds the age of a load report, beyond which it is of
	// little use. Between reports the registry counts this process's own
	// requests.
	MaxReportEvery = 10 * time.Second
	// MaxEventsEvery bounds how long a directory (prefix.Directory) may list a
	// block that an engine has evicted; each such entry costs one failed
	// transfer.
	MaxEventsEvery = 20 * time.Second
)

// ReportIntervals are the intervals at which an upstream should report to one
// process. Zero means that the upstream chooses.
type ReportIntervals struct {
	ReportEvery time.Duration
	EventsEvery time.Duration
}

// ReportIntervalsFor returns the intervals at which the given number of
// upstreams keep to the budgets. At a maximum interval the budget is exceeded.
func ReportIntervalsFor(upstreams int) ReportIntervals {
	if upstreams <= MaxUnpacedUpstreams {
		return ReportIntervals{}
	}
	return ReportIntervals{
		ReportEvery: interval(upstreams, ReportWireBytes, ReportBytesPerSecond, MaxReportEvery),
		EventsEvery: interval(upstreams, EventsWireBytes, EventBytesPerSecond, MaxEventsEvery),
	}
}

// interval returns the interval at which messages of the given size from all
// upstreams keep to a budget in bytes per second, at most longest.
func interval(upstreams, bytes, budget int, longest time.Duration) time.Duration {
	// From this count on the interval is the longest. Without this check the
	// product below could overflow.
	if upstreams >= int(longest/time.Second)*budget/bytes+1 {
		return longest
	}
	return time.Duration(upstreams) * time.Duration(bytes) * time.Second / time.Duration(budget)
}
