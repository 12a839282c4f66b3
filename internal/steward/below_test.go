package steward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/port"
)

// Guards against a leader that takes the entries of a control host's former process for
// those of its present one, both having started at the same time of day.
func TestListsOfTwoProcessesAreNumberedApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quiet := log.New(io.Discard)
		leader := newWatchers(quiet)
		relay := port.Peer{Host: "10.0.0.2", DataCentre: "north"}
		for _, entry := range []string{"e1", "e2"} {
			b := newBranch(NewMachine(), newSharedBook(), quiet)
			b.told.Relaying = true
			b.follow(entryPeer(entry), &WatchRequest{Entry: &EntryView{Host: entry}}, time.Now())
			request := b.request(time.Now())
			leader.follow(relay, request, time.Now())
			if list := leader.entries(time.Now()); len(list) != 1 || list[0].Host != entry {
				t.Errorf("the leader lists %+v, %s asks", list, entry)
			}
		}
	})
}
