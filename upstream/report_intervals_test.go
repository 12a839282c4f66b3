package upstream

import (
	"testing"
	"time"
)

func TestReportIntervalsKeepToTheBudgets(t *testing.T) {
	for _, n := range []int{33, 54, 100, 400, 4096, 1 << 40} {
		intervals := ReportIntervalsFor(n)
		check := func(what string, every, longest time.Duration, bytes, budget int) {
			t.Helper()
			if every <= 0 || every > longest {
				t.Errorf("%d upstreams: %s every %v", n, what, every)
			}
			if rate := float64(n*bytes) / every.Seconds(); every < longest && rate > 1.001*float64(budget) {
				t.Errorf("%d upstreams: %s take %.0f B/s, budget %d", n, what, rate, budget)
			}
		}
		check("reports", intervals.ReportEvery, MaxReportEvery, ReportWireBytes, ReportBytesPerSecond)
		check("events", intervals.EventsEvery, MaxEventsEvery, EventsWireBytes, EventBytesPerSecond)
	}
}

func TestSmallFleetsReportAtTheirOwnIntervals(t *testing.T) {
	for _, n := range []int{0, 1, 21, MaxUnpacedUpstreams} {
		if ReportIntervalsFor(n) != (ReportIntervals{}) {
			t.Errorf("%d upstreams get report intervals: %+v", n, ReportIntervalsFor(n))
		}
	}
}
