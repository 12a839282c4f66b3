package capacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/adapter/announce"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/rollout"
	"github.com/lovagereach/lovagereach/upstream"
)

// The report intervals of upstreams are computed from these message sizes. If a
// message grows beyond the size that ReportIntervalsFor assumes, daemons exceed
// their traffic budget unnoticed.
func TestReportIntervalsAssumeMessageSizes(t *testing.T) {
	checks := []struct {
		path    string
		message any
		bound   float64
	}{
		{announce.PathLoad, wireReport(0), upstream.ReportWireBytes},
		{announce.PathLoad, wireReport(2), upstream.ReportWireBytes},
		{announce.PathEvents, wireEvents(1), upstream.EventsWireBytes},
		{announce.PathAnnouncement, wireAnnouncement(1), 900},
	}
	for _, c := range checks {
		bytes, err := ExchangeBytes(c.path, c.message)
		if err != nil {
			t.Fatal(err)
		}
		if bytes > c.bound || bytes < c.bound/2 {
			t.Errorf("%s costs %.0f B, assumed %.0f", c.path, bytes, c.bound)
		}
	}
}

// The size of these messages must not grow with the deployment.
func TestBytesOfOneMessage(t *testing.T) {
	delta := oneTeamDelta(1_000_000, 27_000, 1)
	checks := map[string]struct {
		message any
		bound   int
	}{
		"change of one team": {config.Update{Delta: &delta}, 100},
		"summary of a cell":  {sampleSummary(TargetCells - 1), 80},
	}
	for name, c := range checks {
		if size := len(wire.MustMarshal(c.message)); size > c.bound {
			t.Errorf("%s has %d B, want at most %d", name, size, c.bound)
		}
	}
}

// The tree's traffic at one daemon must not depend on the number of other daemons.
func TestDaemonTrafficIsIndependentOfSize(t *testing.T) {
	few, err := entryTraffic(70)
	if err != nil {
		t.Fatal(err)
	}
	many, err := entryTraffic(280)
	if err != nil {
		t.Fatal(err)
	}
	if many > 1.1*few || many > 600 {
		t.Errorf("%.0f B/s among 70 daemons, %.0f among 280", few, many)
	}
}

// Bounds the allocations of one step of frequent operations.
func TestAllocationsOfOneStep(t *testing.T) {
	directory, err := summariesOf(TargetCells)
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 1))
	pick := func() { directory.Pick(probeStart, "model-00", random) }
	if n := testing.AllocsPerRun(100, pick); n > 0 {
		t.Errorf("picking a cell allocates %.0f times", n)
	}
	pool, shares := poolOf(1), sharesOf(1_000)
	share := func() {
		if err := pool.SetShares(shares); err != nil {
			t.Fatal(err)
		}
	}
	if n := testing.AllocsPerRun(10, share); n > 0 {
		t.Errorf("setting the shares of 1,000 teams allocates %.0f times in each pool", n)
	}
	registry, err := registryOf(100)
	if err != nil {
		t.Fatal(err)
	}
	step := 0
	report := func() {
		step++
		now := probeStart.Add(time.Duration(step) * time.Millisecond)
		registry.Report(now, upstream.Report{Upstream: "runner-00001", Incarnation: 1, MeasuredAt: now})
	}
	if n := testing.AllocsPerRun(100, report); n > 2 {
		t.Errorf("a load report allocates %.0f times", n)
	}
	few, many := scheduleAllocs(100), scheduleAllocs(10_000)
	if many > few+64 { // slices and maps that grow by doubling
		t.Errorf("a load schedule allocates %.0f times for 100 runners, %.0f for 10,000", few, many)
	}
}

// The leader crashes, and its successor has an empty membership: all daemons attach
// again through their relays. The successor must receive messages from the relays,
// not from each daemon; otherwise a large deployment overloads its new leader when it
// is needed most.
func TestLeaderChangeCostsMessagesOfRelaysOnly(t *testing.T) {
	const daemons = 140
	messages, _, err := leaderChangeCost(daemons, relaysFor(daemons))
	if err != nil {
		t.Fatal(err)
	}
	if limit := 4 * float64(relaysFor(daemons)); messages > limit {
		t.Errorf("%.0f messages beyond the steady ones, want at most %.0f", messages, limit)
	}
	direct, _, err := leaderChangeCost(daemons, 0)
	if err != nil {
		t.Fatal(err)
	}
	if direct < float64(daemons) {
		t.Errorf("only %.0f messages without relays: those of the daemons are not counted", direct)
	}
}

// Two regions are partitioned. Daemons outside the leader's region must stop serving
// when their lease expires, those inside it continue. After the partition all must
// serve again within seconds, at a cost independent of its duration.
func TestPartitionedRegionsRecover(t *testing.T) {
	const daemons = 70
	short, err := measurePartition(daemons, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	long, err := measurePartition(daemons, 5*time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if short.serving < daemons/3 || short.serving >= daemons {
		t.Errorf("%.0f of %d daemons serve during the partition", short.serving, daemons)
	}
	if long.recovery > 10*time.Second || long.recoveryBytes > 1.5*short.recoveryBytes+4096 {
		t.Errorf("recovery after a minute %+v, after five %+v", short, long)
	}
}

// scheduleAllocs returns the number of allocations for scheduling the next load
// steps.
func scheduleAllocs(runners int) float64 {
	live, targets := outdatedFleet(runners)
	schedule := rollout.NewSchedule(rollout.Options{MaxConcurrent: 3, Bound: 15 * time.Second, Notice: 200 * time.Millisecond})
	now := probeStart.Add(9 * time.Second)
	return testing.AllocsPerRun(10, func() { schedule.Next(live, targets, now) })
}

// The state of the quarantine and its message to an entry must stay bounded,
// however many upstreams crash.
func TestQuarantineIsBounded(t *testing.T) {
	const maxAnswerBytes, maxHeapBytes = 10 << 10, 2 << 20
	if size := quarantineAnswerBytes(); size > maxAnswerBytes {
		t.Errorf("the message to an entry has %d B, want at most %d", size, maxAnswerBytes)
	}
	if bytes := HeapBytes(func() any { return quarantineOf(4 * quarantine.MaxCrashes) }); bytes > maxHeapBytes {
		t.Errorf("the tracker holds %.0f B, want at most %d", bytes, maxHeapBytes)
	}
}

// Records of streams must stay within a daemon's memory at a control host, however many begin.
func TestRecordsOfStreamsAreBounded(t *testing.T) {
	for _, p := range OriginProbes() {
		if p.Role != "voter" {
			continue
		}
		for _, n := range []int{TargetRequestsPerSec, 4 * TargetRequestsPerSec} {
			value, err := p.Measure(n)
			if err != nil {
				t.Fatal(err)
			}
			if value > LimitBytes {
				t.Errorf("%s: %.0f B at %d streams a second, want at most %d", p.Name, value, n, LimitBytes)
			}
		}
	}
}
