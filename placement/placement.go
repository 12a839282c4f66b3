// Package placement chooses the runner for a prompt that comes as a chain of
// parts, the stores to fetch its parts from, and the store to keep them in.
//
// The choice goes by the predicted time to the first event plus what a choice
// costs besides time: a shared part that is read again, and a part that is
// moved. Runners keep only what they read last, so that requests with the same
// shared part are drawn to the same runner by a hash that all entries compute
// alike: an entry needs no word of the others to find the runner that has just
// read a part.
package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rates turn tokens into time. They are estimates: a wrong one shifts choices
// between runners and harms no promise.
type Rates struct {
	// PrefillPerMs is how many prompt tokens a runner reads in a millisecond.
	PrefillPerMs float64
	// RecomputeMsPerToken weighs a shared token that is read again although a
	// runner had read it, in milliseconds of waiting.
	RecomputeMsPerToken float64
	// MoveMsPerToken weighs a token moved between hosts.
	MoveMsPerToken float64
	// HomePull is the probability that the first runner by hash still has a
	// part that stands in a store, and FirstPull that it has one that stands in
	// none: then a request before this one has very likely just brought it.
	HomePull, FirstPull float64
	// CrossFactor is how much longer a transfer between data centres takes.
	CrossFactor float64
	// FullMs weighs a runner whose memory the prompt would fill once over.
	FullMs float64
	// SlotMs weighs each request beyond the runner's slots.
	SlotMs float64
}

// DefaultRates suit runners that read 110 to 160 tokens a millisecond, and a
// price of a token read again of six times a token's share of its prompt's
// worth.
func DefaultRates() Rates {
	return Rates{
		PrefillPerMs: 120, RecomputeMsPerToken: 0.16, MoveMsPerToken: 0.001,
		HomePull: 0.35, FirstPull: 0.85, CrossFactor: 2, FullMs: 600, SlotMs: 40,
	}
}

// Part is one part of a prompt. All parts but the last are shared.
type Part struct {
	ID     string
	Tokens int
}

// Source is where a part can be fetched from.
type Source struct {
	// Store is the index of the store, -1 for none.
	Store  int
	Tokens int
}

// Store is a host that keeps parts, or a runner whose cache others may fetch
// from.
type Store struct {
	Address    string
	DataCentre string
	LinkMbps   float64
	FirstByte  time.Duration
	Capacity   int
	// Used are the tokens known to be held or on their way.
	Used int
	Open bool
	// Queued are the tokens that others are already waiting for.
	Queued int
	// Risk is the probability that a part is gone by the time of the fetch, as
	// it may be from a runner's cache.
	Risk float64
}

// Runner is one candidate.
type Runner struct {
	ID         string
	DataCentre string
	Slots      int
	Memory     int
	// Requests and Tokens are under way there, of all entries.
	Requests int
	Tokens   int
	// PendingPrefill are the tokens under way that are still to be read.
	PendingPrefill int
	// HealthPenalty is added to the prediction.
	HealthPenalty time.Duration
	// Full tells that it has no room for the prompt now.
	Full bool
}

// Prompt is what is to be placed.
type Prompt struct {
	Parts []Part
	// Output is the most tokens that the answer may have.
	Output int
	// Whole lists for each part the stores that hold it whole.
	Whole [][]int
	// Cached tells whether a runner has very likely still got a part.
	Cached func(runner, part int) bool
	// CachesKnown reports that the runners' caches are known: what Cached denies is in none
	// of them but for what was read in the last moments.
	CachesKnown bool
	// TokenBytes is the size of a token's memory.
	TokenBytes int
}

// Tokens returns the length of the prompt.
func (p *Prompt) Tokens() int {
	total := 0
	for _, part := range p.Parts {
		total += part.Tokens
	}
	return total
}

// anchor is the last shared part, by which requests are drawn together; -1
// when nothing is shared.
func (p *Prompt) anchor() int { return len(p.Parts) - 2 }

// Choice is a runner with what to fetch there.
type Choice struct {
	Runner int
	// Fetch lists for each part the store to fetch it from, -1 for none.
	Fetch []int
	// PrefillTokens are the tokens that the runner is expected to read.
	PrefillTokens int
	// Certain tells that the runner reads the whole prompt: nothing of it is known
	// or guessed to be there, and nothing is fetched.
	Certain bool
	// CostMs is the weighed prediction in milliseconds.
	CostMs float64
	// Home tells that the runner is the first by hash.
	Home bool
}

// Choose returns the best candidate; ok is false when there is none. salt keeps
// the hashes of different weight versions and teams apart.
func Choose(rates *Rates, salt string, p *Prompt, runners []Runner, stores []Store) (Choice, bool) {
	best := Choice{Runner: -1}
	if len(runners) == 0 {
		return best, false
	}
	key := p.key(salt)
	home := p.home(key, runners)
	// Two lists by turns: one of its own for each candidate was most of the time.
	spare := make([]int, len(p.Parts))
	best.Fetch = make([]int, len(p.Parts))
	step, score := 0.0, uint64(0)
	for i := range runners {
		choice := evaluate(rates, p, i, runners, stores, i == home, spare)
		at := math.Floor(choice.CostMs / equalMs)
		if best.Runner >= 0 && at > step {
			continue
		}
		own := hash(runners[i].ID, key)
		if best.Runner < 0 || at < step || own > score {
			best, spare = choice, best.Fetch
			step, score = at, own
		}
	}
	return best, true
}

// equalMs is the step in milliseconds within which two runners are as good as each
// other for a caller. The hash decides between them: by the order of a list, or
// by a difference that all entries are told alike, all would choose the same one.
const equalMs = 0.5

// key is what runners are ordered by for the prompt: that of its last shared part,
// or its own where nothing is shared.
func (p *Prompt) key(salt string) string {
	if len(p.Parts) == 0 {
		return salt
	}
	return salt + "/" + p.Parts[max(p.anchor(), 0)].ID
}

// firstReads is how many runners may be the first to read a part. One that is full
// for a moment is passed over; where three are, the fleet is, and a part that is read
// at each runner that has room is read again wherever its next prompt goes.
const firstReads = 3

// home is the first runner by hash that has room among the first few, or the first of
// all if none of them has. A part that nobody has read yet is nowhere cheaper: of 58
// long prompts refused in 34 calm seconds, 56 had waited for a first runner that was
// full, with a part that stood nowhere.
func (p *Prompt) home(key string, runners []Runner) int {
	if p.anchor() < 0 {
		return -1
	}
	var first [firstReads]struct {
		runner int
		score  uint64
	}
	count := 0
	for i := range runners {
		score := hash(runners[i].ID, key)
		at := count
		for at > 0 && first[at-1].score < score {
			at--
		}
		if at == firstReads {
			continue
		}
		count = min(count+1, firstReads)
		copy(first[at+1:count], first[at:])
		first[at].runner, first[at].score = i, score
	}
	for _, f := range first[:count] {
		if !runners[f.runner].Full {
			return f.runner
		}
	}
	return first[0].runner
}

// knownAnywhere reports whether any of the runners has very likely still got a part.
func (p *Prompt) knownAnywhere(runners, part int) bool {
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

// evaluate weighs one runner. It writes what to fetch into fetch.
func evaluate(rates *Rates, p *Prompt, index int, runners []Runner, stores []Store, home bool, fetch []int) Choice {
	r := &runners[index]
	c := Choice{Runner: index, Home: home, Fetch: fetch, Certain: true}
	ms := 0.0
	read := 0.0
	chain := true // the parts so far need no reading
	for i, part := range p.Parts {
		c.Fetch[i] = -1
		last := i == len(p.Parts)-1
		if last {
			read += float64(part.Tokens)
			break
		}
		store, fetchMs := p.source(rates, i, r, stores)
		absent := 1.0
		switch {
		case p.Cached != nil && p.Cached(index, i):
			absent = 0.1
			c.Certain = false
		case home && store >= 0:
			absent = 1 - rates.HomePull
		case home && !p.knownAnywhere(len(runners), i):
			// Where it is known to be elsewhere, the guess that it is here draws the
			// prompt away from it.
			absent = 1 - rates.FirstPull
		}
		if store >= 0 && chain && fetchMs < rates.againMs(part) {
			c.Fetch[i] = store
			c.Certain = false
			ms += absent * (fetchMs + rates.MoveMsPerToken*float64(part.Tokens))
			continue
		}
		if absent == 1 {
			chain = false
		} else if !p.CachesKnown {
			c.Certain = false
		}
		read += absent * float64(part.Tokens)
		ms += absent * rates.RecomputeMsPerToken * float64(part.Tokens)
	}
	c.PrefillTokens = int(read)
	ms += (read + float64(r.PendingPrefill)) / rates.PrefillPerMs
	ms += pressure(rates, p, r)
	c.CostMs = ms + milliseconds(r.HealthPenalty)
	return c
}

// pressure weighs a runner's memory and slots. Memory weighs from three
// quarters on: beyond it, the parts kept for others give way first.
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

// source returns the store from which a runner gets a part soonest, and the
// time in milliseconds.
func (p *Prompt) source(rates *Rates, part int, r *Runner, stores []Store) (int, float64) {
	best, bestMs := -1, 0.0
	if part >= len(p.Whole) {
		return best, bestMs
	}
	for _, index := range p.Whole[part] {
		store := &stores[index]
		if !store.Open {
			continue
		}
		ms := milliseconds(store.FirstByte) + transferMs(rates, p, part, store, r)
		ms += store.Risk * rates.RecomputeMsPerToken * float64(p.Parts[part].Tokens)
		if best < 0 || ms < bestMs {
			best, bestMs = index, ms
		}
	}
	return best, bestMs
}

// TransferMs is how long a part takes from a store in its own data centre at the
// pace that its link should have, behind what waits there already.
func TransferMs(p *Prompt, part int, store *Store) float64 {
	if store.LinkMbps <= 0 {
		return 0
	}
	bits := float64(p.Parts[part].Tokens+store.Queued) * float64(p.TokenBytes) * 8
	return bits/(store.LinkMbps*1000) + milliseconds(store.FirstByte)
}

func transferMs(rates *Rates, p *Prompt, part int, store *Store, r *Runner) float64 {
	if store.LinkMbps <= 0 {
		return 0
	}
	perToken := float64(p.TokenBytes) * 8 / (store.LinkMbps * 1000)
	own := perToken * float64(p.Parts[part].Tokens)
	if store.DataCentre != r.DataCentre {
		own *= rates.CrossFactor
	}
	return own + perToken*float64(store.Queued)
}

func hash(a, b string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(a)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(b)
	return h.Sum64()
}
