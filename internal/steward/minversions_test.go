package steward

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/roster"
)

// testLeadership returns a leadership that starts now, over runners of model "m" with the given
// versions.
func testLeadership(versions ...uint64) *leadership {
	machine := NewMachine()
	s := testSteward(machine, Options{MaxConcurrentLoads: 3, VersionTime: 15 * time.Second, Log: log.New(io.Discard)})
	for i, version := range versions {
		id := string(rune('a' + i))
		machine.roster.Announce(roster.Upstream{
			ID: id, Service: "llm", Address: id + ":1", State: roster.Serving, Sequence: 1,
			Loaded: []roster.Loaded{{Model: "m", Version: version}},
		})
	}
	return newLeadership(s, 2, time.Now())
}

// testSteward returns a control host with a state that others may share.
func testSteward(machine *Machine, options Options) *Steward {
	s := &Steward{machine: machine, index: newSharedIndex(), options: options}
	s.relay = newRelayState(machine, s.index, options.Log)
	s.counters = newControlMetrics(s)
	var leased port.Replica = &leasedReplica{steward: s}
	s.opened.Store(&leased)
	return s
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

// succeed returns the leadership of the next host after a change of leader: a host that followed l until now,
// and which the leader before calls in an incarnation, 0 for never.
func succeed(t *testing.T, l *leadership, returns ident.Incarnation) *leadership {
	t.Helper()
	options := l.steward.options
	options.Incarnation++
	options.Self = ident.Host(fmt.Sprint("c", options.Incarnation))
	s := testSteward(l.steward.machine, options)
	answer := &WatchAnswer{}
	l.steward.finishAnswer(l, controlPeer("c"), &WatchRequest{}, answer, time.Now())
	s.relay.apply(answer, time.Now(), time.Now())
	time.Sleep(electionMax)
	next := newLeadership(s, l.elected+1, time.Now())
	if returns != 0 {
		former := controlPeer(string(l.steward.options.Self))
		former.Incarnation = returns
		next.recordWatcher(former, &WatchRequest{}, time.Now())
	}
	return next
}

// Guards against a leader that counts the bound of new weights from its own election after changes of leader
// in which no host was lost, and lets prompts begin on older weights past the bound.
func TestBoundOfNewWeightsGoesOnWhenALeaderIsReplaced(t *testing.T) {
	const bound = 15 * time.Second
	for _, c := range []struct {
		name    string
		changes []time.Duration
		// restarts is set if the leader that is replaced calls in another incarnation.
		restarts bool
		from, to time.Duration
	}{
		{"once", []time.Duration{7 * time.Second}, false, 0, bound},
		{"twice", []time.Duration{5 * time.Second, 10 * time.Second}, false, 0, bound},
		{"shortly before the end", []time.Duration{4 * time.Second, 9 * time.Second, 13 * time.Second}, false, 0, bound},
		{"with the loss of the leader, before any runner could load", []time.Duration{10 * time.Second}, true, bound, 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := testLeadership(1, 1, 2)
				l.steward.options.Self, l.steward.options.Incarnation = "c1", 1
				l.steward.machine.applyWeights(roster.Loaded{Model: "m", Version: 2}, nil)
				named := time.Now()
				for _, at := range c.changes {
					time.Sleep(time.Until(named.Add(at)))
					returns := l.steward.options.Incarnation
					if c.restarts {
						returns = 99
					}
					l = succeed(t, l, returns)
				}
				raised := time.Duration(0)
				for raised == 0 && time.Since(named) < 2*bound {
					for _, id := range []string{"a", "b", "c"} {
						l.recordContact(id, time.Now())
					}
					if len(l.raiseMinVersions(time.Now())) > 0 {
						raised = time.Since(named)
					}
					time.Sleep(loadEvery)
				}
				if raised <= c.from || raised > c.to {
					t.Errorf("the minimum version is raised after %v, want after %v and within %v", raised, c.from, c.to)
				}
			})
		})
	}
}
