package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// modelEntry is an entry of the model: what it was told, and what it sends.
type modelEntry struct {
	host      string
	allowance *Allowance
	// runs is false after its end, reached while it hears from control, and frozen until
	// when it stands still.
	runs, reached bool
	frozen        time.Time
}

// model plays a leader, relays whose word is late, and entries that send as much as they
// may to one cold upstream.
type model struct {
	random  *rand.Rand
	now     time.Time
	granter *Granter
	elected time.Time
	entries []*modelEntry
	sent    []time.Time
	started int
	// perSecond is what the upstream bears.
	perSecond float64
	cold      bool
}

func (m *model) start() {
	m.started++
	m.entries = append(m.entries, &modelEntry{
		host: fmt.Sprintf("e%d", m.started), allowance: NewAllowance(m.now), runs: true, reached: true,
	})
}

func (m *model) any() *modelEntry { return m.entries[m.random.IntN(len(m.entries))] }

// disturb brings one fault or change of membership.
func (m *model) disturb() {
	switch e := m.any(); m.random.IntN(8) {
	case 0:
		m.start()
	case 1:
		e.runs = false
	case 2:
		// It starts again under its name, and knows nothing of what it sent.
		e.runs, e.allowance = true, NewAllowance(m.now)
	case 3:
		e.reached = !e.reached
	case 4:
		e.frozen = m.now.Add(time.Duration(m.random.IntN(4000)) * time.Millisecond)
	case 5:
		m.granter, m.elected = NewGranter(m.now), m.now
	case 6:
		m.cold = !m.cold
	}
}

// step lets 20 ms pass: the leader looks, some entries are told, all send what they may.
func (m *model) step() {
	m.now = m.now.Add(20 * time.Millisecond)
	var listed []string
	for _, e := range m.entries {
		if e.runs && e.reached && !m.now.Before(e.frozen) {
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
		if !e.runs || m.now.Before(e.frozen) {
			continue
		}
		if e.reached && revision > 0 && m.random.IntN(5) == 0 {
			late := time.Duration(m.random.IntN(500)) * time.Millisecond
			if confirmed := m.now.Add(-late); !confirmed.Before(m.elected) {
				e.allowance.SetGrants(GrantsFor(grants, e.host), confirmed)
			}
		}
		for e.allowance.Allows("u", m.now) {
			e.allowance.Sent("u", m.now)
			m.sent = append(m.sent, m.now)
		}
	}
}

// most is the largest number of requests in any Window.
func (m *model) most() int {
	most, from := 0, 0
	for to, at := range m.sent {
		for at.Sub(m.sent[from]) >= Window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// Guards against entries that send a cold upstream more than it bears, all together,
// while some join, end, start again, are cut off or stand still, and leaders change.
func TestGrantsNeverAddUpToMoreThanAnUpstreamBears(t *testing.T) {
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
					m.disturb()
				}
			}
			if most := m.most(); most > int(size.perSecond) {
				t.Fatalf("%d entries, seed %d: %d requests in one second, %v borne", size.entries, seed, most, size.perSecond)
			}
			if seed%4 == 0 && m.most() < int(size.perSecond)*3/4 {
				t.Errorf("%d entries, undisturbed: %d requests a second of %v", size.entries, m.most(), size.perSecond)
			}
		}
	}
}

// Guards against a whole data centre of cold upstreams whose grants outgrow an answer.
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
		t.Errorf("%d grants", len(grants))
	}
}

// Guards against grants that wander: an entry that stays keeps its own, so that what it
// may send is not lost for the seconds in which a former grant runs out.
func TestAnEntryThatStaysKeepsItsGrant(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGranter(now.Add(-time.Minute))
	cold := []Cold{{Upstream: "u", PerSecond: 22}}
	var entries []string
	for i := range 79 {
		entries = append(entries, fmt.Sprint("e", i))
	}
	g.Update(cold, entries, now)
	before, _ := g.Grants()
	lost := before[0].Host
	g.Update(cold, append(slices.DeleteFunc(slices.Clone(entries), func(host string) bool { return host == lost }), "new"), now)
	after, _ := g.Grants()
	if len(after) != len(before)-1 || !slices.Equal(after, before[1:]) {
		t.Errorf("%v became %v", before, after)
	}
}

func TestProbesOfAllEntriesStayWithinWhatAnUpstreamBears(t *testing.T) {
	for _, entries := range []int{0, 1, 9, 79, 300} {
		every := Every(22, entries)
		if perSecond := float64(max(entries, 1)) / every.Seconds(); perSecond > 11.001 {
			t.Errorf("%d entries: %.1f a second", entries, perSecond)
		}
	}
	if Every(0, 9) != 0 {
		t.Error("an upstream that is never cold waits")
	}
}
