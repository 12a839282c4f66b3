package reach

import (
	"fmt"
	"testing"
	"time"
)

// names returns the names of n upstreams.
func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint("u", i)
	}
	return list
}

// probeAll makes the probes that are due, of which those of the given upstreams succeed.
func probeAll(t *Tracker, upstreams []string, reached map[string]bool, now time.Time) int {
	due := t.Probes(upstreams, now)
	for _, upstream := range due {
		t.Probed(upstream, reached[upstream], now)
	}
	return len(due)
}

// Guards against an entry that does not notice a partition until its callers have left, because
// connections that hang show no error.
func TestSilenceOfAllIsProbed(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	all := names(9)
	for _, upstream := range all[:3] {
		tracker.Received(upstream, now)
		tracker.Sent(upstream, now)
	}
	if tracker.InDoubt(now.Add(silence / 2)) {
		t.Error("in doubt before the silence has lasted")
	}
	now = now.Add(silence)
	if probeAll(tracker, all, nil, now) != 3 {
		t.Error("silent upstreams are not probed")
	}
	// With the first lost ones, others are probed for comparison.
	for range 10 {
		now = now.Add(probeInterval)
		probeAll(tracker, all, nil, now)
	}
	if share := tracker.Share(all, now); share != 0 {
		t.Errorf("a share of %.2f counts as reached", share)
	}
	reached := map[string]bool{}
	for _, upstream := range all {
		reached[upstream] = true
	}
	for range 3 {
		now = now.Add(probeInterval)
		probeAll(tracker, all, reached, now)
	}
	if share := tracker.Share(all, now); share != 1 || tracker.InDoubt(now.Add(time.Second)) && tracker.lost > 0 {
		t.Errorf("after the partition a share of %.2f counts as reached", share)
	}
}

// Guards against entries that take a slow or crashed upstream for a partition of their own.
func TestOneUpstreamIsNoPartition(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	all := names(9)
	for _, upstream := range all {
		tracker.Received(upstream, now)
	}
	tracker.Sent("u0", now)
	if now = now.Add(time.Second); tracker.InDoubt(now) {
		t.Error("one slow upstream is probed")
	}
	tracker.Connected("u0", false, now)
	if !tracker.Lost("u0") || tracker.Share(all, now) != 1 {
		t.Errorf("share %.2f after the loss of one", tracker.Share(all, now))
	}
	tracker.Connected("u1", false, now)
	if share := tracker.Share(all, now); share < 0.7 || share > 0.8 {
		t.Errorf("share %.2f after the loss of two of nine", share)
	}
	tracker.Forget("u0")
	tracker.Forget("u1")
	if tracker.Share(all, now) != 1 || tracker.InDoubt(now) {
		t.Error("upstreams that have gone are still in doubt")
	}
}

// Guards against probes that add up to a burst of connections at a large fleet.
func TestProbesAreBounded(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	all := names(1000)
	for _, upstream := range all {
		tracker.Sent(upstream, now)
	}
	now = now.Add(silence)
	if n := len(tracker.Probes(all, now)) + len(tracker.Probes(all, now)); n != maxProbes {
		t.Errorf("%d probes are under way", n)
	}
	if tracker.Share(nil, now) != 1 {
		t.Error("without upstreams the share is not 1")
	}
}
