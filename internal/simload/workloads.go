package simload

import (
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Merrimack returns the workload of a flower clock auction. Load pattern: bursts of
// buyers' questions while the clock falls, appraisals also between the bursts, and
// letters that may wait (their deadline is long). The prompts are quality histories,
// which are reused after several sales of other lots.
func Merrimack() *Workload {
	return &Workload{
		Name:        "merrimack",
		DataCentres: []ident.DataCentre{"hall-north", "hall-dock", "hall-office"},
		Engines:     18,
		Stores:      []string{"prompt-cellar", "prompt-annex"},
		Entries:     7,
		Duration:    100 * time.Minute,
		WarmUp:      30 * time.Minute,
		Classes: []Class{
			{Name: "clock-questions", Target: 400 * time.Millisecond, Percentile: 0.95, Deadline: 4 * time.Second, Output: 60, Tail: 150},
			{Name: "appraisals", Target: 3 * time.Second, Percentile: 0.95, Deadline: 30 * time.Second, Output: 200, Tail: 300},
			{Name: "letters", Target: time.Minute, Percentile: 0.95, Deadline: 10 * time.Minute, Output: 300, Tail: 300},
		},
		engine: engineSpec{
			slots: 12, prefillRate: 20_000, cacheBlocks: 350, linkRate: 2.5e9,
			tokenTime: 20 * time.Millisecond, chunkTokens: 2048,
		},
		store:       storeSpec{memoryBlocks: 3000, diskBlocks: 12_000, linkRate: 3e9, diskRate: 2.5e9},
		arrivals:    merrimackArrivals,
		teams:       teamsOf(10, 3, 0.7),
		prompts:     1200,
		loadsAtOnce: 3, loadTime: 2 * time.Second,
		scale: 1,
	}
}

const (
	// salePeriod is the duration of a sale; the clock falls during its first
	// part, saleBurst.
	salePeriod = 60 * time.Second
	saleBurst  = 40 * time.Second
	// lotsPerSale is the number of prompts in one sale, which are sold in
	// sequence on three clocks. Questions are about lots that come up within
	// lotWindow.
	lotsPerSale = 60
	lotWindow   = 6 * time.Second
)

func merrimackArrivals(w *Workload, random *rand.Rand) []*request {
	prompts := makePrompts(w, random, 6, 32)
	order := random.Perm(len(prompts))
	// lot returns a random one of the prompts on sale at a time. A lot is on
	// sale again after all others, twenty sales later.
	lot := func(at time.Duration) *prompt {
		sale := int(at / salePeriod)
		within := at%salePeriod + time.Duration(random.Int64N(int64(lotWindow)))
		place := min(int(within*lotsPerSale/(saleBurst+lotWindow)), lotsPerSale-1)
		return prompts[order[(sale*lotsPerSale+place)%len(order)]]
	}
	var out []*request
	questions := func(at time.Duration) float64 {
		if at%salePeriod < saleBurst {
			return 10
		}
		return 2
	}
	w.poisson(random, 10, questions, func(at time.Duration) {
		out = append(out, lot(at).returning(at, &w.Classes[0], random))
	})
	w.poisson(random, 1, constant(1), func(at time.Duration) {
		out = append(out, prompts[random.IntN(len(prompts))].returning(at, &w.Classes[1], random))
	})
	w.poisson(random, 0.5, constant(0.5), func(at time.Duration) {
		out = append(out, prompts[random.IntN(len(prompts))].returning(at, &w.Classes[2], random))
	})
	sortRequests(out)
	return out
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Adomako returns the workload of a ledger migration. Load pattern: sequential
// reviews of long schemas overnight, clerks' mapping checks on the same schemas hours
// later, and migration plans that must be complete when the branches open.
func Adomako() *Workload {
	return &Workload{
		Name:        "adomako",
		DataCentres: []ident.DataCentre{"osu-hall", "tema-hall", "legon-hall"},
		Engines:     9,
		Stores:      []string{"obra-cache", "nkyene-cache"},
		Entries:     7,
		Duration:    6 * time.Hour,
		WarmUp:      2 * time.Hour,
		Classes: []Class{
			{Name: "mapping-checks", Target: 2 * time.Second, Percentile: 0.95, Deadline: 15 * time.Second, Output: 80, Tail: 300},
			{Name: "migration-plans", Target: 10 * time.Second, Percentile: 0.95, Deadline: 2 * time.Minute, Output: 400, Tail: 500},
			{Name: "schema-reviews", Target: 10 * time.Minute, Percentile: 0.95, Deadline: time.Hour, Output: 600, Tail: 500},
		},
		engine: engineSpec{
			slots: 8, prefillRate: 20_000, cacheBlocks: 500, linkRate: 2.5e9,
			tokenTime: 20 * time.Millisecond, chunkTokens: 2048,
		},
		store:       storeSpec{memoryBlocks: 2500, diskBlocks: 14_000, linkRate: 3e9, diskRate: 2.5e9},
		arrivals:    adomakoArrivals,
		teams:       teamsOf(10, 2, 0.6),
		prompts:     480,
		loadsAtOnce: 2, loadTime: time.Second,
		scale: 1,
	}
}

// openingPeriod is the time between two openings of the branches in a run. In its
// last part, openingRush, the rates of plans and checks are higher.
const (
	openingPeriod = 2 * time.Hour
	openingRush   = 15 * time.Minute
)

func adomakoArrivals(w *Workload, random *rand.Rand) []*request {
	prompts := makePrompts(w, random, 20, 70)
	var out []*request
	any := func() *prompt { return prompts[random.IntN(len(prompts))] }
	rush := func(calm, busy float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at%openingPeriod > openingPeriod-openingRush {
				return busy
			}
			return calm
		}
	}
	w.poisson(random, 0.9, rush(0.4, 0.9), func(at time.Duration) {
		out = append(out, any().returning(at, &w.Classes[0], random))
	})
	w.poisson(random, 0.5, rush(0.1, 0.5), func(at time.Duration) {
		out = append(out, any().returning(at, &w.Classes[1], random))
	})
	// Reviews iterate over the schemas in order, repeatedly.
	next := 0
	w.poisson(random, 0.3, constant(0.3), func(at time.Duration) {
		out = append(out, prompts[next%len(prompts)].returning(at, &w.Classes[2], random))
		next++
	})
	sortRequests(out)
	return out
}
