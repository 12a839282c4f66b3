package steward

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/roster"
)

// version2 is a minimum version.
var version2 = []roster.Loaded{{Model: "m", Version: 2}}

// firstAnswer returns the answer with which an entry that starts gets its configuration.
func (f *testGroup) firstAnswer(name string) *WatchAnswer {
	f.t.Helper()
	follower := f.newFollower(ident.Host(name), 0)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var first *WatchAnswer
	follower.Run(ctx, func() *WatchRequest {
		return &WatchRequest{Entry: &EntryView{Host: name}}
	}, func(answer *WatchAnswer, _ time.Time) {
		if first == nil && answer.Document != nil {
			first = answer
			cancel()
		}
	})
	if first == nil {
		f.t.Fatalf("%s received no configuration", name)
	}
	return first
}

// startAgain starts all hosts on their disks.
func (f *testGroup) startAgain() {
	for i := 1; i <= 3; i++ {
		f.start(hostName(i), fmt.Sprint("disk", i), false)
	}
}

// Guards against a minimum version that is forgotten once the leader that raised it has ended: entries
// that start then get their configuration without it, and send prompts to runners with older weights for
// another bound.
func TestMinimumVersionOutlivesItsLeader(t *testing.T) {
	f := newTestGroup(t)
	f.versionTime = 2 * time.Second
	f.startThree()
	f.put(1, "one")
	f.announce(f.any(), roster.Upstream{
		ID: "r1", Service: "llm", Address: "r1:1", State: roster.Serving, Sequence: 1, Loaded: []roster.Loaded{{Model: "m", Version: 1}},
	})
	if err := f.any().PutWeights(context.Background(), "m", 2); err != nil {
		t.Fatal(err)
	}
	asked := 0
	expect := func(when string) {
		t.Helper()
		asked++
		answer := f.firstAnswer(fmt.Sprint("127.0.1.", asked))
		if !slices.Equal(answer.MinVersions, version2) {
			t.Errorf("%s an entry that starts is told the minimum versions %v", when, answer.MinVersions)
		}
		if len(answer.MinAges) != 1 || answer.MinAges[0] < f.versionTime*9/10 {
			t.Errorf("%s it is told that the version has been the target for %v, the bound is %v", when, answer.MinAges, f.versionTime)
		}
	}
	f.await("a minimum version", func() bool {
		asked++
		return len(f.firstAnswer(fmt.Sprint("127.0.1.", asked)).MinVersions) > 0
	})
	expect("before a restart")
	f.await("a leader", func() bool { return f.leader() != nil })
	f.kill(f.leader().options.Self)
	expect("after the loss of the leader")
	f.stopAll()
	f.startAgain()
	expect("after a restart of all hosts")
	f.stopAll()
	f.start(hostName(1), "disk1", false)
	f.start(hostName(2), "disk2", false)
	f.start(hostName(3), "empty", false)
	expect("after a restart of all hosts, one with a lost disk")
	f.stopAll()
	for i := 1; i <= 3; i++ {
		f.incarnations[hostName(i)] = incarnationAt(100 * i)
	}
	f.startAgain()
	expect("after a restart of all hosts whose clocks have stepped")
}

// Guards against a minimum version that is lost with the log before a snapshot, or because a snapshot of
// an earlier release, which has none, replaces the state.
func TestMinimumVersionSurvivesSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMachine()
		old, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		m.applyWeights(roster.Loaded{Model: "m", Version: 2}, nil)
		time.Sleep(9 * time.Second)
		m.applyMinimum(minimumVersion{Model: "m", Version: 2, Age: 9 * time.Second}, time.Now())
		m.applyWeights(roster.Loaded{Model: "m", Version: 3}, nil)
		data, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := NewMachine()
		if err := restored.Restore(data); err != nil {
			t.Fatal(err)
		}
		if err := m.Restore(old); err != nil {
			t.Fatal(err)
		}
		for name, machine := range map[string]*Machine{"a snapshot": restored, "a snapshot of an earlier release": m} {
			if got := machine.minimumVersions(); !slices.Equal(got, version2) {
				t.Errorf("after %s the minimum versions are %v", name, got)
			}
			if since, lacks := machine.targetVersions().FirstLacked("m", 1); !lacks || time.Since(since) != 9*time.Second {
				t.Errorf("after %s version 1 has been lacked since %v ago, %v", name, time.Since(since), lacks)
			}
		}
		if since, lacks := restored.targetVersions().FirstLacked("m", 2); !lacks || time.Since(since) != 0 {
			t.Errorf("version 2 has been lacked since %v ago, %v", time.Since(since), lacks)
		}
	})
}

// Guards against a minimum version that a leader of an earlier release raised and did not record, and that
// its successor, of this one, does not know.
func TestMinimumVersionOfAnEarlierReleaseIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(1, 1, 1)
		l.steward.machine.applyWeights(roster.Loaded{Model: "m", Version: 2}, nil)
		now := time.Now()
		l.steward.relay.apply(&WatchAnswer{Term: 2, MinVersions: version2}, now, now)
		l = newLeadership(l.steward, 3, now)
		answer := &WatchAnswer{}
		l.addCommon(port.Peer{}, answer, now)
		if !slices.Equal(answer.MinVersions, version2) {
			t.Errorf("the minimum versions are %v", answer.MinVersions)
		}
	})
}
