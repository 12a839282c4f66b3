package steward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/port"
)

// Guards against a leader that confuses the entry list of a control host's previous incarnation
// with that of the present one, when both started at the same wall-clock time.
func TestEntryListRevisionsDifferBetweenIncarnations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quiet := log.New(io.Discard)
		leader := newWatchers(quiet)
		relay := port.Peer{Host: "10.0.0.2", DataCentre: "north"}
		for _, entry := range []string{"e1", "e2"} {
			b := newRelayState(NewMachine(), newSharedIndex(), quiet)
			b.latest.Relaying = true
			b.recordWatcher(entryPeer(entry), &WatchRequest{Entry: &EntryView{Host: entry}}, time.Now())
			request := b.request(time.Now())
			leader.record(relay, request, time.Now())
			if list := leader.entries(time.Now()); len(list) != 1 || list[0].Host != entry {
				t.Errorf("the leader lists %+v, the present entry is %s", list, entry)
			}
		}
	})
}
