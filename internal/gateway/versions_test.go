package gateway

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/roster"
)

// Callers were answered on weights that the operator had replaced 22 s before. The
// loader had not reached the runner, and the entry went on to send it prompts. Past
// the bound it must send it none, whatever the loader does, and say so with a time
// to come back when no runner is left; calls without a prompt are not concerned.
func TestPromptsDoNotBeginOnWeightsPastTheirBound(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
	word := testAnswer()
	word.Document, word.Inventories = nil, nil
	word.Roster.Upstreams[3].Loaded = []roster.Loaded{{Model: "m", Version: 2}}
	word.MinVersions = []roster.Loaded{{Model: "m", Version: 2}}
	g.ApplyAnswer(word, time.Now())
	ask := func() *recorder {
		r := request("/stream/x")
		r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
		return serve(g, r)
	}
	for range 20 {
		ask()
	}
	for _, send := range sender.sends {
		if send.Upstream != "l1" || send.Prompt.Version != 2 {
			t.Fatalf("a prompt was sent to %s for version %d", send.Upstream, send.Prompt.Version)
		}
	}
	// An answer of a host that has not heard of the bound takes nothing back.
	older := *word
	older.MinVersions, older.Roster = nil, nil
	g.ApplyAnswer(&older, time.Now())
	sent := sender.count()
	word.MinVersions = []roster.Loaded{{Model: "m", Version: 3}}
	g.ApplyAnswer(word, time.Now())
	g.ApplyAnswer(&older, time.Now())
	var unsent *outcome.NotRun
	if got := ask(); sender.count() != sent || got.ends != "refused" || !errors.As(got.cause, &unsent) || unsent.RetryAfter == 0 {
		t.Fatalf("%d sends, answered %q: %v", sender.count()-sent, got.ends, got.cause)
	}
}

// A runner refuses a prompt because it has other weights than the entry asked for. It
// has loaded the version before the newest. If the entry takes it for one that has the
// newest, all prompts go there before any other runner, and the runner refuses each of
// them, for as long as it takes to load once more; callers are turned away though
// another runner would answer them.
func TestARunnerBetweenTwoVersionsDrawsNoPromptsThatItRefuses(t *testing.T) {
	has := map[string]uint64{"l1": 2, "l2": 1}
	g, _ := testGateway(t, func(_ int, s *Send) (*Answer, error) {
		if s.Prompt.Version != has[s.Upstream] {
			return refusal(OtherVersion), nil
		}
		return stream(io.EOF, "1"), nil
	})
	named := testAnswer()
	named.Document, named.Roster = nil, nil
	named.Weights = &steward.WeightsView{Revision: 3, Newest: []roster.Loaded{{Model: "m", Version: 3}}}
	g.ApplyAnswer(named, time.Now())
	const callers = 30
	refused := 0
	for range callers {
		r := request("/stream/x")
		r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
		if serve(g, r).ends != "done" {
			refused++
		}
	}
	if refused > 3 {
		t.Errorf("%d of %d callers were turned away", refused, callers)
	}
}

// A route leads to a service whose upstreams hold no models, and its callers send
// prompts there all the same. Weights of the model are past their bound elsewhere.
// That concerns runners of the model only: callers of this service are to be answered.
func TestTheFloorConcernsNoUpstreamsWithoutModels(t *testing.T) {
	g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	word := testAnswer()
	word.Document, word.Inventories = nil, nil
	for i := range word.Roster.Upstreams {
		if word.Roster.Upstreams[i].Service == "app" {
			word.Roster.Upstreams[i].Loaded = nil
		}
	}
	word.MinVersions = []roster.Loaded{{Model: "m", Version: 2}}
	g.ApplyAnswer(word, time.Now())
	r := request("/safe/x")
	r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
	if got := serve(g, r); got.ends != "done" {
		t.Fatalf("ends %q: %v", got.ends, got.cause)
	}
}

// A runner refuses the version that it was known for, and the entry tries the newest
// with the same request. Only an answer makes that a belief: refused again, the runner
// would be preferred for weights that it does not have.
func TestAGuessedVersionIsBelievedOnceItIsConfirmed(t *testing.T) {
	for has, want := range map[uint64]uint64{2: 1, 3: 3} {
		g, _ := testGateway(t, func(_ int, s *Send) (*Answer, error) {
			if s.Prompt.Version != has {
				return refusal(OtherVersion), nil
			}
			return stream(io.EOF, "1"), nil
		})
		named := testAnswer()
		named.Document, named.Roster.Upstreams = nil, named.Roster.Upstreams[3:4]
		named.Weights = &steward.WeightsView{Revision: 3, Newest: []roster.Loaded{{Model: "m", Version: 3}}}
		g.ApplyAnswer(named, time.Now())
		r := request("/stream/x")
		r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
		serve(g, r)
		if got := g.state.upstreams["l1"].versionOf("m"); got != want {
			t.Errorf("a runner with version %d is believed to have %d, want %d", has, got, want)
		}
	}
}

// An upstream of a plain service answers 421 and names no instance, so that the answer
// looks like that of a runner with other weights. There is no prompt to send again with
// another version; the caller gets an answer, and no connection that breaks off.
func TestOtherWeightsThanNoneAreARefusal(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return refusal(OtherVersion), nil })
	if got := serve(g, request("/unsafe/x")); got.ends != "refused" || sender.count() != 1 {
		t.Fatalf("%d sends, ends %q: %v", sender.count(), got.ends, got.cause)
	}
}

// One runner has new weights and no room, the other the weights before. A prompt is
// sent to the second. What the first has cached of the older weights must not count as
// the second's: it would be given a prompt as if it had little to read, and prompts
// that come after would wait behind what nobody counted.
func TestACacheOfAnotherRunnerDoesNotCountAtOlderWeights(t *testing.T) {
	g, _ := testGateway(t, nil)
	s, now := g.state, time.Now()
	newer, older := s.upstreams["l1"], s.upstreams["l2"]
	newer.learn("m", 2)
	newer.own.Requests = 100
	shared := placement.Part{ID: "shared", Tokens: 9000}
	s.recent.record(cacheindex.Key{Salt: salt("m", 1, nil), Part: shared.ID}, newer.incarnation(), now)
	r := request("/stream/x")
	r.Prompt = prompt(shared, placement.Part{ID: "own", Tokens: 500})
	admitted, err := g.admit(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	p, err := admitted.tryPlan(now)
	if err != nil || p == nil || p.upstream != older {
		t.Fatalf("plan %+v, %v", p, err)
	}
	// Of the shared part, 0.15 are to be read where nothing is known, 0.1 where it is
	// known to be cached.
	if p.prefillTokens < 1800 {
		t.Errorf("%d tokens count as to be read, as if the other runner's cache were its own; want 1850", p.prefillTokens)
	}
}
