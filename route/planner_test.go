package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

var start = time.Unix(1_700_000_000, 0)

func newPlanner(t testing.TB, o Options) *Planner {
	t.Helper()
	p, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func random() *rand.Rand { return rand.New(rand.NewPCG(7, 11)) }

// storedCopy returns a copy of n tokens at 40 kB each on one store host.
func storedCopy(store ident.Upstream, n int) Copy {
	return Copy{Store: store, From: 0, To: n, Bytes: int64(n) * 40_000, LinkBytesPerSecond: 2_500_000_000}
}

func TestChoice(t *testing.T) {
	holder := Candidate{Upstream: "holder", Slots: 8, CachedTokens: 20_000}
	busyHolder := holder
	busyHolder.QueuedTokens = 60_000
	idle := Candidate{Upstream: "idle", Slots: 8}
	overlapping := idle
	overlapping.Overlaps = true
	arriving := Candidate{Upstream: "arriving", Slots: 8, CachedTokens: 20_000, CachedAfter: 100 * time.Millisecond}
	late := arriving
	late.CachedAfter = 2 * time.Second
	tight, loose := 400*time.Millisecond, time.Minute
	slowCopy := storedCopy("cellar", 20_000)
	slowCopy.LinkBytesPerSecond = 800_000_000
	tests := []struct {
		name       string
		candidates []Candidate
		copies     []Copy
		target     time.Duration
		upstream   ident.Upstream
		kind       Kind
	}{
		{"idle holder", []Candidate{holder, idle}, []Copy{storedCopy("cellar", 20_000)}, tight, "holder", Reuse},
		{"busy holder, no slack", []Candidate{busyHolder, idle}, []Copy{storedCopy("cellar", 20_000)}, tight, "idle", Fetch},
		{"busy holder, slack", []Candidate{busyHolder, idle}, nil, loose, "holder", Reuse},
		{"busy holder, no slack, no copy", []Candidate{busyHolder, idle}, nil, tight, "idle", Recompute},
		{"another request completes the prefix soon", []Candidate{arriving, idle}, []Copy{storedCopy("cellar", 20_000)}, tight, "arriving", Reuse},
		{"another request completes the prefix too late", []Candidate{late, idle}, []Copy{storedCopy("cellar", 20_000)}, tight, "idle", Fetch},
		{"slow link, engine overlaps, no slack", []Candidate{overlapping}, []Copy{slowCopy}, tight, "idle", PartialFetch},
		{"slow link, slack", []Candidate{overlapping}, []Copy{slowCopy}, loose, "idle", Fetch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlanner(t, Options{})
			d, err := p.Plan(start, Request{
				PromptTokens: 20_500, Arrived: start, Target: tt.target,
				Candidates: tt.candidates, Copies: tt.copies,
			}, random())
			if err != nil {
				t.Fatal(err)
			}
			if d.Upstream != tt.upstream || d.Kind != tt.kind {
				t.Errorf("chose %s on %s, want %s on %s; considered %+v", d.Kind, d.Upstream, tt.kind, tt.upstream, d.Considered)
			}
			if sum := d.CachedTokens + d.FetchTokens + d.RecomputeTokens; sum != 20_500 {
				t.Errorf("the plan covers %d tokens, want 20500", sum)
			}
			fetched := 0
			for _, part := range d.Parts {
				fetched += part.To - part.From
			}
			if fetched != d.FetchTokens {
				t.Errorf("parts fetch %d tokens, the plan predicts %d", fetched, d.FetchTokens)
			}
		})
	}
}
