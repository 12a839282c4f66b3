package entry

import (
	"fmt"
	"testing"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/upstream"
)

// An entry that follows many upstreams must request less frequent reports, or
// the reports exceed its budget. With few upstreams the interval must not
// change.
func TestAnnouncementReturnsReportIntervals(t *testing.T) {
	b := newTestEntry(t)
	for i := range upstream.MaxUnpacedUpstreams + 1 {
		assignment, err := b.Announce(port.Announcement{
			Upstream: ident.Upstream(fmt.Sprint("runner-", i)), Incarnation: 1, Kind: port.KindEngine,
			Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), DataCentre: testCentre, LeaseMillis: 3000, Slots: 4, BlockBytes: 1000,
			Models: []port.LoadedVersion{{Model: testModel, Version: testVersion}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if want := upstream.ReportIntervalsFor(i + 1); assignment.ReportIntervals != want {
			t.Fatalf("upstream %d got the intervals %+v, want %+v", i+1, assignment.ReportIntervals, want)
		}
		if len(assignment.Entries) == 0 {
			t.Fatal("no entry was returned")
		}
	}
}
