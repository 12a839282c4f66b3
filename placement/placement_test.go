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

func longPrompt() *Prompt {
	return &Prompt{Parts: []Part{{"shared", 12800}, {"own", 4200}}, Output: 20, TokenBytes: 18432, Complete: make([][]int, 2)}
}

func largeStore(dataCentre string) Store {
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

func TestChooseWithoutRunners(t *testing.T) {
	rates := DefaultRates()
	if _, ok := Choose(&rates, "m.1", longPrompt(), nil, nil); ok {
		t.Fatal("Choose returned a choice without any runner")
	}
}

// Entries that do not know of each other's requests must send a part that is not cached yet
// to the same runner, so that it is prefilled once.
func TestEntriesPrefillNewPartAtSameRunner(t *testing.T) {
	list := runners(18)
	first := choose(t, longPrompt(), list, nil)
	if !first.Home {
		t.Fatal("the prompt is not sent to its home runner in an idle fleet")
	}
	shifted := append(append([]Runner(nil), list[5:]...), list[:5]...)
	second := choose(t, longPrompt(), shifted, nil)
	if shifted[second.Runner].ID != list[first.Runner].ID {
		t.Fatalf("with the runners in another order: chose %s, want %s", shifted[second.Runner].ID, list[first.Runner].ID)
	}
	other := longPrompt()
	other.Parts[0].ID = "another"
	chosen := map[int]bool{}
	for i := range 200 {
		other.Parts[0].ID = fmt.Sprint(i)
		chosen[choose(t, other, list, nil).Runner] = true
	}
	if len(chosen) < 16 {
		t.Fatalf("200 parts are spread over only %d of 18 runners, want at least 16", len(chosen))
	}
}

func TestRunnerWithCachedPartIsPreferred(t *testing.T) {
	list := runners(18)
	p := longPrompt()
	home := choose(t, p, list, nil).Runner
	holder := (home + 7) % 18
	p.Cached = func(runner, part int) bool { return runner == holder && part == 0 }
	if c := choose(t, p, list, nil); c.Runner != holder {
		t.Fatalf("chose runner %d, the part is cached at %d", c.Runner, holder)
	}
}

func TestBusyRunnersAreAvoided(t *testing.T) {
	cases := []struct {
		name string
		load func(*Runner)
	}{
		{"long pending prefill", func(r *Runner) { r.PendingPrefill = 300000 }},
		{"memory full", func(r *Runner) { r.Tokens = 400000 }},
		{"slots full", func(r *Runner) { r.Requests = 90 }},
		{"unhealthy", func(r *Runner) { r.HealthPenalty = 5 * time.Second }},
	}
	for _, c := range cases {
		list := runners(18)
		home := choose(t, longPrompt(), list, nil).Runner
		c.load(&list[home])
		if got := choose(t, longPrompt(), list, nil); got.Runner == home {
			t.Errorf("%s: the busy runner was chosen", c.name)
		}
	}
}

// A prompt must not wait for its home runner, and be refused, while that runner is full for
// 800 ms, no runner has prefilled the part and all others are idle. Independent entries
// must still choose the same runner.
func TestNewPartSkipsFullHomeRunner(t *testing.T) {
	list := runners(18)
	first := choose(t, longPrompt(), list, nil).Runner
	list[first].Full, list[first].HealthPenalty = true, 800*time.Millisecond
	second := choose(t, longPrompt(), list, nil)
	if second.Runner == first || !second.Home {
		t.Fatalf("chose runner %d (full home runner %d), home %t", second.Runner, first, second.Home)
	}
	shifted := append(append([]Runner(nil), list[7:]...), list[:7]...)
	if again := choose(t, longPrompt(), shifted, nil); shifted[again.Runner].ID != list[second.Runner].ID {
		t.Fatalf("with the runners in another order: chose %s, want %s", shifted[again.Runner].ID, list[second.Runner].ID)
	}
	p := longPrompt()
	p.Cached = func(runner, part int) bool { return runner == first && part == 0 }
	if c := choose(t, p, list, nil); c.Runner != first {
		t.Fatalf("chose runner %d; the part is cached at %d and would be recomputed", c.Runner, first)
	}
	for i := range list {
		list[i].Full, list[i].HealthPenalty = true, 800*time.Millisecond
	}
	if c := choose(t, longPrompt(), list, nil); c.Runner != first {
		t.Fatalf("all runners are full: chose runner %d, want the first by hash", c.Runner)
	}
}

func TestCompletePartsAreFetched(t *testing.T) {
	p := longPrompt()
	p.Complete[0] = []int{0}
	stores := []Store{largeStore("north")}
	c := choose(t, p, runners(18), stores)
	if c.Fetch[0] != 0 || c.Fetch[1] != -1 || c.PrefillTokens > 4300 {
		t.Fatalf("fetch %v, prefill of %d tokens", c.Fetch, c.PrefillTokens)
	}
	stores[0].Open = false
	if c := choose(t, p, runners(18), stores); c.Fetch[0] != -1 {
		t.Fatal("fetched from a closed store")
	}
}

func TestRunnerNearTheStoreIsPreferred(t *testing.T) {
	list := runners(6)
	for i := range list {
		list[i].DataCentre = []string{"north", "dock"}[i%2]
	}
	p := longPrompt()
	p.Complete[0] = []int{0}
	for i := range 20 {
		p.Parts[0].ID = fmt.Sprint(i)
		rates := DefaultRates()
		rates.HomeHitStored = 0
		c, _ := Choose(&rates, "m.1", p, list, []Store{largeStore("dock")})
		if list[c.Runner].DataCentre != "dock" {
			t.Fatalf("part %d: chose a runner in %s, want dock", i, list[c.Runner].DataCentre)
		}
	}
}

// Callers abandon a stream after two seconds without an event. While many prompts wait for
// one store's link, a part must be fetched from another store that has it, or from a
// runner's cache, although the cache may have evicted it.
func TestFetchAvoidsStoreWithLongQueue(t *testing.T) {
	p := longPrompt()
	p.Complete[0] = []int{0, 1}
	slow, cache := largeStore("north"), Store{Address: "r3", DataCentre: "north", LinkMbps: 370000, Open: true, Risk: 0.1}
	stores := []Store{slow, cache}
	if c := choose(t, p, runners(18), stores); c.Fetch[0] != 0 {
		t.Fatal("fetched from a runner's cache although the store is idle")
	}
	stores[0].Queued = 600000
	if c := choose(t, p, runners(18), stores); c.Fetch[0] != 1 {
		t.Fatal("fetched from a store with a long queue")
	}
}

func TestKeepAtChoosesStoreWithCapacity(t *testing.T) {
	fast := Store{Address: "q", LinkMbps: 130000, FirstByte: 500 * time.Microsecond, Capacity: 400000, Open: true}
	big := largeStore("dock")
	cases := []struct {
		name   string
		part   Part
		stores []Store
		want   int
	}{
		{"a small part goes to a fast store", Part{"a", 240}, []Store{big, fast}, 1},
		{"a small part goes to a slow store if no fast one has capacity", Part{"a", 240}, []Store{big, withUsed(fast, 395000)}, 0},
		{"a part that is cheaper to recompute than to fetch is not kept", Part{"a", 30}, []Store{big}, -1},
		{"a part that is cheaper to fetch than to recompute goes to a slow store", Part{"b", 1500}, []Store{big, withUsed(fast, 215000)}, 0},
		{"a large part leaves capacity in a fast store", Part{"a", 12800}, []Store{withUsed(fast, 215000)}, -1},
		{"a small part may use that capacity", Part{"a", 240}, []Store{withUsed(fast, 215000)}, 0},
		{"a full store accepts no part", Part{"a", 240}, []Store{withUsed(fast, 395000)}, -1},
		{"a closed store accepts no part", Part{"a", 12800}, []Store{{Capacity: 2000000, LinkMbps: 1}}, -1},
	}
	rates := DefaultRates()
	for _, c := range cases {
		if got := KeepAt(&rates, "m.1", c.part, 18432, c.stores); got != c.want {
			t.Errorf("%s: store %d, want %d", c.name, got, c.want)
		}
	}
}

func withUsed(s Store, used int) Store {
	s.Used = used
	return s
}

func TestKeepAtSpreadsByCapacityAndLink(t *testing.T) {
	stores := []Store{largeStore("dock"), largeStore("north")}
	stores[1].Capacity /= 3
	counts := [2]int{}
	rates := DefaultRates()
	for i := range 4000 {
		counts[KeepAt(&rates, "m.1", Part{fmt.Sprint(i), 5000}, 18432, stores)]++
	}
	if share := float64(counts[0]) / 4000; share < 0.70 || share > 0.80 {
		t.Fatalf("the store with three times the capacity gets %.2f of the parts, want 0.70 to 0.80", share)
	}
}

// Short prompts whose parts are in a fast store have many equally good runners in a mostly
// idle fleet. If entries chose the first of a list, all would send to one runner until load
// reports arrive, and then all to the next one.
func TestPromptsSpreadOverEqualRunners(t *testing.T) {
	list := runners(26)
	store := Store{Address: "s", DataCentre: "north", LinkMbps: 130000, FirstByte: 500 * time.Microsecond, Capacity: 500000, Open: true}
	sent := make(map[int]int)
	const prompts = 2600
	for i := range prompts {
		p := &Prompt{Parts: []Part{{fmt.Sprintf("p%d", i), 250}, {"own", 80}}, Output: 3, TokenBytes: 18432, Complete: [][]int{{0}, nil}}
		// Prefill is pending at the home runner.
		first := choose(t, p, list, []Store{store}).Runner
		list[first].PendingPrefill = 300
		sent[choose(t, p, list, []Store{store}).Runner]++
		list[first].PendingPrefill = 0
	}
	for runner, n := range sent {
		if n > 2*prompts/len(list) {
			t.Errorf("runner %d gets %d of %d prompts, more than twice its share", runner, n, prompts)
		}
	}
}

// In a long overload nearly every runner is full, and each has capacity only now and then.
// A new part that is sent wherever there is capacity would be prefilled there, and
// recomputed wherever its next prompt goes. It must go to one of the first three runners by
// hash, or wait for the first.
func TestNewPartsUseFewRunnersUnderOverload(t *testing.T) {
	list := runners(30)
	homes := make(map[int]bool)
	for free := range list {
		for i := range list {
			list[i].Full, list[i].HealthPenalty = i != free, 0
			if i != free {
				list[i].HealthPenalty = 800 * time.Millisecond
			}
		}
		p := longPrompt()
		homes[p.homeRunner(p.key("m.1"), list)] = true
	}
	if len(homes) != homeCandidates {
		t.Errorf("%d runners serve as home of one part, want %d", len(homes), homeCandidates)
	}
}

// Guards against a chain that is read as a whole because its short first part alone is read faster
// than it is fetched: the parts after it are of no use without it.
func TestChainIsFetchedIfItPaysAsAWhole(t *testing.T) {
	fast := Store{Address: "s", DataCentre: "north", LinkMbps: 130000, FirstByte: 500 * time.Microsecond, Capacity: 500000, Open: true, Queued: 12000}
	p := &Prompt{Parts: []Part{{"head", 55}, {"body", 400}, {"own", 80}}, Output: 11, TokenBytes: 35136, Complete: [][]int{{0}, {0}, nil}}
	// The home runner, which may have the parts cached, is out of reach.
	list := runners(2)
	list[p.homeRunner(p.key("m.1"), list)].HealthPenalty = time.Minute
	if c := choose(t, p, list, []Store{fast}); c.Fetch[1] >= 0 {
		t.Fatalf("fetches %v part by part: the test shows nothing", c.Fetch)
	}
	p.JointFetches = true
	if c := choose(t, p, list, []Store{fast}); c.Fetch[0] != 0 || c.Fetch[1] != 0 {
		t.Errorf("fetches %v, want both parts", c.Fetch)
	}
	fast.Queued = 60000
	if c := choose(t, p, list, []Store{fast}); c.Fetch[0] >= 0 || c.Fetch[1] >= 0 {
		t.Errorf("fetches %v although reading both is sooner", c.Fetch)
	}
	fast.Queued, p.Complete[1] = 12000, nil
	if c := choose(t, p, list, []Store{fast}); c.Fetch[0] >= 0 {
		t.Errorf("fetches %v although nothing follows the first part", c.Fetch)
	}
}
