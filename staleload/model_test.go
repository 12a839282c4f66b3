package staleload

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// policy chooses among loads; d is the size of the random subset, 0 for all.
type policy struct {
	name   string
	expect bool
	d      func(model) int
}

// model is a crowd of entries before upstreams of which some are lost and back without any work
// after a second, while the others have fallen behind. Their work is known to all after ageMs.
type model struct {
	entries, upstreams, lost, ageMs int
	// use is the share of all upstreams' time that the work takes before the return, and 0.8 after it.
	use float64
}

type result struct {
	sends   int
	pending float64
}

// play returns the 99th percentile of the sends that an upstream got in the 150 ms before a send,
// and of the work in ms that was pending there, in the second after the return.
func (m model) play(p policy, seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 1))
	const endMs, returnMs, windowMs = 2000, 1000, 150
	type send struct {
		at, to int
		work   float64
	}
	backlog := make([]float64, m.upstreams)
	history := make([][]float64, endMs)
	own, rates := make([][]send, m.entries), make([]Rate, m.entries)
	sent := make([][]int, m.upstreams)
	var sends []int
	var pending []float64
	up := func(i, at int) bool { return i >= m.lost || at >= returnMs }
	loads := make([]Upstream, m.upstreams)
	due := 0.0
	// A send is long with a probability of 0.12.
	const meanWork = 0.88*6 + 0.12*150
	for now := range endMs {
		use := 0.8
		if now < returnMs {
			use = m.use
		}
		for due += use * float64(m.upstreams) / meanWork; due >= 1; due-- {
			entry, work := random.IntN(m.entries), 6.0
			if random.Float64() < 0.12 {
				work = 76 + 148*random.Float64()
			}
			seen := history[max(now-m.ageMs, 0)]
			for i := range loads {
				load := math.Inf(1)
				if up(i, now) {
					load = 0
					if seen != nil {
						load = seen[i] - float64(m.ageMs)
					}
				}
				loads[i] = Upstream{Load: load, Capacity: 1, Age: time.Duration(m.ageMs) * time.Millisecond}
			}
			own[entry] = slices.DeleteFunc(own[entry], func(s send) bool { return s.at < now-m.ageMs })
			for _, s := range own[entry] {
				loads[s.to].Load += s.work
			}
			clock := time.Unix(0, 0).Add(time.Duration(now) * time.Millisecond)
			spread := Expect(loads, rates[entry].PerMs(clock)*float64(m.entries-1), time.Second)
			to := p.choose(m, loads, spread, random)
			rates[entry].Add(work, clock)
			own[entry] = append(own[entry], send{now, to, work})
			if now >= returnMs {
				recent := 0
				for k := len(sent[to]) - 1; k >= 0 && sent[to][k] > now-windowMs; k-- {
					recent++
				}
				sends, pending = append(sends, recent), append(pending, backlog[to])
			}
			sent[to] = append(sent[to], now)
			backlog[to] += work
		}
		for i := range backlog {
			backlog[i] = max(backlog[i]-1, 0)
		}
		history[now] = slices.Clone(backlog)
	}
	slices.Sort(sends)
	slices.Sort(pending)
	return result{sends[len(sends)*99/100], pending[len(pending)*99/100]}
}

func (p policy) choose(m model, loads []Upstream, spread Spread, random *rand.Rand) int {
	best, bestLoad, bestDraw := -1, math.Inf(1), 0.0
	d := len(loads)
	if p.d != nil {
		d = p.d(m)
	}
	start := random.IntN(len(loads))
	for k := range d {
		i := (start + k) % len(loads)
		if p.d != nil {
			i = random.IntN(len(loads))
		}
		load, draw := loads[i].Load, random.Float64()
		if p.expect {
			load += spread.Work(loads[i])
			draw = math.Pow(draw, 1/max(spread.Room(loads[i]), 1e-9))
		}
		step := math.Floor(max(load, 0) / 0.5)
		if best < 0 || step < bestLoad || step == bestLoad && draw > bestDraw {
			best, bestLoad, bestDraw = i, step, draw
		}
	}
	return best
}

// Guards against a crowd that all entries send to the few upstreams that have just returned. With
// reports that are 70 ms old, sends and waits there must be nearer to those with reports that are
// 1 ms old than to those of the usual choice, at any number of entries; with older reports, waits must
// not be longer than by the usual choice.
func TestEntriesDoNotFollowEachOther(t *testing.T) {
	least, expect := policy{name: "least"}, policy{name: "expect", expect: true}
	// A random subset is the smaller, the more work is sent within a report's age.
	subset := policy{name: "subset", d: func(m model) int { return max(2, m.upstreams*10/(10+m.ageMs)) }}
	var fresh, usual, expected result
	for _, m := range []model{
		{7, 9, 1, 70, 1.3}, {64, 60, 1, 70, 1.3}, {64, 60, 1, 300, 1.3}, {74, 42, 1, 70, 1.3}, {300, 300, 4, 70, 1.3}, {64, 60, 20, 70, 1.3}, {64, 60, 20, 300, 1.3},
	} {
		now := m
		now.ageMs = 1
		f, l, e, s := now.play(least, 1), m.play(least, 1), m.play(expect, 1), m.play(subset, 1)
		t.Logf("%+v: fresh %v, least %v, expect %v, subset %v", m, f, l, e, s)
		if m.ageMs > 100 {
			if e.pending > l.pending {
				t.Errorf("%+v: waits of %v ms, %v by the usual choice", m, e.pending, l.pending)
			}
			continue
		}
		fresh.add(f)
		usual.add(l)
		expected.add(e)
	}
	if 2*expected.sends > fresh.sends+usual.sends || 2*expected.pending > fresh.pending+usual.pending {
		t.Errorf("sends and waits of %v, %v with fresh reports and %v by the usual choice", expected, fresh, usual)
	}
}

func (r *result) add(other result) {
	r.sends += other.sends
	r.pending += other.pending
}
