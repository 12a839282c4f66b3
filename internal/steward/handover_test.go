package steward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/internal/port"
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
	for _, handover := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			l := restartedLeader()
			l.steward.options.Handover = handover
			first := l.steward.watch(t.Context(), controlPeer("c2"), &WatchRequest{Document: 1})
			if first.Relaying != handover || !first.Counting {
				t.Errorf("handover %v: the first answer says relaying %v, counting %v", handover, first.Relaying, first.Counting)
			}
			time.Sleep(relaysWithin)
			if later := l.steward.watch(t.Context(), controlPeer("c2"), &WatchRequest{Document: 1}); later.Relaying {
				t.Errorf("handover %v: a leader without entries has others relay for it", handover)
			}
		})
	}
}

// The same for a host that entries query before it has the leader's first answer: it keeps their
// watches open, and doesn't send them to a leader that redirects them. If the leader stays
// silent, the entries are told so.
func TestWatchWaitsForFirstAnswerOfLeader(t *testing.T) {
	for _, c := range []struct {
		name     string
		handover bool
		// answered is when the leader's answer arrives, 0 for never; took how long the watch is
		// kept open at most.
		answered, took time.Duration
		redirect       bool
	}{
		{"answered soon", true, 60 * time.Millisecond, 60*time.Millisecond + leaderPoll, false},
		{"never answered", true, 0, startingWait + leaderPoll, true},
		{"not switched on", false, 60 * time.Millisecond, 0, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := restartedFollower(c.handover)
			if c.answered > 0 {
				time.AfterFunc(c.answered, func() { s.relay.apply(relayingAnswer(3), time.Now(), time.Now()) })
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
