package simtree

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/lease"
)

// Bounds at the target size set by the users: 670 entries behind 49 relays and
// the leader.
const (
	targetEntries = 670
	targetRelays  = 49
	// budgetBytesPerSecond is half of an entry's budget of control traffic.
	budgetBytesPerSecond = 6500
	// inForceLimit bounds the time until a change is in force with one relay
	// lost.
	inForceLimit = 4 * time.Second
)

func worstEntryRate(w *World, before map[string]Traffic, over time.Duration) (bytesPerSecond float64) {
	for _, host := range w.Entries() {
		grown := w.Traffic(host).Bytes - before[string(host)].Bytes
		bytesPerSecond = max(bytesPerSecond, float64(grown)/over.Seconds())
	}
	return bytesPerSecond
}

func trafficOf(w *World) map[string]Traffic {
	all := make(map[string]Traffic)
	for _, host := range w.Entries() {
		all[string(host)] = w.Traffic(host)
	}
	return all
}

// At the target size, a change must be in force at every entry within four seconds
// although a relay crashed just before, and the control traffic without changes
// must stay below half of its budget for every entry.
func TestTargetSize(t *testing.T) {
	w := newWorld(t, Options{Seed: 3, Relays: targetRelays, Entries: targetEntries, DataCentres: 7, Delay: 5 * time.Millisecond}, Faults{})
	w.Run(5 * time.Second)
	if got := w.ServingCount(); got != targetEntries {
		t.Fatalf("%d of %d entries serve", got, targetEntries)
	}
	before := trafficOf(w)
	const quiet = 4 * time.Second
	w.Run(quiet)
	rate := worstEntryRate(w, before, quiet)
	t.Logf("steady: %.0f B/s at the busiest entry", rate)
	if rate > budgetBytesPerSecond {
		t.Errorf("steady control traffic of %.0f B/s exceeds %d", rate, budgetBytesPerSecond)
	}
	revision := changeToken(t, w, 1)
	took, _ := w.RunUntil(10*time.Second, func() bool { return w.InForce() >= revision })
	t.Logf("in force everywhere after %s", took)
	w.Kill("relay-007")
	revision = changeToken(t, w, 2)
	took, ok := w.RunUntil(10*time.Second, func() bool { return w.InForce() >= revision })
	t.Logf("in force everywhere after %s with one relay lost", took)
	if !ok || took > inForceLimit {
		t.Errorf("in force after %s with one relay lost, limit %s", took, inForceLimit)
	}
	if took > lease.GranterTerm(2*time.Second)+time.Second {
		t.Errorf("a lost relay delays a change by %s, more than one lease plus 1 s", took)
	}
	w.Run(5 * time.Second)
	if got := w.ServingCount(); got != targetEntries {
		t.Errorf("%d of %d entries serve after the relay was lost", got, targetEntries)
	}
}
