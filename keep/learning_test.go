package keep

import (
	"math"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// train runs a number of rounds in which the prompts of a class return after a
// gap. It returns the time at which they end.
func train(m *Manager, class ident.Class, team ident.Team, first, prompts, rounds int, gap func(i int) time.Duration) time.Time {
	random := testRandom()
	next := make([]time.Time, prompts)
	for i := range next {
		next[i] = epoch.Add(time.Duration(i) * time.Second)
	}
	end := epoch
	for range rounds {
		for i := range next {
			use := testUse(team, first+i, 2)
			use.Class = class
			m.RecordUse(next[i], use)
			next[i] = next[i].Add(gap(i))
			if next[i].After(end) {
				end = next[i]
			}
			m.Plan(next[i], random)
		}
	}
	return end
}

// Prompts of one class return within minutes, those of another almost never.
// When capacity is short the second class must be evicted first, and an unknown
// team is judged by its class until it has a record of its own.
func TestValueIsLearnedByClassAndTeam(t *testing.T) {
	m := testManager(t, Options{})
	now := train(m, "often", "a", 0, 10, 30, func(int) time.Duration { return 3 * time.Minute })
	for i := range 300 {
		use := testUse("a", 1000+i, 2)
		use.Class = "once"
		now = now.Add(time.Minute)
		m.RecordUse(now, use)
		m.Plan(now, testRandom())
	}
	gittinsIndex := func(team ident.Team, class ident.Class) float64 {
		return m.learner.levels(gapKey{team: team, class: class}).gittinsIndex(time.Minute, 0)
	}
	if gittinsIndex("a", "often") < 5*gittinsIndex("a", "once") {
		t.Errorf("index %v for returns within minutes, %v for almost none", gittinsIndex("a", "often"), gittinsIndex("a", "once"))
	}
	if gittinsIndex("new", "often") < 5*gittinsIndex("new", "once") {
		t.Errorf("new team: index %v for returns within minutes, %v for almost none", gittinsIndex("new", "often"), gittinsIndex("new", "once"))
	}
	if middle := gittinsIndex("a", "new"); middle <= gittinsIndex("a", "once") || middle >= gittinsIndex("a", "often") {
		t.Errorf("a new class has index %v, want one between those of the known classes", middle)
	}
}

// A change of behaviour must show in the record: a class that returned within
// minutes stops returning.
func TestGapRecordDecays(t *testing.T) {
	m := testManager(t, Options{})
	key := gapKey{team: "a", class: "c"}
	for range 5000 {
		m.learner.reach(key, 3)
		m.learner.returned(key, 3)
	}
	before := m.learner.levels(key).hazard(3)
	for range 2 * recordWindow {
		m.learner.reach(key, 3)
	}
	after := m.learner.levels(key).hazard(3)
	if before < 0.9 || after > 0.4 || math.IsNaN(after) {
		t.Fatalf("hazard %v before and %v after the change", before, after)
	}
}

// Schemas return every 90 minutes, when the runner has evicted them. A prefetch
// shortly before avoids the wait for the link at the first token. A prefetch of
// prompts without a pattern wastes link and runner capacity, and one over a
// busy link makes callers wait.
func TestPrefetchNeedsRegularGapsAndAnIdleLink(t *testing.T) {
	run := func(linkBusy float64, gap func(i int) time.Duration) (fetched int, early time.Duration) {
		p := newTestPlanner(t, Options{})
		p.m.UpdateStore(p.now, testStatus("s1", 1))
		train(p.m, "schema", "a", 0, 12, 12, gap)
		p.m.UpdateStore(p.now, testStatus("s1", 1))
		start := epoch.Add(48 * time.Hour)
		p.now = start
		use := testUse("a", 500, 2)
		use.Class = "schema"
		p.m.RecordUse(p.now, use)
		p.run(5*time.Second, nil)
		status := testStatus("s1", 1)
		status.LinkBusy = linkBusy
		p.m.UpdateStore(p.now, status)
		for p.now.Before(start.Add(3 * time.Hour)) {
			p.now = p.now.Add(10 * time.Second)
			plan := p.m.Plan(p.now, testRandom())
			writeAll(t, p.m, p.now, plan)
			for _, fetch := range plan.Prefetches {
				if fetch.Blocks[0] == use.Blocks[0] {
					fetched++
					early = p.now.Sub(start)
				}
			}
		}
		return fetched, early
	}
	regular := func(int) time.Duration { return 90 * time.Minute }
	fetched, at := run(0, regular)
	if fetched != 1 || at > 90*time.Minute || at < 45*time.Minute {
		t.Errorf("regular gaps of 90 minutes: %d prefetches, the last after %v", fetched, at)
	}
	if fetched, _ = run(busyLink, regular); fetched != 0 {
		t.Errorf("regular gaps over a busy link: %d prefetches", fetched)
	}
	fetched, _ = run(0, func(i int) time.Duration { return time.Duration(i*i+1) * 10 * time.Minute })
	if fetched != 0 {
		t.Errorf("gaps without a pattern: %d prefetches", fetched)
	}
}

// A prompt is used in bursts every 20 minutes, give or take a few seconds, with
// unrelated uses in between. The first request of a burst must find the prompt
// on a runner: prefetched much earlier it is evicted again, prefetched later
// the callers wait.
func TestPrefetchFollowsAClassCycle(t *testing.T) {
	p := newTestPlanner(t, Options{Residency: 100 * time.Second})
	p.m.UpdateStore(p.now, testStatus("s1", 1))
	random := testRandom()
	question, other := testUse("a", 1, 4), testUse("a", 1, 4)
	question.Class, other.Class = "clock", "letter"
	begins := []time.Duration{0, 1200, 2404, 3601, 4803}
	var leads []time.Duration
	for second := range time.Duration(5000) {
		p.now = epoch.Add(second * time.Second)
		for _, begin := range begins {
			if second >= begin && second < begin+8 && second%3 == 0 {
				p.m.RecordUse(p.now, question)
			}
		}
		if random.IntN(700) == 0 {
			p.m.RecordUse(p.now, other)
		}
		plan := p.m.Plan(p.now, random)
		writeAll(t, p.m, p.now, plan)
		for _, fetch := range plan.Prefetches {
			if fetch.Class == "clock" && !fetch.Expected.IsZero() {
				next := begins[len(leads)+len(begins)-2]
				leads = append(leads, next*time.Second-p.now.Sub(epoch))
			}
		}
	}
	if len(leads) != 2 {
		t.Fatalf("%d prefetches, want one each before the fourth and the fifth burst", len(leads))
	}
	for _, lead := range leads {
		if lead < 2*time.Second || lead > 40*time.Second {
			t.Errorf("prefetched %v before the burst, want 2s to 40s", lead)
		}
	}
}
