package simload

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// Sizes shared by the workloads.
const (
	blockTokens = prefix.DefaultBlockTokens
	// blockBytes is the size of one block of KV cache: 40 kB per token.
	blockBytes = int64(40_000_000)
	// firstVersion is the weight version at the start of a run.
	firstVersion ident.Version = "v1"
	theModel     ident.Model   = "model"
)

// Class is one class of a workload with its target.
type Class struct {
	Name ident.Class
	// Target is the target of the given Percentile of the time to first token.
	Target     time.Duration
	Percentile float64
	// Deadline is the time after which a caller without a token leaves.
	Deadline time.Duration
	// Output is the mean answer length in tokens.
	Output int
	// Tail is the number of tokens that each request appends to the kept
	// prompt.
	Tail int
}

// Workload describes a deployment and its requests.
type Workload struct {
	Name        string
	DataCentres []ident.DataCentre
	Engines     int
	Stores      []string
	Entries     int
	Classes     []Class
	Duration    time.Duration
	// WarmUp is the initial time excluded from the results, in which every
	// prompt is new.
	WarmUp time.Duration
	engine engineSpec
	store  storeSpec
	// arrivals returns the requests of one run.
	arrivals func(w *Workload, random *rand.Rand) []*request
	teams    []teamLoad
	prompts  int
	// loadsAtOnce is the number of engines that may load new weights
	// concurrently, each for loadTime.
	loadsAtOnce int
	loadTime    time.Duration
	// sharedScope computes block IDs without the team. It is set only by the
	// test of the checker.
	sharedScope bool
	// scale multiplies the rate of requests.
	scale float64
}

// teamLoad is the fraction of the requests that one team sends.
type teamLoad struct {
	name  ident.Team
	share float64
}

// request is one request of a workload.
type request struct {
	at     time.Duration
	team   ident.Team
	class  *Class
	source *prompt
	blocks []prefix.BlockID
	tokens int
	output int
	// version is the weight version whose blocks the request may use.
	version ident.Version
}

// prompt is a kept prompt, such as a history or a schema.
type prompt struct {
	id     int
	team   ident.Team
	length int // initial number of blocks
	// rest is the number of tokens after the last complete block, which have no
	// block ID and are computed for every request.
	rest  int
	grown int
	chain []prefix.BlockID
	// text seeds the tokens; prompts of two teams may have the same text.
	text uint64
	last time.Duration
}

// maxGrowth bounds the number of blocks added to a prompt during a run.
const maxGrowth = 40

// teamsOf returns n teams. The first large ones share the fraction largeShare of the
// requests.
func teamsOf(n, large int, largeShare float64) []teamLoad {
	out := make([]teamLoad, 0, n)
	for i := range n {
		share := (1 - largeShare) / float64(n-large)
		if i < large {
			share = largeShare / float64(large)
		}
		out = append(out, teamLoad{ident.Team(fmt.Sprintf("team-%02d", i)), share})
	}
	return out
}

// chainKey is the key of the block IDs.
var chainKey = prefix.Key{1, 2, 3}

// makePrompts returns random kept prompts of a workload. Every fiftieth has the same
// text as one of another team, as if two growers asked about the same lot.
func makePrompts(w *Workload, random *rand.Rand, shortest, longest int) []*prompt {
	out := make([]*prompt, 0, w.prompts)
	for i := range w.prompts {
		p := &prompt{id: i, team: pickTeam(w.teams, random), text: uint64(i), rest: random.IntN(blockTokens)}
		spread := math.Pow(random.Float64(), 1.5)
		p.length = shortest + int(spread*float64(longest-shortest))
		if i%50 == 49 {
			p.text = uint64(i - 1)
			p.length = out[i-1].length
			p.team = otherTeam(w.teams, out[i-1].team)
		}
		p.chain = chainOf(p, p.length+maxGrowth, firstVersion, w.sharedScope)
		out = append(out, p)
	}
	return out
}

func otherTeam(teams []teamLoad, than ident.Team) ident.Team {
	if teams[0].name != than {
		return teams[0].name
	}
	return teams[1].name
}

func pickTeam(teams []teamLoad, random *rand.Rand) ident.Team {
	x := random.Float64()
	for _, t := range teams {
		if x -= t.share; x < 0 {
			return t.name
		}
	}
	return teams[len(teams)-1].name
}

// chainOf returns the block IDs of a prompt, computed with the product's keyed chain
// over one token per block, which is equally distinct and much faster.
func chainOf(p *prompt, blocks int, version ident.Version, shared bool) []prefix.BlockID {
	tokens := make([]uint32, 0, blocks)
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], p.text)
	for i := range blocks {
		tokens = append(tokens, binary.LittleEndian.Uint32(seed[:4])*1009+uint32(i))
	}
	scope := prefix.Scope{Team: p.team, Model: theModel, Version: version}
	if shared {
		scope.Team = ""
	}
	return prefix.Chain(chainKey, scope, tokens, 1)
}

// returning returns the next request for a prompt, which grows with the probability
// growthChance.
func (p *prompt) returning(at time.Duration, class *Class, random *rand.Rand) *request {
	if p.last > 0 && p.grown < maxGrowth && random.Float64() < growthChance {
		p.grown++
	}
	p.last = at
	n := p.length + p.grown
	return &request{
		at: at, team: p.team, class: class, source: p,
		blocks: p.chain[:n], tokens: n*blockTokens + p.rest + class.Tail,
		output:  1 + int(random.ExpFloat64()*float64(class.Output)),
		version: firstVersion,
	}
}

// growthChance is the probability that a reused prompt has one more block.
const growthChance = 0.2

// poisson yields the arrival times of a Poisson process with the varying rate, which
// must not exceed peak.
func (w *Workload) poisson(random *rand.Rand, peak float64, rate func(time.Duration) float64, yield func(time.Duration)) {
	scaled := peak * w.scale
	for at := seconds(random.ExpFloat64() / scaled); at < w.Duration; at += seconds(random.ExpFloat64() / scaled) {
		if random.Float64() < rate(at)/peak {
			yield(at)
		}
	}
}

func sortRequests(requests []*request) {
	slices.SortStableFunc(requests, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
}
