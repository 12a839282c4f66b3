package steward

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// followStuck starts a follower of an entry that stays at one configuration version.
func (f *testGroup) followStuck(ctx context.Context, name string, version catalog.Version) {
	follower, err := NewEntryFollower(EntryOptions{
		Cluster: "test", Key: []byte("a key of the test processes"), Host: ident.Host(name), DataCentre: "north",
		Seeds: []ident.Host{hostName(1), hostName(2), hostName(3)}, PeerPort: f.port, Log: log.New(io.Discard),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	go follower.Run(ctx, func() *WatchRequest {
		return &WatchRequest{Entry: &EntryView{Host: name, Ready: true}, Document: version, Term: follower.term}
	}, func(*WatchAnswer, time.Time) {})
}

// Guards against an acknowledgement that comes while an entry serves by an older configuration:
// relays that are late update their entries seconds later.
func TestConfigurationIsAcknowledgedOnceInForce(t *testing.T) {
	f := newTestGroup(t)
	f.startThree()
	f.put(1, "one")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f.followStuck(ctx, "e1", 1)
	var lead *Steward
	f.await("the entry watches", func() bool {
		lead = f.leader()
		return lead != nil && lead.leading.Load().watchers.count() == 1
	})
	if _, err := lead.PutDocument(ctx, testDocument(2, "two")); !errors.Is(err, ErrUnavailable) {
		t.Errorf("an entry still has the older one: %v", err)
	}
	stop()
	// An entry that has stopped watching delays it for watcherTTL only.
	f.put(2, "two")
}

// Guards against a configuration that is never acknowledged because of entries that have none
// yet or have ended.
func TestOnlyEntriesWithOlderConfigurationDelayAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(1)
		time.Sleep(watcherTTL)
		for host, held := range map[string]catalog.Version{"new": 0, "same": 7, "ahead": 8} {
			l.recordWatcher(entryPeer(host), &WatchRequest{Entry: &EntryView{Host: host}, Document: held}, time.Now())
		}
		if err := l.awaitDocument(context.Background(), 7); err != nil {
			t.Errorf("none is behind: %v", err)
		}
		l.recordWatcher(entryPeer("old"), &WatchRequest{Entry: &EntryView{Host: "old"}, Document: 6}, time.Now())
		if err := l.awaitDocument(context.Background(), 7); !errors.Is(err, ErrUnavailable) {
			t.Errorf("one is behind: %v", err)
		}
		l.steward.leading.Store(l)
		l.steward.machine.applyDocument(&catalog.Document{Version: 7})
		if behind := l.steward.behind(time.Now()); !slices.Equal(behind, []string{"new", "old"}) {
			t.Errorf("the dump lists %v as behind", behind)
		}
		time.Sleep(watcherTTL)
		if err := l.awaitDocument(context.Background(), 7); err != nil {
			t.Errorf("the entry has stopped watching: %v", err)
		}
	})
}

// pausedReplica is a replica whose host believes that it leads, with a fixed lease end.
type pausedReplica struct {
	port.Replica
	term uint64
	end  time.Time
}

func (r *pausedReplica) Status() port.ReplicaStatus {
	return port.ReplicaStatus{Term: r.term, IsLeader: true, LeaseEnd: r.end}
}

// Guards against entries that treat the state of a host that was paused as fresh: another
// leader has acknowledged a later configuration meanwhile.
func TestLeaderStateAgesFromLeaseEnd(t *testing.T) {
	l := testLeadership(1)
	now := time.Now()
	cases := []struct {
		name      string
		term      uint64
		end, want time.Time
	}{
		{"leased", 2, now.Add(time.Second), now},
		{"over", 2, now.Add(-2 * time.Second), now.Add(-2 * time.Second)},
		{"none", 2, time.Time{}, time.Time{}},
		{"another term", 3, now.Add(time.Second), time.Time{}},
	}
	for _, c := range cases {
		var replica port.Replica = &pausedReplica{term: c.term, end: c.end}
		l.steward.opened.Store(&replica)
		if got := l.asOf(now); !got.Equal(c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against requests handled by a configuration that was replaced long ago, at an entry
// whose watches are answered without new state; and against an entry that refuses requests
// because it is cut off.
func TestConfigExpiresOnlyWhileControlAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const within = 4 * time.Second
		f := NewFollower(FollowerOptions{Self: "e1", ApplyWithin: within})
		expiry := func(answered bool) (expired time.Duration) {
			f.setConfigTime(time.Now())
			for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
				if answered {
					f.resolve(&watchCall{host: "c1", answer: WatchAnswer{Redirect: true, Leader: "c2"}}, nil)
				}
				if f.ConfigExpired(time.Now()) {
					return time.Since(start)
				}
			}
			return 0
		}
		if expired := expiry(false); expired != 0 {
			t.Errorf("cut off, and expired after %v", expired)
		}
		if expired := expiry(true); expired < within || expired > within+watcherTTL {
			t.Errorf("answered without new state, and expired after %v", expired)
		}
		if f.ConfigExpired(time.Now().Add(2 * leaderSeenWithin)) {
			t.Error("expired although it is cut off")
		}
		f.options.ApplyWithin = 0
		if f.ConfigExpired(time.Now()) {
			t.Error("expired without a bound")
		}
	})
}

// Guards against an entry that takes its own stall for a cut from the control hosts, and serves
// by a configuration that was replaced meanwhile until its next answer.
func TestConfigExpiresDuringStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const within = 2 * time.Second
		f := NewFollower(FollowerOptions{Self: "e1", ApplyWithin: within})
		f.setConfigTime(time.Now())
		f.recordLeaderSeen(&WatchAnswer{Leader: "c1"})
		f.stalls.Beat(time.Now())
		time.Sleep(within + watcherTTL)
		if !f.ConfigExpired(time.Now()) {
			t.Error("not expired after a stall")
		}
		// From here on the process runs, and no control host answers.
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go f.stalls.Run(ctx, time.Now)
		time.Sleep(2 * leaderSeenWithin)
		if f.ConfigExpired(time.Now()) {
			t.Error("expired although it is cut off")
		}
	})
}

// Guards against an entry that finds its configuration fresh after its machine was suspended:
// the monotonic clock of time.Now stops meanwhile.
func TestConfigExpiresDuringSuspension(t *testing.T) {
	suspended := time.Duration(0)
	f := NewFollower(FollowerOptions{Self: "e1", ApplyWithin: 2 * time.Second, Clock: func() time.Time { return time.Now().Add(suspended) }})
	f.setConfigTime(f.Now())
	f.recordLeaderSeen(&WatchAnswer{Leader: "c1"})
	f.stalls.Beat(f.Now())
	suspended = 10 * time.Second
	if !f.ConfigExpired(f.Now()) {
		t.Error("not expired after a suspension")
	}
}

// Guards against entries whose follower doesn't count suspensions of their machine.
func TestEntryFollowerCountsSuspension(t *testing.T) {
	f, err := NewEntryFollower(EntryOptions{Cluster: "test", Key: []byte("a key of the test processes"), Host: "e1", Log: log.New(io.Discard)})
	if err != nil {
		t.Fatal(err)
	}
	if f.options.Clock == nil {
		t.Fatal("the age of the configuration is measured by time.Now")
	}
	sent := f.Now().Add(-time.Minute)
	if age := time.Since(f.Monotonic(sent)); age < time.Minute || age > time.Minute+time.Second {
		t.Errorf("an answer requested a minute ago counts as requested %v ago", age)
	}
}

// Guards against an acknowledgement while an answer with an older configuration is on its way to
// an entry that had none: the entry would serve by it for longer than the bound.
func TestEntryIsAwaitedOnceConfigurationIsOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(1)
		machine := l.steward.machine
		machine.applyDocument(&catalog.Document{Version: 1})
		time.Sleep(watcherTTL)
		started := &WatchRequest{Entry: &EntryView{Host: "e1"}}
		l.recordWatcher(entryPeer("e1"), started, time.Now())
		machine.applyDocument(&catalog.Document{Version: 2})
		if err := l.awaitDocument(context.Background(), 2); !errors.Is(err, ErrUnavailable) {
			t.Errorf("version 1 is on its way to an entry: %v", err)
		}
		l.recordWatcher(entryPeer("e1"), started, time.Now())
		if err := l.awaitDocument(context.Background(), 2); err != nil {
			t.Errorf("the entry has asked again and gets version 2: %v", err)
		}
		relayed := newRelayState(machine, l.steward.index, l.steward.options.Log)
		relayed.recordWatcher(entryPeer("e2"), &WatchRequest{Entry: &EntryView{Host: "e2"}}, time.Now())
		if views := relayed.watchers.entries(time.Now()); views[0].Document != 2 {
			t.Errorf("a relay reports version %d of an entry to which it sends version 2", views[0].Document)
		}
	})
}

// Guards against an acknowledgement while a relay still sends an older configuration to entries
// that the leader doesn't know yet.
func TestRelaysWithOlderConfigurationDelayAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(1)
		time.Sleep(watcherTTL)
		l.recordWatcher(controlPeer("c2"), &WatchRequest{Relay: true, Document: 1}, time.Now())
		if err := l.awaitDocument(context.Background(), 2); !errors.Is(err, ErrUnavailable) {
			t.Errorf("a relay has version 1: %v", err)
		}
		l.recordWatcher(controlPeer("c2"), &WatchRequest{Relay: true, Document: 2}, time.Now())
		if err := l.awaitDocument(context.Background(), 2); err != nil {
			t.Errorf("the relay has version 2: %v", err)
		}
		l.recordWatcher(controlPeer("c2"), &WatchRequest{Document: 1}, time.Now())
		if err := l.awaitDocument(context.Background(), 2); err != nil {
			t.Errorf("the host is no relay: %v", err)
		}
	})
}

// Guards against an entry that takes late answers for silence: it would be cut off in its own
// view, and serve by its configuration without a bound.
func TestLateAnswersAreNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFollower(FollowerOptions{Self: "e1", ApplyWithin: 2 * time.Second})
		f.setConfigTime(time.Now())
		time.Sleep(4 * time.Second)
		if f.ConfigExpired(time.Now()) {
			t.Fatal("expired although it is cut off")
		}
		f.applyLate(&watchCall{host: "c1", answer: WatchAnswer{Redirect: true, Leader: "c2"}}, nil)
		if !f.ConfigExpired(time.Now()) {
			t.Error("not expired although a control host that knows a leader answers late")
		}
	})
}

// Guards against processes that don't measure their stalls, so that nothing accounts for them.
func TestProcessesMeasureTheirStalls(t *testing.T) {
	g := newTestGroup(t)
	g.startThree()
	s := g.any()
	follower, err := NewEntryFollower(EntryOptions{
		Cluster: "test", Key: []byte("a key of the test processes"), Host: "e1", DataCentre: "north",
		Seeds: []ident.Host{hostName(1)}, PeerPort: g.port, Log: log.New(io.Discard),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go follower.Run(ctx, func() *WatchRequest { return nil }, nil)
	const stalled = time.Minute
	for name, at := range map[string]func(now time.Time) time.Time{
		"entry":             func(now time.Time) time.Time { return now.Add(-follower.stalls.Total(now)) },
		"leader":            listeningClock(s.stalls.Total).at,
		"relay of watchers": s.relay.watchers.clock.at,
	} {
		g.await(name+" measures its stalls", func() bool {
			later := time.Now().Add(stalled)
			return later.Sub(at(later)) > stalled/2
		})
	}
}
