package steward

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/roster"
)

// testLeadership leads since now, over runners of model "m" with the given versions.
func testLeadership(versions ...uint64) *leadership {
	machine := NewMachine()
	s := &Steward{machine: machine, book: newSharedBook(), options: Options{
		LoadsAtOnce: 3, VersionTime: 15 * time.Second, Log: log.New(io.Discard),
	}}
	s.branch = newBranch(machine, s.book, s.options.Log)
	var leased port.Replica = &leasedReplica{steward: s}
	s.opened.Store(&leased)
	for i, version := range versions {
		id := string(rune('a' + i))
		machine.roster.Announce(roster.Upstream{
			ID: id, Service: "llm", Address: id + ":1", State: roster.Serving, Sequence: 1,
			Loaded: []roster.Loaded{{Model: "m", Version: version}},
		})
	}
	return newLeadership(s, 2, time.Now())
}

// leasedReplica is a group in which the host's leadership holds.
type leasedReplica struct {
	port.Replica
	steward *Steward
}

func (r *leasedReplica) Status() port.ReplicaStatus {
	l := r.steward.leading.Load()
	if l == nil {
		return port.ReplicaStatus{}
	}
	return port.ReplicaStatus{Term: l.elected, IsLeader: true, LeaseEnd: time.Now().Add(electionMin)}
}

// The leadership passes on while the last of many runners still lacks weights. The new
// leader may give no order for a while, and the bound of those weights ends. Entries
// send the one runner further prompts, whose callers are answered on weights past
// their bound, though all other runners could take them.
func TestANewLeaderTellsAFloorThatMostRunnersReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(2, 2, 2, 2, 2, 1)
		l.steward.machine.applyWeights(roster.Loaded{Model: "m", Version: 2})
		time.Sleep(11 * time.Second)
		l = newLeadership(l.steward, 3, time.Now())
		time.Sleep(3900 * time.Millisecond)
		answer := &WatchAnswer{}
		l.complete(port.Peer{}, answer, time.Now())
		if want := []roster.Loaded{{Model: "m", Version: 2}}; !slices.Equal(answer.MinVersions, want) {
			t.Errorf("14.9 s after the naming the floor is %v, want %v", answer.MinVersions, want)
		}
	})
}

// loadedRunners have what was ordered already.
type loadedRunners struct{ has uint64 }

func (r loadedRunners) Order(context.Context, LoadOrder) (OrderResult, error) {
	return OrderAlreadyLoaded, nil
}

func (r loadedRunners) Report(context.Context, string, string) (RunnerReport, error) {
	return RunnerReport{Versions: map[string]uint64{"m": r.has}}, nil
}

// Runners are found to have the weights already: they began on an order whose answer
// was lost, or on a former leader's. The time from the question on is then taken for
// that of a load, and is the shortest ever seen. As many loads at a time as that asks
// for are too few, and the last runners are late.
func TestTheTimeOfALoadIsLearntFromWholeLoadsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, live := testLoader(18)
		o.leadership.steward.options.Runners = loadedRunners{has: 2}
		o.noteUsual(1800 * time.Millisecond)
		before := o.firstCheck()
		for range 10 {
			for _, turn := range o.next(live, time.Now()) {
				o.release(turn.Upstream, o.load(t.Context(), turn), time.Now())
			}
			time.Sleep(loadNotice)
		}
		if after := o.firstCheck(); after < before {
			t.Errorf("loads that were none changed the first question from %v to %v after the order", before, after)
		}
	})
}
