package ratelimit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// window, factor and slack bound the requests to a limited upstream: in any window factor
	// times what its limit allows, and slack more.
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
)

// moreSeeds multiplies the seeds of the randomized test, for longer runs by hand.
var moreSeeds = flag.Int("more-seeds", 1, "factor for the number of seeds")

// modelEntry is a simulated entry.
type modelEntry struct {
	host      string
	allowance *Allowance
	rate      float64
	// running is false while the entry is stopped, connected true while it reaches the control
	// group, and reaching true while it receives answers of the upstream.
	running, connected, reaching bool
	pausedUntil                  time.Time
}

// model simulates a leader, entries and one upstream that names a limit in its answers. Entries
// send whatever they may.
type model struct {
	random  *rand.Rand
	now     time.Time
	known   *Observations
	divider *Divider
	elected time.Time
	entries []*modelEntry
	started int
	limit   Limit
	// sent holds the times of all requests and the limit named at that time.
	sent   []time.Time
	limits []float64
	// faults are the faults that may be injected.
	faults []int
}

const (
	faultStart = iota
	faultStop
	faultRestart
	faultPartition
	faultPause
	faultLeader
	faultLimit
	faultIdle
	faultPartitionAll
	faultCount
)

func newModel(seed uint64, entries int, perSecond float64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), limit: Limit{Limited: true, PerSecond: perSecond}}
	for range entries {
		m.start()
	}
	m.elect()
	return m
}

func (m *model) elect() {
	m.known, m.divider, m.elected = NewObservations(), NewDivider(m.now), m.now
}

func (m *model) start() {
	m.started++
	m.entries = append(m.entries, &modelEntry{
		host: fmt.Sprintf("e%d", m.started), allowance: NewAllowance(fmt.Sprintf("e%d", m.started)), rate: 10, running: true, connected: true, reaching: true,
	})
}

func (m *model) injectFault() {
	e := m.entries[m.random.IntN(len(m.entries))]
	switch m.faults[m.random.IntN(len(m.faults))] {
	case faultStart:
		m.start()
	case faultStop:
		e.running = false
	case faultRestart:
		e.running, e.allowance = true, NewAllowance(e.host)
	case faultPartition:
		e.connected = !e.connected
	case faultPause:
		e.pausedUntil = m.now.Add(time.Duration(m.random.IntN(4000)) * time.Millisecond)
	case faultLeader:
		m.elect()
	case faultLimit:
		m.limit = Limit{Limited: true, PerSecond: m.limit.PerSecond * (0.5 + m.random.Float64())}
	case faultIdle:
		e.rate = 10 - e.rate
	case faultPartitionAll:
		connected := m.random.IntN(2) == 0
		for _, other := range m.entries {
			other.connected = connected
		}
	}
}

// step advances the time by 20 ms.
func (m *model) step() {
	m.now = m.now.Add(20 * time.Millisecond)
	var busy []Entry
	running := 0
	for _, e := range m.entries {
		if e.running && e.connected && !m.now.Before(e.pausedUntil) && e.rate > 0 {
			busy = append(busy, Entry{Host: e.host, Rate: e.rate})
		}
		if e.running {
			running++
		}
	}
	m.divider.Update(m.known.List(m.now), busy, m.now)
	shares, revision := m.divider.Shares()
	for _, e := range m.entries {
		if !e.running || m.now.Before(e.pausedUntil) {
			continue
		}
		if e.connected && m.random.IntN(6) == 0 {
			for _, o := range e.allowance.Unlisted(m.now) {
				m.known.Record(o.Upstream, o.StartedMs, o.Limit, m.now.Add(-o.Age), m.now)
			}
			e.allowance.SetList(m.known.List(m.now), m.now, m.now)
			e.allowance.SetEntries(running)
			delay := time.Duration(m.random.IntN(400)) * time.Millisecond
			if confirmed := m.now.Add(-delay); revision > 0 && !confirmed.Before(m.elected) {
				e.allowance.SetShares(SharesFor(shares, e.host), confirmed, m.now)
			}
		}
		for e.rate > 0 && e.allowance.Limit("u").Limited && e.allowance.Allows("u", m.now) {
			e.allowance.RecordSent("u", m.now)
			e.allowance.Record("u", 0, m.limit, m.now, m.now)
			m.sent, m.limits = append(m.sent, m.now), append(m.limits, m.limit.PerSecond)
		}
	}
}

// introduce makes all entries know the limit. They have been in contact with the control group:
// before, an entry has no configuration and sends nothing.
func (m *model) introduce() {
	for _, e := range m.entries {
		e.allowance.SetEntries(len(m.entries))
		e.allowance.Record("u", 0, m.limit, m.now, m.now)
	}
}

// worst returns the window with the most requests beyond the bound: their number and the bound by
// the highest limit that was named since a second before the window.
func (m *model) worst() (most int, bound float64) {
	excess, from := -1e9, 0
	for to, at := range m.sent {
		for at.Sub(m.sent[from]) >= window {
			from++
		}
		highest := 0.0
		for i := from; i >= 0 && m.sent[from].Sub(m.sent[i]) <= time.Second; i-- {
			highest = max(highest, m.limits[i])
		}
		for i := from; i <= to; i++ {
			highest = max(highest, m.limits[i])
		}
		allowed := factor*window.Seconds()*highest + slack
		if n := to - from + 1; float64(n)-allowed > excess {
			excess, most, bound = float64(n)-allowed, n, allowed
		}
	}
	return most, bound
}

// Guards against entries that together send a limited upstream more than its limit allows, while
// they start, stop, restart, pause, become idle or are partitioned, leaders change and so does the
// limit.
func TestSharesNeverExceedLimit(t *testing.T) {
	all := make([]int, faultCount)
	for i := range all {
		all[i] = i
	}
	for _, entries := range []int{1, 7, 64, 300} {
		for _, perSecond := range []float64{0, 0.4, 1.9, 5.8, 60} {
			for name, faults := range map[string][]int{"all": all, "leaders": {faultLeader, faultPartitionAll}, "limits": {faultLimit, faultIdle}} {
				for seed := range uint64(*moreSeeds * max(1, 200/(10+entries))) {
					m := newModel(seed, entries, perSecond)
					m.faults = faults
					m.introduce()
					for range 1000 {
						if m.random.IntN(25) == 0 {
							m.injectFault()
						}
						m.step()
					}
					if most, bound := m.worst(); float64(most) > bound {
						t.Errorf("%d entries, limit %v, faults %s, seed %d: %d requests in %v, bound %.0f", entries, perSecond, name, seed, most, window, bound)
					}
				}
			}
		}
	}
}

// Guards against shares that entries hold beyond the limit, if not all of them are used: those of a
// former holder, of an earlier leader, or of a limit that was higher until a moment ago.
func TestSharesHeldNeverExceedLimit(t *testing.T) {
	for _, entries := range []int{7, 64} {
		for seed := range uint64(5 * *moreSeeds) {
			m := newModel(seed, entries, 5.8)
			m.faults = []int{faultStop, faultRestart, faultPartition, faultPause, faultLeader, faultLimit, faultIdle}
			m.introduce()
			// A share counts until Validity after it was confirmed, at most 0.4 s before it arrived.
			changed, highest := m.now, m.limit.PerSecond
			for range 1000 {
				if m.random.IntN(25) == 0 {
					before := m.limit.PerSecond
					if m.injectFault(); m.limit.PerSecond != before {
						changed, highest = m.now, max(highest, m.limit.PerSecond)
					}
				}
				if m.now.Sub(changed) >= 2*Validity {
					highest = m.limit.PerSecond
				}
				m.step()
				held := 0.0
				for _, e := range m.entries {
					if m.now.Before(e.allowance.validUntil) {
						held += e.allowance.shares["u"]
					}
				}
				if held > highest*1.0001 {
					t.Fatalf("%d entries, seed %d: shares of %.2f a second are held of a limit of %.2f", entries, seed, held, highest)
				}
			}
		}
	}
}

// Guards against shares that lie idle at entries without requests, or at entries that have left,
// while others could use them.
func TestSharesFollowTheRequests(t *testing.T) {
	for _, perSecond := range []float64{0.4, 1.9, 5.8, 60} {
		m := newModel(1, 8, perSecond)
		m.introduce()
		for range 200 {
			m.step()
		}
		for i, e := range m.entries {
			e.rate = map[bool]float64{true: 10}[i == 5]
			e.running = i != 3
		}
		for range 400 {
			m.step()
		}
		before := len(m.sent)
		for range 1000 {
			m.step()
		}
		if rate := float64(len(m.sent)-before) / 20; rate < 0.9*perSecond-0.1 {
			t.Errorf("limit %v: the only entry with requests sends %.2f a second", perSecond, rate)
		}
	}
}

// Guards against entries that keep to a limit after it has ended, those without contact to the
// upstream or to the control group included.
func TestEndOfLimitIsLearned(t *testing.T) {
	now := time.Unix(1000, 0)
	limited := Limit{Limited: true, PerSecond: 5}
	entry, leader := NewAllowance("e1"), NewObservations()
	entry.Record("u", 1, limited, now, now)
	leader.Record("u", 1, limited, now, now)
	entry.SetList(leader.List(now), now, now)
	if len(entry.Unlisted(now)) != 0 {
		t.Error("a listed limit is reported again")
	}
	if entry.Record("u", 1, Limit{}, now.Add(-time.Millisecond), now); !entry.Limit("u").Limited {
		t.Error("an older answer ended the limit")
	}
	leader.Record("u", 1, Limit{}, now.Add(time.Second), now.Add(time.Second))
	now = now.Add(2 * time.Second)
	entry.SetList(leader.List(now), now, now)
	if entry.Limit("u").Limited || !entry.Allows("u", now) {
		t.Error("the limit has ended and is still kept")
	}
	leader.Retain(func(string, uint64) bool { return true }, now.Add(forgetAfter))
	if len(leader.List(now)) != 0 {
		t.Error("the leader lists a limit that ended long ago")
	}

	absent := NewAllowance("e2")
	absent.Record("u", 1, limited, now, now)
	absent.SetList(nil, now, now)
	if !absent.Limit("u").Limited {
		t.Error("a limit was dropped because a new leader doesn't know it yet")
	}
	if now = now.Add(forgetAfter); absent.Limit("u").Limited {
		absent.ConfirmList(now)
	}
	if absent.Limit("u").Limited {
		t.Error("a limit that no control host lists is kept for good")
	}
}

// Guards against limits of an earlier incarnation that apply to the next one.
func TestLimitEndsWithItsIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	leader := NewObservations()
	leader.Record("u", 1, Limit{Limited: true, PerSecond: 5}, now, now)
	leader.Retain(func(_ string, startedMs uint64) bool { return startedMs == 2 }, now)
	if len(leader.List(now)) != 0 {
		t.Error("the limit of an incarnation that has ended is listed")
	}
}
