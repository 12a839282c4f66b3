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
	if share := tracker.Share(all, len(all), now); share != 0 {
		t.Errorf("a share of %.2f counts as reached", share)
	}
	reached := map[string]bool{}
	for _, upstream := range all {
		reached[upstream] = true
	}
	for range 5 {
		now = now.Add(maxProbeInterval)
		probeAll(tracker, all, reached, now)
	}
	for _, upstream := range all {
		tracker.Received(upstream, now)
	}
	if share := tracker.Share(all, len(all), now); share != 1 || tracker.InDoubt(now.Add(time.Second)) && tracker.lost > 0 {
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
	if !tracker.Lost("u0") || tracker.Share(all, len(all), now) != 1 {
		t.Errorf("share %.2f after the loss of one", tracker.Share(all, len(all), now))
	}
	tracker.Connected("u1", false, now)
	if share := tracker.Share(all, len(all), now); share < 0.7 || share > 0.8 {
		t.Errorf("share %.2f after the loss of two of nine", share)
	}
	tracker.Forget("u0")
	tracker.Forget("u1")
	if tracker.Share(all, len(all), now) != 1 || tracker.InDoubt(now) {
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
	if tracker.Share(nil, 0, now) != 1 {
		t.Error("without upstreams the share is not 1")
	}
}

// Guards against a large fleet whose entries all open connections to all upstreams, again and
// again, because a few upstreams have crashed.
func TestCrashedUpstreamsCauseFewProbes(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	all, reached := names(130), make(map[string]bool)
	for _, upstream := range all[3:] {
		reached[upstream] = true
	}
	for _, upstream := range all[:3] {
		tracker.Connected(upstream, false, now)
	}
	probes := 0
	const seconds = 20
	for range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		probes += probeAll(tracker, all, reached, now)
	}
	if share := tracker.Share(all, len(all), now); share < 0.5 {
		t.Errorf("a share of %.2f counts as reached", share)
	}
	// The lost ones, every maxProbeInterval, and comparedUpstreams others in each second.
	if bound := 3*(seconds/2+3) + seconds*(comparedUpstreams+1); probes > bound {
		t.Errorf("%d probes in %d s, bound %d", probes, seconds, bound)
	}
}

// Guards against probes that are never made again, or doubts that never end, because an upstream
// went while it was probed or was named twice.
func TestGoneUpstreamsLeaveNothingBehind(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	for i := range 3 * maxProbes {
		upstream := fmt.Sprint("u", i)
		tracker.Connected(upstream, false, now)
		if due := tracker.Probes([]string{upstream, upstream}, now); len(due) != 1 {
			t.Fatalf("upstream %d: probes of %v", i, due)
		}
		tracker.Forget(upstream)
		tracker.Probed(upstream, false, now)
	}
	if tracker.InDoubt(now) || tracker.probing != 0 {
		t.Errorf("in doubt %t, %d probes under way", tracker.InDoubt(now), tracker.probing)
	}
}
