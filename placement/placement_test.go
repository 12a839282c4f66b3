package placement

import (
	"fmt"
	"testing"
	"time"
)

func runners(n int) []Runner {
	list := make([]Runner, n)
	for i := range list {
		list[i] = Runner{ID: fmt.Sprintf("r%d", i), DataCentre: "north", Slots: 12, Memory: 91000}
	}
	return list
}

func long() *Prompt {
	return &Prompt{Parts: []Part{{"shared", 12800}, {"own", 4200}}, Output: 20, TokenBytes: 18432, Whole: make([][]int, 2)}
}

func bigStore(dataCentre string) Store {
	return Store{Address: "s-" + dataCentre, DataCentre: dataCentre, LinkMbps: 83000, FirstByte: 6 * time.Millisecond, Capacity: 2000000, Open: true}
}

func choose(t *testing.T, p *Prompt, list []Runner, stores []Store) Choice {
	t.Helper()
	rates := DefaultRates()
	c, ok := Choose(&rates, "m.1", p, list, stores)
	if !ok {
		t.Fatal("no choice")
	}
	return c
}

func TestNoRunnerIsNoChoice(t *testing.T) {
	rates := DefaultRates()
	if _, ok := Choose(&rates, "m.1", long(), nil, nil); ok {
		t.Fatal("a choice among none")
	}
}

// Entries that know nothing of each other's requests send the same first part
// to the same runner, so that it is read once.
func TestFirstReadsMeetAtOneRunner(t *testing.T) {
	list := runners(18)
	first := choose(t, long(), list, nil)
	if !first.Home {
		t.Fatal("an idle fleet does not use the first runner by hash")
	}
	shifted := append(append([]Runner(nil), list[5:]...), list[:5]...)
	second := choose(t, long(), shifted, nil)
	if shifted[second.Runner].ID != list[first.Runner].ID {
		t.Fatalf("another order of runners: %s, want %s", shifted[second.Runner].ID, list[first.Runner].ID)
	}
	other := long()
	other.Parts[0].ID = "another"
	spread := map[int]bool{}
	for i := range 200 {
		other.Parts[0].ID = fmt.Sprint(i)
		spread[choose(t, other, list, nil).Runner] = true
	}
	if len(spread) < 16 {
		t.Fatalf("200 parts meet at %d of 18 runners", len(spread))
	}
}

func TestCachedPartDrawsTheRequest(t *testing.T) {
	list := runners(18)
	p := long()
	home := choose(t, p, list, nil).Runner
	has := (home + 7) % 18
	p.Cached = func(runner, part int) bool { return runner == has && part == 0 }
	if c := choose(t, p, list, nil); c.Runner != has {
		t.Fatalf("runner %d, the part is at %d", c.Runner, has)
	}
}

func TestBusyRunnersAreAvoided(t *testing.T) {
	cases := []struct {
		name string
		load func(*Runner)
	}{
		{"much to read", func(r *Runner) { r.PendingPrefill = 300000 }},
		{"memory full", func(r *Runner) { r.Tokens = 400000 }},
		{"slots full", func(r *Runner) { r.Requests = 90 }},
		{"distrusted", func(r *Runner) { r.HealthPenalty = 5 * time.Second }},
	}
	for _, c := range cases {
		list := runners(18)
		home := choose(t, long(), list, nil).Runner
		c.load(&list[home])
		if got := choose(t, long(), list, nil); got.Runner == home {
			t.Errorf("%s: the busy runner is chosen", c.name)
		}
	}
}

// Many shared parts come for the first time at once. The first runner by hash for
// one of them has no room for 800 ms, all others are idle. The prompt would wait for
// it and be refused, although nobody has read the part and any runner may begin.
// Entries that know nothing of each other still have to meet at one runner.
func TestFirstReadGoesPastAFullRunner(t *testing.T) {
	list := runners(18)
	first := choose(t, long(), list, nil).Runner
	list[first].Full, list[first].HealthPenalty = true, 800*time.Millisecond
	second := choose(t, long(), list, nil)
	if second.Runner == first || !second.Home {
		t.Fatalf("runner %d (first by hash %d), home %t", second.Runner, first, second.Home)
	}
	shifted := append(append([]Runner(nil), list[7:]...), list[:7]...)
	if again := choose(t, long(), shifted, nil); shifted[again.Runner].ID != list[second.Runner].ID {
		t.Fatalf("another entry chooses %s, not %s", shifted[again.Runner].ID, list[second.Runner].ID)
	}
	p := long()
	p.Cached = func(runner, part int) bool { return runner == first && part == 0 }
	if c := choose(t, p, list, nil); c.Runner != first {
		t.Fatalf("runner %d, the part is at %d and would be read again", c.Runner, first)
	}
	for i := range list {
		list[i].Full, list[i].HealthPenalty = true, 800*time.Millisecond
	}
	if c := choose(t, long(), list, nil); c.Runner != first {
		t.Fatalf("all are full, and runner %d is chosen, not the first by hash", c.Runner)
	}
}

func TestWholePartsAreFetched(t *testing.T) {
	p := long()
	p.Whole[0] = []int{0}
	stores := []Store{bigStore("north")}
	c := choose(t, p, runners(18), stores)
	if c.Fetch[0] != 0 || c.Fetch[1] != -1 || c.PrefillTokens > 4300 {
		t.Fatalf("fetch %v, reads %d", c.Fetch, c.PrefillTokens)
	}
	stores[0].Open = false
	if c := choose(t, p, runners(18), stores); c.Fetch[0] != -1 {
		t.Fatal("a closed store is read")
	}
}

func TestRunnerNearTheStoreIsPreferred(t *testing.T) {
	list := runners(6)
	for i := range list {
		list[i].DataCentre = []string{"north", "dock"}[i%2]
	}
	p := long()
	p.Whole[0] = []int{0}
	for i := range 20 {
		p.Parts[0].ID = fmt.Sprint(i)
		rates := DefaultRates()
		rates.HomePull = 0
		c, _ := Choose(&rates, "m.1", p, list, []Store{bigStore("dock")})
		if list[c.Runner].DataCentre != "dock" {
			t.Fatalf("part %d goes to %s", i, list[c.Runner].DataCentre)
		}
	}
}

// Callers leave a stream after two seconds without an event. While many prompts wait
// for one store's link, a part is fetched from the other store that has it, or from a
// runner's cache, although that may have dropped it.
func TestBusyStoreGivesWay(t *testing.T) {
	p := long()
	p.Whole[0] = []int{0, 1}
	slow, cache := bigStore("north"), Store{Address: "r3", DataCentre: "north", LinkMbps: 370000, Open: true, Risk: 0.1}
	stores := []Store{slow, cache}
	if c := choose(t, p, runners(18), stores); c.Fetch[0] != 0 {
		t.Fatal("a sound store is passed over for a cache")
	}
	stores[0].Queued = 600000
	if c := choose(t, p, runners(18), stores); c.Fetch[0] != 1 {
		t.Fatal("a store behind a long queue is read")
	}
}

func TestKeepAtFindsRoom(t *testing.T) {
	quick := Store{Address: "q", LinkMbps: 130000, FirstByte: 500 * time.Microsecond, Capacity: 400000, Open: true}
	big := bigStore("dock")
	cases := []struct {
		name   string
		part   Part
		stores []Store
		want   int
	}{
		{"small parts go to a quick store", Part{"a", 240}, []Store{big, quick}, 1},
		{"small parts are kept in a slow store where no quick one has room", Part{"a", 240}, []Store{big, with(quick, 395000)}, 0},
		{"parts that are read for less than a fetch costs go nowhere else", Part{"a", 30}, []Store{big}, -1},
		{"parts that a slow store sends sooner than they are read go to any", Part{"b", 1500}, []Store{big, with(quick, 215000)}, 0},
		{"large parts leave room in a quick store", Part{"a", 12800}, []Store{with(quick, 215000)}, -1},
		{"small ones fill it", Part{"a", 240}, []Store{with(quick, 215000)}, 0},
		{"a full store takes nothing", Part{"a", 240}, []Store{with(quick, 395000)}, -1},
		{"a closed store takes nothing", Part{"a", 12800}, []Store{{Capacity: 2000000, LinkMbps: 1}}, -1},
	}
	rates := DefaultRates()
	for _, c := range cases {
		if got := KeepAt(&rates, "m.1", c.part, 18432, c.stores); got != c.want {
			t.Errorf("%s: store %d, want %d", c.name, got, c.want)
		}
	}
}

func with(s Store, used int) Store {
	s.Used = used
	return s
}

func TestKeepAtSpreadsByCapacityAndLink(t *testing.T) {
	stores := []Store{bigStore("dock"), bigStore("north")}
	stores[1].Capacity /= 3
	counts := [2]int{}
	rates := DefaultRates()
	for i := range 4000 {
		counts[KeepAt(&rates, "m.1", Part{fmt.Sprint(i), 5000}, 18432, stores)]++
	}
	if share := float64(counts[0]) / 4000; share < 0.70 || share > 0.80 {
		t.Fatalf("the store with three times the room takes %.2f of the parts", share)
	}
}

// Short prompts come whose parts stand in a quick store, and most runners have nothing
// to do: for each prompt, many are as good as each other. Entries that chose the first
// of a list would all send to one runner, until words on its load came, and to the next
// one then.
func TestPromptsSpreadOverEquallyGoodRunners(t *testing.T) {
	list := runners(26)
	store := Store{Address: "s", DataCentre: "north", LinkMbps: 130000, FirstByte: 500 * time.Microsecond, Capacity: 500000, Open: true}
	sent := make(map[int]int)
	const prompts = 2600
	for i := range prompts {
		p := &Prompt{Parts: []Part{{fmt.Sprintf("p%d", i), 250}, {"own", 80}}, Output: 3, TokenBytes: 18432, Whole: [][]int{{0}, nil}}
		// The first runner by hash has something to read.
		first := choose(t, p, list, []Store{store}).Runner
		list[first].PendingPrefill = 300
		sent[choose(t, p, list, []Store{store}).Runner]++
		list[first].PendingPrefill = 0
	}
	for runner, n := range sent {
		if n > 2*prompts/len(list) {
			t.Errorf("runner %d gets %d of %d prompts", runner, n, prompts)
		}
	}
}

// In a long overload nearly every runner is full, and each has room for a moment now
// and then. A part that nobody has read yet, sent wherever room is just then, would be
// read there, and again wherever its next prompt finds room. It meets at one of the
// first three runners by hash, or waits for the first.
func TestFirstReadsStayTogetherInAnOverload(t *testing.T) {
	list := runners(30)
	homes := make(map[int]bool)
	for room := range list {
		for i := range list {
			list[i].Full, list[i].HealthPenalty = i != room, 0
			if i != room {
				list[i].HealthPenalty = 800 * time.Millisecond
			}
		}
		p := long()
		homes[p.home(p.key("m.1"), list)] = true
	}
	if len(homes) != firstReads {
		t.Errorf("%d runners are the first to read a part by turns, want %d", len(homes), firstReads)
	}
}
