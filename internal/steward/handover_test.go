package steward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/handover"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// followingReplica is the group on a host that has heard of the leader c1.
type followingReplica struct{ port.Replica }

func (followingReplica) Status() port.ReplicaStatus { return port.ReplicaStatus{Term: 3, Leader: "c1"} }

// restartedFollower is a control host that has restarted with all others: it has heard of the new
// leader, and has no answer from it yet.
func restartedFollower(handover bool) *Steward {
	s := testLeadership(2).steward
	s.options.Handover = handover
	s.counters = newControlMetrics(s)
	s.relay = newRelayState(s.machine, s.index, log.New(io.Discard))
	var replica port.Replica = followingReplica{}
	s.opened.Store(&replica)
	return s
}

// After a restart of all hosts no host knows the number of entries. Guards against entries that
// wait for their configuration until control hosts have learned by their second answer from the
// leader that it doesn't answer all entries itself.
func TestControlHostsAnswerBeforeEntriesAreCounted(t *testing.T) {
	for _, c := range []struct {
		enabled bool
		entries int
		relays  bool
	}{{false, 64, false}, {true, 64, true}, {true, 9, false}, {true, 0, false}} {
		synctest.Test(t, func(t *testing.T) {
			l := restartedLeader()
			l.steward.options.Handover = c.enabled
			l.steward.machine.applyLearned(handover.Encode(handover.Estimates{Entries: c.entries, Routes: []handover.Route{{Name: "r", WaitMs: 1000}}}, time.Now()))
			first := l.steward.watch(t.Context(), controlPeer("c2"), &WatchRequest{Document: 1})
			if first.Relaying != c.relays || !first.Counting {
				t.Errorf("%+v: the first answer says relaying %v, counting %v", c, first.Relaying, first.Counting)
			}
			time.Sleep(relaysWithin)
			if later := l.steward.watch(t.Context(), controlPeer("c2"), &WatchRequest{Document: 1}); later.Relaying {
				t.Errorf("%+v: a leader without entries has others relay for it", c)
			}
		})
	}
}

// The same for a host that entries query before it has the leader's first answer: it keeps their
// watches open, and doesn't send them to a leader that redirects them. If the leader stays
// silent, the entries are told so.
func TestWatchWaitsForFirstAnswerOfLeader(t *testing.T) {
	behind := relayingAnswer(3)
	behind.Document = testDocument(6, "two")
	for _, c := range []struct {
		name     string
		handover bool
		// log is when the log of the host reaches that of the leader, 0 if it isn't behind.
		log time.Duration
		// answered is when the leader's answer arrives, 0 for never; took how long the watch is
		// kept open at most.
		answered, took time.Duration
		redirect       bool
	}{
		{"answered soon", true, 0, 60 * time.Millisecond, 60*time.Millisecond + leaderPoll, false},
		{"answered before its log is complete", true, 120 * time.Millisecond, 60 * time.Millisecond, 120*time.Millisecond + leaderPoll, false},
		{"never answered", true, 0, 0, startingWait + leaderPoll, true},
		{"not switched on", false, 0, 60 * time.Millisecond, 0, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := restartedFollower(c.handover)
			if c.answered > 0 {
				first := relayingAnswer(3)
				if c.log > 0 {
					first = behind
					time.AfterFunc(c.log, func() { s.machine.Apply(1, wire.MustMarshal(command{Document: behind.Document})) })
				}
				time.AfterFunc(c.answered, func() { s.relay.apply(first, time.Now(), time.Now()) })
			}
			began := time.Now()
			answer := s.watch(t.Context(), entryPeer("e1"), entryWatch("e1", 0, cacheindex.Query{ByProgress: true}))
			if took := time.Since(began); answer.Redirect != c.redirect || took > c.took {
				t.Errorf("%s: redirected %v after %v", c.name, answer.Redirect, took)
			}
			time.Sleep(time.Second)
		})
	}
}

// Guards against callers that are all given the one entry that reports first after a restart of all,
// and keep it for seconds: entries that start are listed too, and a report from before an entry had
// its configuration doesn't outlast its next one, to another host. An entry that leaves is not listed,
// whatever the other report says.
func TestCallersAreGivenEntriesThatStart(t *testing.T) {
	now := time.Now()
	report := func(w *watchers, by string, view EntryView) {
		view.Callers = view.Host + ":1"
		w.record(controlPeer(by), &WatchRequest{Relay: true, RelayedEntries: []EntryView{view}}, now)
	}
	for _, c := range []struct {
		name          string
		first, second EntryView
		listed        bool
	}{
		{"starts", EntryView{Starting: true}, EntryView{Starting: true}, true},
		{"has started, known by one", EntryView{Starting: true}, EntryView{Ready: true}, true},
		{"has started, known by the other", EntryView{Ready: true}, EntryView{Starting: true}, true},
		{"leaves", EntryView{Ready: true}, EntryView{}, false},
		{"has started and leaves", EntryView{Starting: true}, EntryView{}, false},
	} {
		w := newWatchers(log.New(io.Discard))
		c.first.Host, c.second.Host = "e1", "e1"
		report(w, "c1", c.first)
		report(w, "c2", c.second)
		if listed := len(chooseAddresses(w.entries(now), "north", 8)) > 0; listed != c.listed {
			t.Errorf("%s: listed %v", c.name, listed)
		}
	}
}
