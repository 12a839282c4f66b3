package steward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/roster"
)

// Guards against a control host that passes on, after its machine was suspended, what the
// leader told it before as if it were fresh.
func TestWhatWasToldBeforeASuspensionIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		b := newBranch(NewMachine(), newSharedBook(), log.New(io.Discard))
		b.clock = func() time.Time { return time.Now().Add(suspended) }
		s := &Steward{machine: b.machine, book: b.book, branch: b, options: Options{Clock: b.clock}}
		b.take(relayingAnswer(3), b.now(), b.now())
		request := &WatchRequest{Entry: &EntryView{Host: "e1"}, Term: 3}
		if from, _ := s.bulletin(request); from != bulletin(b) {
			t.Fatal("not passed on while it is fresh")
		}
		suspended = 2 * branchFresh
		if from, _ := s.bulletin(request); from != nil {
			t.Error("passed on after a suspension")
		}
		if s.takesBeat(&roster.Upstream{State: roster.Serving}, time.Now()) {
			t.Error("takes announcements on its own after a suspension")
		}
		if age := b.heardAge(b.at(time.Now())); age != 2*branchFresh {
			t.Errorf("the leader was heard %v ago", age)
		}
	})
}
