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

// announcementHost is a control host that classifies announcements; no other part of it runs.
func announcementHost() *Steward {
	machine, index := NewMachine(), newSharedIndex()
	logger := log.New(io.Discard)
	s := &Steward{machine: machine, index: index, relay: newRelayState(machine, index, logger), startedAt: time.Now()}
	s.options.Log = logger
	s.upstreamLog.log = logger
	machine.Apply(1, wire.MustMarshal(command{Document: testDocument(1, "one")}))
	return s
}

// announcementLeader is an announcementHost that leads, and commits changes immediately.
func announcementLeader() *Steward {
	s := announcementHost()
	s.commitBatcher = newBatcher(func(_ context.Context, announcements []roster.Upstream) []announceResult {
		s.machine.Apply(2, wire.MustMarshal(command{Upstreams: announcements}))
		return make([]announceResult, len(announcements))
	})
	s.leading.Store(&leadership{steward: s, since: time.Now(), lastContacts: make(map[string]time.Time)})
	return s
}

// applyAnnouncement applies an announcement on a leader.
func applyAnnouncement(t *testing.T, s *Steward, u roster.Upstream) {
	t.Helper()
	if verdicts := s.applyAnnouncements(context.Background(), []roster.Upstream{u}); verdicts[0] != announceAccepted {
		t.Fatalf("%+v: %v", u, verdicts[0].err())
	}
}

// Guards against a runner that gets no requests for its whole run because the clock of its host
// stepped back before it restarted under its ID.
func TestRunnerServesAgainAfterClockStepsBack(t *testing.T) {
	for _, previous := range []roster.State{roster.Serving, roster.Leaving, roster.Gone} {
		synctest.Test(t, func(t *testing.T) {
			s := announcementLeader()
			applyAnnouncement(t, s, runner(9000, 70, 5))
			last := runner(9000, 71, 5)
			last.State = previous
			applyAnnouncement(t, s, last)
			began := time.Now()
			var u roster.Upstream
			for sequence := uint64(1); time.Since(began) < 15*time.Second; sequence++ {
				time.Sleep(DefaultAnnounceEvery)
				applyAnnouncement(t, s, runner(4000, sequence, 1))
				if u, _ = s.machine.upstream("i-1"); u.StartedMs == 4000 {
					break
				}
			}
			if u.StartedMs != 4000 || u.State != roster.Serving || u.VersionOf("m") != 1 {
				t.Fatalf("after %v, previous state %v: the roster has %+v", time.Since(began), previous, u)
			}
			l := s.leading.Load()
			if silent := l.silent(s.machine.live(), time.Now()); len(silent) > 0 {
				t.Error("the runner counts as silent")
			}
			// State of the previous incarnation that the leader still records changes nothing
			// any more.
			s.machine.Apply(3, wire.MustMarshal(command{Upstream: &last}))
			gone := last
			gone.State = roster.Gone
			s.machine.Apply(4, wire.MustMarshal(command{Upstream: &gone}))
			applyAnnouncement(t, s, runner(9000, 72, 5))
			if u, _ = s.machine.upstream("i-1"); u.StartedMs != 4000 || u.State != roster.Serving {
				t.Errorf("after stale announcements of the previous incarnation: %+v", u)
			}
			applyAnnouncement(t, s, runner(9500, 1, 1))
			if u, _ = s.machine.upstream("i-1"); u.StartedMs != 9500 {
				t.Errorf("after its next start: %+v", u)
			}
		})
	}
}

// Guards against a runner whose departure is acknowledged although it still gets work under the
// record of its previous incarnation, which has a later start time.
func TestDepartureWithEarlierStartTimeIsRecordedOnceAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := announcementLeader()
		applyAnnouncement(t, s, runner(9000, 70, 5))
		leave := func(sequence uint64) announceResult {
			u := runner(4000, sequence, 1)
			u.State = roster.Leaving
			return s.applyAnnouncements(context.Background(), []roster.Upstream{u})[0]
		}
		if leave(70) != announceAccepted {
			t.Error("a stale departure of a previous incarnation is not acknowledged")
		}
		time.Sleep(time.Minute)
		applyAnnouncement(t, s, runner(4000, 1, 1))
		time.Sleep(DefaultAnnounceEvery)
		applyAnnouncement(t, s, runner(4000, 2, 1))
		began := time.Now()
		for sequence := uint64(3); time.Since(began) < 15*time.Second; sequence++ {
			time.Sleep(DefaultAnnounceEvery)
			result := leave(sequence)
			u, _ := s.machine.upstream("i-1")
			if u.State == roster.Serving && result == announceAccepted {
				t.Fatalf("after %v: acknowledged, and the roster has %+v", time.Since(began), u)
			}
			if u.State == roster.Leaving && result == announceAccepted {
				return
			}
		}
		t.Error("never acknowledged")
	})
}

// Guards against announcements with an earlier start time that a host that doesn't lead keeps
// from the leader.
func TestAnnouncementsWithEarlierStartTimeReachLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := announcementHost()
		known := runner(9000, 70, 5)
		s.machine.Apply(2, wire.MustMarshal(command{Upstream: &known}))
		if err := s.announce(context.Background(), runner(4000, 1, 1), time.Now()); err != nil {
			t.Fatal(err)
		}
		if waiting := s.deferred.take(); len(waiting) != 1 || waiting[0].upstream.StartedMs != 4000 {
			t.Errorf("%d announcements wait for the leader", len(waiting))
		}
	})
}
