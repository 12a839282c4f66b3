package entry

import (
	"fmt"
	"testing"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/upstream"
)

// An entry that follows many upstreams must ask them to report less often, or
// their reports pass its budget; one that follows as few as today's must not.
func TestAnnouncementIsAnsweredWithThePace(t *testing.T) {
	b := newBench(t)
	for i := range upstream.UnpacedUpstreams + 1 {
		assignment, err := b.Announce(port.Announcement{
			Upstream: ident.Upstream(fmt.Sprint("runner-", i)), Incarnation: 1, Kind: port.KindEngine,
			Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), DataCentre: testCentre, LeaseMillis: 3000, Slots: 4, BlockBytes: 1000,
			Models: []port.LoadedVersion{{Model: testModel, Version: testVersion}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if want := upstream.ReportIntervalsFor(i + 1); assignment.Pace != want {
			t.Fatalf("upstream %d is told %+v, not %+v", i+1, assignment.Pace, want)
		}
		if len(assignment.Entries) == 0 {
			t.Fatal("no entry is named")
		}
	}
}
