package steward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// recovery is the time within which a group must serve again once a quorum of its disks is
// back.
const recovery = 12 * time.Second

// incarnationAt is the incarnation of a process that starts at a wall-clock time.
func incarnationAt(seconds int) ident.Incarnation {
	return ident.Incarnation(time.Duration(seconds) * time.Second / time.Microsecond)
}

// within fails the test unless the condition holds within the limit.
func (f *testGroup) within(limit time.Duration, what string, holds func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

// Guards against a control host that the others refuse for as long as it runs because its clock
// stepped back before it restarted: the next lost disk would leave no quorum.
func TestGroupSurvivesLostDiskAfterClockStepsBack(t *testing.T) {
	f := newTestGroup(t)
	for i := 1; i <= 3; i++ {
		f.incarnations[hostName(i)] = incarnationAt(100)
	}
	f.startThree()
	f.put(1, "one")
	f.kill(hostName(3))
	f.incarnations[hostName(3)] = incarnationAt(95)
	f.start(hostName(3), "disk3", false)
	f.put(2, "two")
	f.kill(hostName(2))
	f.incarnations[hostName(2)] = incarnationAt(130)
	f.start(hostName(2), "empty", false)
	f.within(recovery, "every host reads back what was acknowledged", func() bool {
		for _, s := range f.hosts() {
			if d, err := s.Document(context.Background()); err != nil || string(d.Source) != "two" {
				return false
			}
		}
		return true
	})
}

// Guards against control hosts that refuse one another permanently because their clocks stepped
// back and two of them restarted one after the other.
func TestLeaderIsElectedAfterClocksStepBack(t *testing.T) {
	f := newTestGroup(t)
	for i := 1; i <= 3; i++ {
		f.incarnations[hostName(i)] = incarnationAt(100)
	}
	f.startThree()
	f.put(1, "one")
	for i := 1; i <= 2; i++ {
		f.kill(hostName(i))
		f.incarnations[hostName(i)] = incarnationAt(95 + i)
		f.start(hostName(i), fmt.Sprint("disk", i), false)
		time.Sleep(2 * electionMax)
	}
	f.within(recovery, "a change is acknowledged", func() bool {
		_, err := f.any().PutDocument(context.Background(), testDocument(2, "two"))
		return err == nil
	})
}

// Guards against entries that no control host answers because their clocks stepped back before
// they restarted.
func TestEntryFollowsAfterClockStepsBack(t *testing.T) {
	f := newTestGroup(t)
	f.startThree()
	f.put(1, "one")
	for _, incarnation := range []ident.Incarnation{incarnationAt(100), incarnationAt(99)} {
		f.followOnce("127.0.0.9", incarnation)
	}
}

// followOnce starts an entry, and stops it once it has the configuration.
func (f *testGroup) followOnce(host ident.Host, incarnation ident.Incarnation) {
	f.t.Helper()
	follower := f.newFollower(host, incarnation)
	ctx, cancel := context.WithCancel(context.Background())
	received, done := make(chan struct{}, 1), make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx, func() *WatchRequest { return &WatchRequest{Entry: &EntryView{Host: string(host)}} }, func(answer *WatchAnswer, _ time.Time) {
			if answer.Document != nil {
				select {
				case received <- struct{}{}:
				default:
				}
			}
		})
	}()
	defer func() { cancel(); <-done }()
	select {
	case <-received:
	case <-time.After(recovery):
		f.t.Fatalf("incarnation %d received no configuration within %s", incarnation, recovery)
	}
}

// hosts lists the running hosts.
func (f *testGroup) hosts() []*Steward {
	f.mu.Lock()
	defer f.mu.Unlock()
	var hosts []*Steward
	for _, m := range f.running {
		hosts = append(hosts, m.steward)
	}
	return hosts
}
