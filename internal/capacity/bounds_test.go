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

// The intervals of upstreams follow from these sizes. If a message grows beyond
// what PaceFor assumes, daemons pass their budget without any sign of it.
func TestPaceAssumesWhatMessagesCost(t *testing.T) {
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

// Messages whose size must not grow with the deployment.
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
			t.Errorf("%s has %d B, at most %d", name, size, c.bound)
		}
	}
}

// What a daemon costs the tree must not depend on how many others there are.
func TestTrafficOfADaemonIsIndependentOfTheOthers(t *testing.T) {
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
		t.Errorf("the shares of 1,000 teams allocate %.0f times in each pool", n)
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
	few, many := looksForLoads(100), looksForLoads(10_000)
	if many > few+64 { // lists and maps that double
		t.Errorf("a look for runners to load allocates %.0f times among 100, %.0f among 10,000", few, many)
	}
}

// The leader dies, and its successor knows no daemon: all attach anew, through
// their relays. The successor must hear from the relays, not from every daemon,
// or a large deployment drowns its new leader just when it is needed.
func TestLeaderChangeCostsMessagesOfRelaysOnly(t *testing.T) {
	const daemons = 140
	messages, _, err := rejoin(daemons, relaysFor(daemons))
	if err != nil {
		t.Fatal(err)
	}
	if limit := 4 * float64(relaysFor(daemons)); messages > limit {
		t.Errorf("%.0f messages beyond the steady ones, at most %.0f", messages, limit)
	}
	direct, _, err := rejoin(daemons, 0)
	if err != nil {
		t.Fatal(err)
	}
	if direct < float64(daemons) {
		t.Errorf("%.0f messages without relays: the count does not see the daemons", direct)
	}
}

// Two regions lose each other. Daemons away from the leader stop serving when
// their lease ends, those beside it go on, and after the healing all serve
// again within seconds, at no cost that grows with the time parted.
func TestPartedRegionsHeal(t *testing.T) {
	const daemons = 70
	short, err := partFor(daemons, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	long, err := partFor(daemons, 5*time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if short.serving < daemons/3 || short.serving >= daemons {
		t.Errorf("%.0f of %d serve while parted", short.serving, daemons)
	}
	if long.heal > 10*time.Second || long.healBytes > 1.5*short.healBytes+4096 {
		t.Errorf("healing after a minute %+v, after five %+v", short, long)
	}
}

// looksForLoads is how often one look for runners whose turn it is to load allocates.
func looksForLoads(runners int) float64 {
	live, namings := lackingFleet(runners)
	schedule := rollout.NewSchedule(rollout.Options{AtOnce: 3, Bound: 15 * time.Second, Notice: 200 * time.Millisecond})
	now := probeStart.Add(9 * time.Second)
	return testing.AllocsPerRun(10, func() { schedule.Next(live, namings, now) })
}

// What is told and kept of requests that end upstreams is bounded, however many end.
func TestQuarantineIsBounded(t *testing.T) {
	const toldMost, heldMost = 10 << 10, 2 << 20
	if size := verdictBytes(); size > toldMost {
		t.Errorf("an entry is told %d B, at most %d", size, toldMost)
	}
	if bytes := HeapBytes(func() any { return quarantineOf(4 * quarantine.MaxCrashes) }); bytes > heldMost {
		t.Errorf("%.0f B are held, at most %d", bytes, heldMost)
	}
}
