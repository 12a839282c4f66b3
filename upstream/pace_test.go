package upstream

import (
	"testing"
	"time"
)

func TestPaceKeepsToTheBudgets(t *testing.T) {
	for _, n := range []int{33, 54, 100, 400, 4096, 1 << 40} {
		pace := ReportIntervalsFor(n)
		check := func(what string, every, longest time.Duration, bytes, budget int) {
			t.Helper()
			if every <= 0 || every > longest {
				t.Errorf("%d upstreams: %s every %v", n, what, every)
			}
			if rate := float64(n*bytes) / every.Seconds(); every < longest && rate > 1.001*float64(budget) {
				t.Errorf("%d upstreams: %s cost %.0f B/s of %d", n, what, rate, budget)
			}
		}
		check("reports", pace.ReportEvery, MaxReportEvery, ReportWireBytes, ReportBytesPerSecond)
		check("events", pace.EventsEvery, MaxEventsEvery, EventsWireBytes, EventBytesPerSecond)
	}
}

func TestPaceLeavesTodaysSizesAlone(t *testing.T) {
	for _, n := range []int{0, 1, 21, UnpacedUpstreams} {
		if ReportIntervalsFor(n) != (ReportIntervals{}) {
			t.Errorf("%d upstreams are paced: %+v", n, ReportIntervalsFor(n))
		}
	}
}
