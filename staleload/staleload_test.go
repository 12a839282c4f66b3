package staleload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const age = 100 * time.Millisecond

func upstreams(loads ...float64) []Upstream {
	var list []Upstream
	for _, load := range loads {
		list = append(list, Upstream{Load: load, Capacity: 1, Age: age})
	}
	return list
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6*math.Max(1, math.Abs(b)) }

func TestExpect(t *testing.T) {
	cases := []struct {
		name  string
		list  []Upstream
		perMs float64
		level float64
		work  []float64
	}{
		{"nothing is sent", upstreams(0, 10, 30), 0, 0, []float64{0, 0, 0}},
		{"the least loaded is filled first", upstreams(0, 10, 30), 0.05, 5, []float64{5, 0, 0}},
		{"then all below the level", upstreams(0, 10, 30), 0.3, 20, []float64{20, 10, 0}},
		{"all", upstreams(0, 10, 30), 1, 140.0 / 3, []float64{140.0 / 3, 110.0 / 3, 50.0 / 3}},
		{"idle time counts below zero", upstreams(-100, 50), 0.9, -10, []float64{90, 0}},
		{"none is available", upstreams(math.Inf(1)), 1, math.Inf(-1), []float64{0}},
		{"one is not available", upstreams(0, math.Inf(1)), 0.05, 5, []float64{5, 0}},
		{"by capacity", []Upstream{{Load: 0, Capacity: 3, Age: age}, {Load: 0, Capacity: 1, Age: age}}, 0.08, 2, []float64{2, 2}},
		{"a newer report", []Upstream{{Load: 0, Capacity: 1, Age: age}, {Load: 0, Capacity: 1, Age: age / 4}}, 0.4, 20, []float64{20, 5}},
		{"a report from the future", []Upstream{{Load: 0, Capacity: 1, Age: age}, {Load: 0, Capacity: 1, Age: -age}}, 0.4, 20, []float64{20, 0}},
		{"no upstream", nil, 1, math.Inf(-1), nil},
	}
	for _, c := range cases {
		spread := Expect(c.list, c.perMs, time.Second)
		if !near(spread.Level, c.level) && spread.Level != c.level {
			t.Errorf("%s: level %v, want %v", c.name, spread.Level, c.level)
		}
		for i, u := range c.list {
			if got := spread.Work(u); !near(got, c.work[i]) {
				t.Errorf("%s: work %v at %d, want %v", c.name, got, i, c.work[i])
			}
		}
	}
}

// Guards against work that is lost or invented: whatever the loads, what is expected at all upstreams
// adds up to what was sent, and no upstream above the level gets any.
func TestExpectedWorkAddsUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		list := make([]Upstream, 1+random.IntN(300))
		for i := range list {
			list[i] = Upstream{Load: 1000 * (random.Float64() - 0.3), Capacity: 1 + 9*random.Float64(), Age: age}
		}
		perMs := 100 * random.Float64()
		spread := Expect(list, perMs, time.Second)
		total := 0.0
		for _, u := range list {
			total += spread.Work(u) * u.Capacity
		}
		if !near(total, perMs*100) {
			t.Fatalf("%v of %v is expected", total, perMs*100)
		}
	}
}

// Guards against absurd choices when reports stop: the expected work stays bounded, and the draw
// becomes nearly even.
func TestReportsStop(t *testing.T) {
	list := upstreams(0, 30, 60)
	for i := range list {
		list[i].Age = time.Hour
	}
	spread := Expect(list, 3, time.Second)
	if spread.Level != 1030 {
		t.Errorf("the level is %v", spread.Level)
	}
	if most, least := spread.Room(list[0]), spread.Room(list[2]); most > 1.1*least {
		t.Errorf("an upstream is drawn with %v, another with %v", most, least)
	}
}

func TestRate(t *testing.T) {
	var r Rate
	now := time.Unix(1000, 0)
	if r.PerMs(now) != 0 {
		t.Error("a rate without work isn't 0")
	}
	for range 5000 {
		now = now.Add(10 * time.Millisecond)
		r.Add(20, now)
	}
	if got := r.PerMs(now); got < 1.9 || got > 2.1 {
		t.Errorf("%v work per ms, want 2", got)
	}
	if got := r.PerMs(now.Add(10 * time.Second)); got > 0.001 {
		t.Errorf("%v work per ms after 10 s without any", got)
	}
	var i Interval
	for range 50 {
		now = now.Add(40 * time.Millisecond)
		i.Observe(now)
	}
	if got := i.Mean(); got < 39*time.Millisecond || got > 41*time.Millisecond {
		t.Errorf("interval %v, want 40 ms", got)
	}
}

func BenchmarkExpect(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	list := make([]Upstream, 144)
	for i := range list {
		list[i] = Upstream{Load: 1000 * random.Float64(), Capacity: 1, Age: age}
	}
	for b.Loop() {
		Expect(list, 10, time.Second)
	}
}
