package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// modelEntry is a simulated entry.
type modelEntry struct {
	host      string
	allowance *Allowance
	// running is false while the entry is stopped, and connected is true while it receives
	// updates from the control group. pausedUntil is the time until which it is paused.
	running, connected bool
	pausedUntil        time.Time
}

// model simulates a leader, relays with delayed updates, and entries that send as many
// requests as they may to one cold upstream.
type model struct {
	random  *rand.Rand
	now     time.Time
	granter *Granter
	elected time.Time
	entries []*modelEntry
	sent    []time.Time
	started int
	// perSecond is the rate that the upstream sustains.
	perSecond float64
	cold      bool
}

func (m *model) start() {
	m.started++
	m.entries = append(m.entries, &modelEntry{
		host: fmt.Sprintf("e%d", m.started), allowance: NewAllowance(m.now), running: true, connected: true,
	})
}

func (m *model) any() *modelEntry { return m.entries[m.random.IntN(len(m.entries))] }

// injectFault injects one fault or change of membership.
func (m *model) injectFault() {
	switch e := m.any(); m.random.IntN(8) {
	case 0:
		m.start()
	case 1:
		e.running = false
	case 2:
		// The entry restarts under its name without knowledge of the requests that it sent.
		e.running, e.allowance = true, NewAllowance(m.now)
	case 3:
		e.connected = !e.connected
	case 4:
		e.pausedUntil = m.now.Add(time.Duration(m.random.IntN(4000)) * time.Millisecond)
	case 5:
		m.granter, m.elected = NewGranter(m.now), m.now
	case 6:
		m.cold = !m.cold
	}
}

// step advances the time by 20 ms: the leader updates the grants, some entries receive
// them, and all send what they may.
func (m *model) step() {
	m.now = m.now.Add(20 * time.Millisecond)
	var listed []string
	for _, e := range m.entries {
		if e.running && e.connected && !m.now.Before(e.pausedUntil) {
			listed = append(listed, e.host)
		}
	}
	var cold []Cold
	if m.cold {
		cold = []Cold{{Upstream: "u", PerSecond: m.perSecond}}
	}
	m.granter.Update(cold, listed, m.now)
	grants, revision := m.granter.Grants()
	for _, e := range m.entries {
		if !e.running || m.now.Before(e.pausedUntil) {
			continue
		}
		if e.connected && revision > 0 && m.random.IntN(5) == 0 {
			delay := time.Duration(m.random.IntN(500)) * time.Millisecond
			if confirmed := m.now.Add(-delay); !confirmed.Before(m.elected) {
				e.allowance.SetGrants(GrantsFor(grants, e.host), confirmed)
			}
		}
		for e.allowance.Allows("u", m.now) {
			e.allowance.RecordSent("u", m.now)
			m.sent = append(m.sent, m.now)
		}
	}
}

// maxRequests returns the largest number of requests in any Window.
func (m *model) maxRequests() int {
	maxRequests, from := 0, 0
	for to, at := range m.sent {
		for at.Sub(m.sent[from]) >= Window {
			from++
		}
		maxRequests = max(maxRequests, to-from+1)
	}
	return maxRequests
}

// Entries together must never send a cold upstream more than it sustains, while entries
// join, stop, restart, are partitioned or paused, and leaders change.
func TestGrantsNeverExceedSustainedRate(t *testing.T) {
	for _, size := range []struct {
		entries   int
		perSecond float64
	}{{1, 22}, {3, 5}, {9, 22}, {79, 22}, {300, 25}} {
		for seed := range uint64(40) {
			m := &model{random: rand.New(rand.NewPCG(seed, uint64(size.entries))), now: time.Unix(1000, 0), perSecond: size.perSecond, cold: true}
			m.granter, m.elected = NewGranter(m.now), m.now
			for range size.entries {
				m.start()
			}
			for step := range 600 {
				m.step()
				if step%10 == 0 && seed%4 != 0 {
					m.injectFault()
				}
			}
			if maxRequests := m.maxRequests(); maxRequests > int(size.perSecond) {
				t.Fatalf("%d entries, seed %d: %d requests in one second, %v sustained", size.entries, seed, maxRequests, size.perSecond)
			}
			if seed%4 == 0 && m.maxRequests() < int(size.perSecond)*3/4 {
				t.Errorf("%d entries, without faults: at most %d requests a second of %v sustained", size.entries, m.maxRequests(), size.perSecond)
			}
		}
	}
}

// The grants for a whole data centre of cold upstreams must not outgrow an answer.
func TestGrantsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGranter(now.Add(-time.Minute))
	var cold []Cold
	var entries []string
	for i := range 1000 {
		cold = append(cold, Cold{Upstream: fmt.Sprint("u", i), PerSecond: 22})
	}
	for i := range 300 {
		entries = append(entries, fmt.Sprint("e", i))
	}
	g.Update(cold, entries, now)
	if grants, _ := g.Grants(); len(grants) > MaxGrants+22 || len(grants) < MaxGrants {
		t.Errorf("%d grants, want about MaxGrants", len(grants))
	}
}

// An entry that stays must keep its grant. Otherwise its requests would be lost for the
// seconds in which the former holder's grant expires.
func TestRemainingEntriesKeepGrants(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGranter(now.Add(-time.Minute))
	cold := []Cold{{Upstream: "u", PerSecond: 22}}
	var entries []string
	for i := range 79 {
		entries = append(entries, fmt.Sprint("e", i))
	}
	g.Update(cold, entries, now)
	before, _ := g.Grants()
	removed := before[0].Host
	g.Update(cold, append(slices.DeleteFunc(slices.Clone(entries), func(host string) bool { return host == removed }), "new"), now)
	after, _ := g.Grants()
	if len(after) != len(before)-1 || !slices.Equal(after, before[1:]) {
		t.Errorf("grants %v became %v", before, after)
	}
}

func TestProbesStayWithinSustainedRate(t *testing.T) {
	for _, entries := range []int{0, 1, 9, 79, 300} {
		every := ProbeInterval(22, entries)
		if perSecond := float64(max(entries, 1)) / every.Seconds(); perSecond > 11.001 {
			t.Errorf("%d entries: %.1f probes a second", entries, perSecond)
		}
	}
	if ProbeInterval(0, 9) != 0 {
		t.Error("Every is not 0 for an upstream that is never cold")
	}
}
