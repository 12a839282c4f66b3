package steward

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/roster"
)

// judgingHost is a control host that judges announcements, of which no other part runs.
func judgingHost() *Steward {
	machine, book := NewMachine(), newSharedBook()
	logger := log.New(io.Discard)
	s := &Steward{machine: machine, book: book, branch: newBranch(machine, book, logger), started: time.Now()}
	s.options.Log = logger
	s.announced.log = logger
	machine.Apply(1, wire.MustMarshal(command{Document: testDocument(1, "one")}))
	return s
}

// judgingLeader is one that leads, and commits at once what an announcement changes.
func judgingLeader() *Steward {
	s := judgingHost()
	s.enrolling = newGatherer(func(_ context.Context, words []roster.Upstream) []wordVerdict {
		s.machine.Apply(2, wire.MustMarshal(command{Upstreams: words}))
		return make([]wordVerdict, len(words))
	})
	s.leading.Store(&leadership{steward: s, since: time.Now(), beats: make(map[string]time.Time)})
	return s
}

// takeIn has a leader take in an announcement.
func takeIn(t *testing.T, s *Steward, u roster.Upstream) {
	t.Helper()
	if verdicts := s.takeWords(context.Background(), []roster.Upstream{u}); verdicts[0] != wordTaken {
		t.Fatalf("%+v: %v", u, verdicts[0].err())
	}
}

// Guards against a runner that gets no requests for as long as it lives, because the
// clock of its host stepped back before it started again under its name.
func TestRunnerWhoseClockSteppedBackServesAgain(t *testing.T) {
	for _, former := range []roster.State{roster.Serving, roster.Leaving, roster.Gone} {
		synctest.Test(t, func(t *testing.T) {
			s := judgingLeader()
			takeIn(t, s, runner(9000, 70, 5))
			last := runner(9000, 71, 5)
			last.State = former
			takeIn(t, s, last)
			began := time.Now()
			var u roster.Upstream
			for sequence := uint64(1); time.Since(began) < 15*time.Second; sequence++ {
				time.Sleep(DefaultAnnounceEvery)
				takeIn(t, s, runner(4000, sequence, 1))
				if u, _ = s.machine.upstream("i-1"); u.StartedMs == 4000 {
					break
				}
			}
			if u.StartedMs != 4000 || u.State != roster.Serving || u.VersionOf("m") != 1 {
				t.Fatalf("after %v, %v before: known is %+v", time.Since(began), former, u)
			}
			l := s.leading.Load()
			if silent := l.silent(s.machine.live(), time.Now()); len(silent) > 0 {
				t.Error("the runner counts as silent")
			}
			// What the leader was about to record of the former life changes nothing any more.
			s.machine.Apply(3, wire.MustMarshal(command{Upstream: &last}))
			gone := last
			gone.State = roster.Gone
			s.machine.Apply(4, wire.MustMarshal(command{Upstream: &gone}))
			takeIn(t, s, runner(9000, 72, 5))
			if u, _ = s.machine.upstream("i-1"); u.StartedMs != 4000 || u.State != roster.Serving {
				t.Errorf("after late words of the former life: %+v", u)
			}
			takeIn(t, s, runner(9500, 1, 1))
			if u, _ = s.machine.upstream("i-1"); u.StartedMs != 9500 {
				t.Errorf("after its next start: %+v", u)
			}
		})
	}
}

// Guards against a runner that is answered that it gets no more work, and gets it under
// the record of its former life, which its clock put later.
func TestLeaveOfAnEarlierBirthIsNotPromisedInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := judgingLeader()
		takeIn(t, s, runner(9000, 70, 5))
		leave := func(sequence uint64) wordVerdict {
			u := runner(4000, sequence, 1)
			u.State = roster.Leaving
			return s.takeWords(context.Background(), []roster.Upstream{u})[0]
		}
		if leave(70) != wordTaken {
			t.Error("a late leave of a former life is not acknowledged")
		}
		time.Sleep(time.Minute)
		takeIn(t, s, runner(4000, 1, 1))
		time.Sleep(DefaultAnnounceEvery)
		takeIn(t, s, runner(4000, 2, 1))
		began := time.Now()
		for sequence := uint64(3); time.Since(began) < 15*time.Second; sequence++ {
			time.Sleep(DefaultAnnounceEvery)
			verdict := leave(sequence)
			u, _ := s.machine.upstream("i-1")
			if u.State == roster.Serving && verdict == wordTaken {
				t.Fatalf("after %v: acknowledged, and known is %+v", time.Since(began), u)
			}
			if u.State == roster.Leaving && verdict == wordTaken {
				return
			}
		}
		t.Error("never acknowledged")
	})
}

// Guards against an earlier-born life that announces itself to a host that does not
// lead, of which the leader never hears.
func TestWordsOfAnEarlierBirthReachTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := judgingHost()
		known := runner(9000, 70, 5)
		s.machine.Apply(2, wire.MustMarshal(command{Upstream: &known}))
		if err := s.announce(context.Background(), runner(4000, 1, 1), time.Now()); err != nil {
			t.Fatal(err)
		}
		if waiting := s.later.take(); len(waiting) != 1 || waiting[0].upstream.StartedMs != 4000 {
			t.Errorf("%d words wait for the leader", len(waiting))
		}
	})
}
