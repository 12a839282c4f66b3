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

// followStuck follows as an entry that goes by a configuration and takes no later one.
func (f *fleet) followStuck(ctx context.Context, name string, version catalog.Version) {
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

// Guards against an acknowledgement that comes while an entry serves by an older
// configuration: hosts that are late tell their entries seconds later.
func TestAConfigurationIsAcknowledgedOnceItIsInForce(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.put(1, "one")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f.followStuck(ctx, "e1", 1)
	var lead *Steward
	f.await("the entry asks", func() bool {
		lead = f.leader()
		return lead != nil && lead.leading.Load().watchers.count() == 1
	})
	if _, err := lead.PutDocument(ctx, testDocument(2, "two")); !errors.Is(err, ErrUnavailable) {
		t.Errorf("an entry goes by the older one: %v", err)
	}
	stop()
	// An entry that asks no more holds it up for a while only.
	f.put(2, "two")
}

// Guards against a configuration that is never acknowledged, for want of entries that
// have none yet or have ended.
func TestOnlyEntriesWithAnOlderConfigurationHoldUpANewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(1)
		time.Sleep(watcherKept)
		for host, held := range map[string]catalog.Version{"new": 0, "same": 7, "ahead": 8} {
			l.follow(entryPeer(host), &WatchRequest{Entry: &EntryView{Host: host}, Document: held}, time.Now())
		}
		if err := l.awaitDocument(context.Background(), 7); err != nil {
			t.Errorf("none is behind: %v", err)
		}
		l.follow(entryPeer("old"), &WatchRequest{Entry: &EntryView{Host: "old"}, Document: 6}, time.Now())
		if err := l.awaitDocument(context.Background(), 7); !errors.Is(err, ErrUnavailable) {
			t.Errorf("one is behind: %v", err)
		}
		l.steward.leading.Store(l)
		l.steward.machine.applyDocument(&catalog.Document{Version: 7})
		if named := l.steward.behind(time.Now()); !slices.Equal(named, []string{"new", "old"}) {
			t.Errorf("operators are told that %v are behind", named)
		}
		time.Sleep(watcherKept)
		if err := l.awaitDocument(context.Background(), 7); err != nil {
			t.Errorf("it has stopped asking: %v", err)
		}
	})
}

// stoodStill is a group in which the host believes that it leads, and its lease is over.
type stoodStill struct {
	port.Replica
	term uint64
	end  time.Time
}

func (r *stoodStill) Status() port.ReplicaStatus {
	return port.ReplicaStatus{Term: r.term, IsLeader: true, LeaseEnd: r.end}
}

// Guards against entries that go by the word of a host that stood still, as if it were
// fresh: another one has acknowledged a later configuration meanwhile.
func TestALeadersWordIsAsOldAsItsLease(t *testing.T) {
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
		var replica port.Replica = &stoodStill{term: c.term, end: c.end}
		l.steward.opened.Store(&replica)
		if got := l.asOf(now); !got.Equal(c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against requests handled by a configuration that was replaced long ago, at an
// entry that control hosts answer without news, and against an entry that serves nobody
// because it is cut off.
func TestAnEntryWithoutNewsStopsOnlyWhileControlAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const within = 4 * time.Second
		f := NewFollower(FollowerOptions{Self: "e1", ApplyWithin: within})
		ask := func(answered bool) (lapsed time.Duration) {
			f.setWord(time.Now())
			for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
				if answered {
					f.settle(&watched{host: "c1", answer: WatchAnswer{Redirect: true, Leader: "c2"}}, nil)
				}
				if f.ConfigExpired(time.Now()) {
					return time.Since(start)
				}
			}
			return 0
		}
		if lapsed := ask(false); lapsed != 0 {
			t.Errorf("cut off, and stops after %v", lapsed)
		}
		if lapsed := ask(true); lapsed < within || lapsed > within+watcherKept {
			t.Errorf("answered without news, and stops after %v", lapsed)
		}
		if f.ConfigExpired(time.Now().Add(2 * ledWithin)) {
			t.Error("cut off since, and does not serve")
		}
		f.options.ApplyWithin = 0
		if f.ConfigExpired(time.Now()) {
			t.Error("no bound is told")
		}
	})
}
