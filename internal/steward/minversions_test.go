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

// testLeadership returns a leadership that starts now, over runners of model "m" with the given
// versions.
func testLeadership(versions ...uint64) *leadership {
	machine := NewMachine()
	s := &Steward{machine: machine, index: newSharedIndex(), options: Options{
		MaxConcurrentLoads: 3, VersionTime: 15 * time.Second, Log: log.New(io.Discard),
	}}
	s.relay = newRelayState(machine, s.index, s.options.Log)
	s.counters = newControlMetrics(s)
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

// leasedReplica is a replica whose host holds the lease while it leads.
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

// The leadership changes while the last of many runners lacks the target weights, and the time
// bound of its version ends before the new leader may issue orders. Guards against entries that
// send that runner further prompts, although all other runners have the newer weights.
func TestNewLeaderSendsMinVersionOfMostRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(2, 2, 2, 2, 2, 1)
		l.steward.machine.applyWeights(roster.Loaded{Model: "m", Version: 2}, nil)
		time.Sleep(11 * time.Second)
		l = newLeadership(l.steward, 3, time.Now())
		time.Sleep(3900 * time.Millisecond)
		answer := &WatchAnswer{}
		l.addCommon(port.Peer{}, answer, time.Now())
		if want := []roster.Loaded{{Model: "m", Version: 2}}; !slices.Equal(answer.MinVersions, want) {
			t.Errorf("14.9 s after the version was set the minimum versions are %v, want %v", answer.MinVersions, want)
		}
	})
}

// loadedRunners already have the version that is ordered.
type loadedRunners struct{ has uint64 }

func (r loadedRunners) Order(context.Context, LoadOrder) (OrderResult, error) {
	return OrderAlreadyLoaded, nil
}

func (r loadedRunners) Report(context.Context, string, string) (RunnerReport, error) {
	return RunnerReport{Versions: map[string]uint64{"m": r.has}}, nil
}

// Runners may have the weights already: they began to load on an order whose answer was lost,
// or on an earlier leader's. Guards against recording the time until that is found as a load
// time: it would be the shortest ever seen, too few loads would run at a time, and the last
// runners would be late.
func TestLoadTimeIsRecordedFromCompleteLoadsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, live := testLoader(18)
		o.leadership.steward.options.Runners = loadedRunners{has: 2}
		o.recordLoadTime(1800 * time.Millisecond)
		before := o.firstCheck()
		for range 10 {
			for _, step := range o.next(live, time.Now()) {
				o.release(step.Upstream, o.load(t.Context(), step), time.Now())
			}
			time.Sleep(loadNotice)
		}
		if after := o.firstCheck(); after < before {
			t.Errorf("loads that had already happened changed the first check from %v to %v after the order", before, after)
		}
	})
}
