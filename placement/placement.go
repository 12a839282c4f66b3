// Package placement chooses the runner for a prompt that consists of a chain of parts, the
// stores from which to fetch the parts, and the store in which to keep them.
//
// The choice minimizes the predicted time to the first event plus two other costs:
// recomputing a shared part and moving a part between hosts. Runners cache only the most
// recently used parts, so requests with the same shared part are sent to the same runner.
// That runner is found by rendezvous hashing, which all entries compute alike: an entry
// needs no message from other entries to find the runner that has just prefilled a part.
package placement

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rates convert tokens to time and weigh costs. They are estimates: a wrong rate shifts
// choices between runners and breaks no guarantee.
type Rates struct {
	// PrefillPerMs is the number of prompt tokens that a runner prefills in a millisecond.
	PrefillPerMs float64
	// RecomputeMsPerToken is the cost of recomputing a shared token that a runner has
	// already prefilled, in milliseconds of waiting.
	RecomputeMsPerToken float64
	// MoveMsPerToken is the cost of moving a token between hosts, in milliseconds.
	MoveMsPerToken float64
	// HomeHitStored is the probability that the home runner still caches a part that is in
	// a store. HomeHitUnstored is the probability for a part that is in no store: an
	// earlier request has very likely just brought it to the home runner.
	HomeHitStored, HomeHitUnstored float64
	// CrossFactor is the ratio of the transfer time between data centres to that within
	// one.
	CrossFactor float64
	// FullMs is the cost, in milliseconds, per unit of memory fill beyond three quarters,
	// where 1 is a runner's whole memory.
	FullMs float64
	// SlotMs is the cost, in milliseconds, of each request beyond the runner's slots.
	SlotMs float64
}

// DefaultRates returns rates for runners that prefill 110 to 160 tokens a millisecond,
// where a recomputed token costs six times its share of the value of its prompt.
func DefaultRates() Rates {
	return Rates{
		PrefillPerMs: 120, RecomputeMsPerToken: 0.16, MoveMsPerToken: 0.001,
		HomeHitStored: 0.35, HomeHitUnstored: 0.85, CrossFactor: 2, FullMs: 600, SlotMs: 40,
	}
}

// Part is one of the ordered pieces of a prompt. All parts but the last are shared.
type Part struct {
	ID     string
	Tokens int
}

// Source identifies where a part can be fetched from.
type Source struct {
	// Store is the index of the store, or -1 for none.
	Store  int
	Tokens int
}

// Store is a host that keeps parts, or a runner from whose cache other runners may fetch.
type Store struct {
	Address    string
	DataCentre string
	LinkMbps   float64
	FirstByte  time.Duration
	Capacity   int
	// Used is the number of tokens known to be stored or in transfer to the store.
	Used int
	Open bool
	// Queued is the number of tokens that other requests are waiting to fetch.
	Queued int
	// Risk is the probability that a part is gone by the time of the fetch. It is above 0
	// for a runner's cache.
	Risk float64
}

// Runner is a candidate for a prompt.
type Runner struct {
	ID         string
	DataCentre string
	Slots      int
	Memory     int
	// Requests and Tokens count the work in progress at the runner, of all entries.
	Requests int
	Tokens   int
	// PendingPrefill is the number of tokens in progress that are still to be prefilled.
	PendingPrefill int
	// Slowdown is the factor by which prefill takes longer than usual, 0 for as usual.
	Slowdown float64
	// HealthPenalty is added to the predicted cost.
	HealthPenalty time.Duration
	// Full indicates that the runner has no capacity for the prompt now.
	Full bool
	// Unreported is the number of pending tokens that the other entries are expected to have sent
	// since they were last known, in addition to PendingPrefill, and Room the weight with which the
	// runner is drawn among those that cost about the same.
	Unreported int
	Room       float64
	// LinkQueued is the number of tokens whose transfers occupy the runner's link before those of
	// the prompt.
	LinkQueued int
}

// Prompt is a prompt to be placed.
type Prompt struct {
	Parts []Part
	// Output is the maximum number of tokens of the answer.
	Output int
	// Complete lists, for each part, the stores that hold it completely.
	Complete [][]int
	// Cached reports whether a runner very likely still caches a part.
	Cached func(runner, part int) bool
	// CachesKnown indicates that the contents of the runners' caches are known: a part for
	// which Cached returns false is in no cache, unless it was prefilled very recently.
	CachesKnown bool
	// TokenBytes is the KV memory of one token in bytes.
	TokenBytes int
	// Draw is a random number by which a runner is drawn among those whose costs differ by at most
	// ToleranceMs, in proportion to their room; 0 decides among them by hash.
	Draw        uint64
	ToleranceMs float64
	// JointFetches weighs the fetch of a part together with those of the parts after it, which
	// are of no use without it.
	JointFetches bool
	// RunnerLinkMbps is the rate of the runners' links, 0 if only those of the sources count.
	RunnerLinkMbps float64
	// HomeDataCentre is the data centre of the home runner, empty for any.
	HomeDataCentre string
}

// Tokens returns the length of the prompt in tokens.
func (p *Prompt) Tokens() int {
	total := 0
	for _, part := range p.Parts {
		total += part.Tokens
	}
	return total
}

// lastShared returns the index of the last shared part, which determines the home runner,
// or -1 if no part is shared.
func (p *Prompt) lastShared() int { return len(p.Parts) - 2 }

// Choice is a chosen runner and what to fetch to it.
type Choice struct {
	Runner int
	// Fetch holds, for each part, the store to fetch it from, or -1 for none.
	Fetch []int
	// PrefillTokens is the number of tokens that the runner is expected to prefill.
	PrefillTokens int
	// UncachedTokens is the number of tokens that it prefills unless it caches more than is known.
	UncachedTokens int
	// FullPrefill indicates that the runner prefills the complete prompt: no part of it is
	// known or assumed to be cached there, and nothing is fetched.
	FullPrefill bool
	// CostMs is the predicted cost in milliseconds.
	CostMs float64
	// Home indicates that the runner is the prompt's home runner.
	Home bool
}

// Choose returns the candidate with the lowest cost; ok is false if there is none. salt
// separates the hashes of different weight versions and teams.
func Choose(rates *Rates, salt string, p *Prompt, runners []Runner, stores []Store) (Choice, bool) {
	best := Choice{Runner: -1}
	if len(runners) == 0 {
		return best, false
	}
	key := p.key(salt)
	homeRunner := p.homeRunner(key, runners)
	// Two lists are swapped between candidates: allocating one for each candidate took most
	// of the time.
	spare := make([]int, len(p.Parts))
	best.Fetch = make([]int, len(p.Parts))
	if p.Draw != 0 {
		if i := drawn(rates, p, key, homeRunner, runners, stores, spare); i >= 0 {
			return evaluate(rates, p, i, runners, stores, i == homeRunner, best.Fetch), true
		}
	}
	bestStep, bestScore := 0.0, uint64(0)
	for i := range runners {
		choice := evaluate(rates, p, i, runners, stores, i == homeRunner, spare)
		costStep := math.Floor(choice.CostMs / costStepMs)
		if best.Runner >= 0 && costStep > bestStep {
			continue
		}
		score := hash(runners[i].ID, key)
		if best.Runner < 0 || costStep < bestStep || score > bestScore {
			best, spare = choice, best.Fetch
			bestStep, bestScore = costStep, score
		}
	}
	return best, true
}

// drawn returns a runner drawn in proportion to its room among those that cost at most the
// prompt's tolerance more than the best one, or -1 if the best one has no room: then it is better
// for another reason than its load.
func drawn(rates *Rates, p *Prompt, key string, homeRunner int, runners []Runner, stores []Store, fetch []int) int {
	costs := make([]float64, len(runners))
	cheapest := 0
	for i := range runners {
		costs[i] = evaluate(rates, p, i, runners, stores, i == homeRunner, fetch).CostMs
		if costs[i] < costs[cheapest] {
			cheapest = i
		}
	}
	if runners[cheapest].Room <= 0 {
		return -1
	}
	best, bestScore := cheapest, math.Inf(-1)
	for i := range runners {
		if runners[i].Room <= 0 || costs[i] > costs[cheapest]+p.ToleranceMs {
			continue
		}
		if score := weightedScore(mix(hash(runners[i].ID, key)^p.Draw), runners[i].Room); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// mix spreads the bits of a number over all bits of the result (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// costStepMs is the difference in milliseconds within which two runners count as equally
// good. The hash decides between them: if the order of a list decided, or a difference that
// is reported to all entries alike, all entries would choose the same runner.
const costStepMs = 0.5

// key returns the hash key by which runners are ranked for the prompt: that of its last
// shared part, or of its only part if nothing is shared.
func (p *Prompt) key(salt string) string {
	if len(p.Parts) == 0 {
		return salt
	}
	return salt + "/" + p.Parts[max(p.lastShared(), 0)].ID
}

// homeCandidates is the number of runners that may be the home of a part. A runner that is
// full for a moment is skipped. If three are full, the fleet is, and then a part that is
// prefilled wherever there is capacity would be recomputed wherever its next prompt goes.
const homeCandidates = 3

// homeRunner returns the highest-ranked of the first homeCandidates runners that has
// capacity, or the highest-ranked of all if none has, or -1 if no part is shared. A part
// that no runner has prefilled costs the same everywhere, so waiting for a full runner
// gains nothing: without the skip, 56 of 58 long prompts that were refused within 34 s of
// normal load had waited for a full first runner although their part was cached nowhere.
func (p *Prompt) homeRunner(key string, runners []Runner) int {
	if p.lastShared() < 0 {
		return -1
	}
	if p.HomeDataCentre != "" {
		if home := homeRunnerIn(p.HomeDataCentre, key, runners); home >= 0 && !runners[home].Full {
			return home
		}
	}
	return homeRunnerIn("", key, runners)
}

// homeRunnerIn returns the home runner among those of a data centre, or among all if it is empty,
// or -1 if there is none.
func homeRunnerIn(dataCentre, key string, runners []Runner) int {
	var first [homeCandidates]struct {
		runner int
		score  uint64
	}
	count := 0
	for i := range runners {
		if dataCentre != "" && runners[i].DataCentre != dataCentre {
			continue
		}
		score := hash(runners[i].ID, key)
		rank := count
		for rank > 0 && first[rank-1].score < score {
			rank--
		}
		if rank == homeCandidates {
			continue
		}
		count = min(count+1, homeCandidates)
		copy(first[rank+1:count], first[rank:])
		first[rank].runner, first[rank].score = i, score
	}
	for _, f := range first[:count] {
		if !runners[f.runner].Full {
			return f.runner
		}
	}
	if count == 0 {
		return -1
	}
	return first[0].runner
}

// cachedAnywhere reports whether any of the runners very likely still caches a part.
func (p *Prompt) cachedAnywhere(runners, part int) bool {
	if p.Cached == nil {
		return false
	}
	for runner := range runners {
		if p.Cached(runner, part) {
			return true
		}
	}
	return false
}

// evaluate computes the cost of one runner. It writes the stores to fetch from into fetch.
func evaluate(rates *Rates, p *Prompt, index int, runners []Runner, stores []Store, isHome bool, fetch []int) Choice {
	r := &runners[index]
	c := Choice{Runner: index, Home: isHome, Fetch: fetch, FullPrefill: true}
	ms := 0.0
	prefillTokens, uncached := 0.0, 0
	contiguous := true // no part so far needs prefill
	elapsed := 0.0     // time that the fetches so far take
	for i, part := range p.Parts {
		c.Fetch[i] = -1
		last := i == len(p.Parts)-1
		if last {
			prefillTokens += float64(part.Tokens)
			uncached += part.Tokens
			break
		}
		store, fetchMs := p.bestSource(rates, i, r, stores, elapsed)
		missProbability := 1.0
		switch {
		case p.Cached != nil && p.Cached(index, i):
			missProbability = 0.1
			c.FullPrefill = false
		case isHome && store >= 0:
			missProbability = 1 - rates.HomeHitStored
		case isHome && !p.cachedAnywhere(len(runners), i):
			// If the part is known to be cached elsewhere, assuming that it is also cached
			// here would draw the prompt away from that runner.
			missProbability = 1 - rates.HomeHitUnstored
		}
		cheaper := fetchMs < rates.recomputeMs(part) || p.JointFetches && contiguous && store >= 0 && p.fetchesPay(rates, i, fetchMs, r, stores, elapsed)
		if store >= 0 && contiguous && cheaper {
			c.Fetch[i] = store
			c.FullPrefill = false
			elapsed += fetchMs
			ms += missProbability * (fetchMs + rates.MoveMsPerToken*float64(part.Tokens))
			continue
		}
		if p.Cached == nil || !p.Cached(index, i) {
			uncached += part.Tokens
		}
		if missProbability == 1 {
			contiguous = false
		} else if !p.CachesKnown {
			c.FullPrefill = false
		}
		prefillTokens += missProbability * float64(part.Tokens)
		ms += missProbability * rates.RecomputeMsPerToken * float64(part.Tokens)
	}
	c.PrefillTokens, c.UncachedTokens = int(prefillTokens), uncached
	ms += (prefillTokens + float64(r.PendingPrefill+r.Unreported)) / rates.PrefillPerMs * cmp.Or(r.Slowdown, 1)
	ms += pressure(rates, p, r)
	c.CostMs = ms + milliseconds(r.HealthPenalty)
	return c
}

// fetchesPay reports whether fetching a part, at a cost of fetchMs, and some of the parts that
// follow it costs less than recomputing them all.
func (p *Prompt) fetchesPay(rates *Rates, part int, fetchMs float64, r *Runner, stores []Store, elapsed float64) bool {
	elapsed += fetchMs
	balance := fetchMs - rates.recomputeMs(p.Parts[part])
	for next := part + 1; next < len(p.Parts)-1 && balance >= 0; next++ {
		store, ms := p.bestSource(rates, next, r, stores, elapsed)
		if store < 0 {
			return false
		}
		elapsed += ms
		balance += ms - rates.recomputeMs(p.Parts[next])
	}
	return balance < 0
}

// pressure returns the cost of a runner's memory and slot usage in milliseconds. Memory
// usage has a cost above three quarters: beyond that, the parts cached for other requests
// are evicted first.
func pressure(rates *Rates, p *Prompt, r *Runner) float64 {
	ms := 0.0
	if r.Memory > 0 {
		filled := float64(r.Tokens+p.Tokens()+p.Output) / float64(r.Memory)
		ms += rates.FullMs * math.Max(0, filled-0.75)
	}
	if over := r.Requests + 1 - r.Slots; r.Slots > 0 && over > 0 {
		ms += rates.SlotMs * float64(over)
	}
	return ms
}

// bestSource returns the store from which a runner gets a part soonest, and the cost of the
// fetch in milliseconds. The store is -1 if there is none. elapsed is the time that the fetches of
// the parts before it take: on the runner's link it waits no longer for others after them.
func (p *Prompt) bestSource(rates *Rates, part int, r *Runner, stores []Store, elapsed float64) (int, float64) {
	best, bestMs := -1, 0.0
	if part >= len(p.Complete) {
		return best, bestMs
	}
	for _, index := range p.Complete[part] {
		store := &stores[index]
		if !store.Open {
			continue
		}
		wait, transfer := p.linkMs(rates.CrossFactor, part, store, r)
		if p.RunnerLinkMbps > 0 {
			wait = max(wait-elapsed, 0)
		}
		ms := milliseconds(store.FirstByte) + wait + transfer
		ms += store.Risk * rates.RecomputeMsPerToken * float64(p.Parts[part].Tokens)
		if best < 0 || ms < bestMs {
			best, bestMs = index, ms
		}
	}
	return best, bestMs
}

func hash(a, b string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(a)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(b)
	return h.Sum64()
}
