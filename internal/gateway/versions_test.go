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

// Guards against answers from weights that were replaced long ago (22 s were seen), because
// the loader did not reach a runner. Below the minimum version a runner gets no prompts,
// whatever the loader does; if no runner is left, the refusal contains a time to retry.
// Requests without a prompt are not affected.
func TestPromptsAvoidRunnersBelowMinVersion(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
	answer := testAnswer()
	answer.Document, answer.Inventories = nil, nil
	answer.Roster.Upstreams[3].Loaded = []roster.Loaded{{Model: "m", Version: 2}}
	answer.MinVersions = []roster.Loaded{{Model: "m", Version: 2}}
	g.ApplyAnswer(answer, time.Now())
	send := func() *recorder {
		r := request("/stream/x")
		r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
		return serve(g, r)
	}
	for range 20 {
		send()
	}
	for _, send := range sender.sends {
		if send.Upstream != "l1" || send.Prompt.Version != 2 {
			t.Fatalf("a prompt was sent to %s for version %d", send.Upstream, send.Prompt.Version)
		}
	}
	// An answer of a control host that doesn't know the minimum version doesn't lower it.
	older := *answer
	older.MinVersions, older.Roster = nil, nil
	g.ApplyAnswer(&older, time.Now())
	sent := sender.count()
	answer.MinVersions = []roster.Loaded{{Model: "m", Version: 3}}
	g.ApplyAnswer(answer, time.Now())
	g.ApplyAnswer(&older, time.Now())
	var unsent *outcome.NotRun
	if got := send(); sender.count() != sent || got.end != "refused" || !errors.As(got.cause, &unsent) || unsent.RetryAfter == 0 {
		t.Fatalf("%d sends, answered %q: %v", sender.count()-sent, got.end, got.cause)
	}
}

// Guards against a runner that attracts all prompts and refuses them. It has loaded the
// version before the newest and refuses a prompt for another version. If the entry assumed the
// newest, all prompts would go there first until its next load, and callers would be refused
// although another runner could answer.
func TestRunnerBetweenVersionsAttractsNoPrompts(t *testing.T) {
	has := map[string]uint64{"l1": 2, "l2": 1}
	g, _ := testGateway(t, func(_ int, s *Send) (*Answer, error) {
		if s.Prompt.Version != has[s.Upstream] {
			return refusal(OtherVersion), nil
		}
		return stream(io.EOF, "1"), nil
	})
	targeted := testAnswer()
	targeted.Document, targeted.Roster = nil, nil
	targeted.Weights = &steward.WeightsView{Revision: 3, Newest: []roster.Loaded{{Model: "m", Version: 3}}}
	g.ApplyAnswer(targeted, time.Now())
	const callers = 30
	refused := 0
	for range callers {
		r := request("/stream/x")
		r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
		if serve(g, r).end != "done" {
			refused++
		}
	}
	if refused > 3 {
		t.Errorf("%d of %d callers were refused", refused, callers)
	}
}

// A route leads to a service whose upstreams have no models, and callers send prompts there. A
// minimum version of the model applies to runners of the model only: these callers are
// answered.
func TestMinVersionIgnoresUpstreamsWithoutModels(t *testing.T) {
	g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	answer := testAnswer()
	answer.Document, answer.Inventories = nil, nil
	for i := range answer.Roster.Upstreams {
		if answer.Roster.Upstreams[i].Service == "app" {
			answer.Roster.Upstreams[i].Loaded = nil
		}
	}
	answer.MinVersions = []roster.Loaded{{Model: "m", Version: 2}}
	g.ApplyAnswer(answer, time.Now())
	r := request("/safe/x")
	r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
	if got := serve(g, r); got.end != "done" {
		t.Fatalf("ends %q: %v", got.end, got.cause)
	}
}

// A runner refuses the version that it was known for, and the entry tries the newest with the
// same request. The version counts as known only after an answer: a runner that refuses again
// would be preferred for weights that it doesn't have.
func TestGuessedVersionNeedsConfirmation(t *testing.T) {
	for has, want := range map[uint64]uint64{2: 1, 3: 3} {
		g, _ := testGateway(t, func(_ int, s *Send) (*Answer, error) {
			if s.Prompt.Version != has {
				return refusal(OtherVersion), nil
			}
			return stream(io.EOF, "1"), nil
		})
		targeted := testAnswer()
		targeted.Document, targeted.Roster.Upstreams = nil, targeted.Roster.Upstreams[3:4]
		targeted.Weights = &steward.WeightsView{Revision: 3, Newest: []roster.Loaded{{Model: "m", Version: 3}}}
		g.ApplyAnswer(targeted, time.Now())
		r := request("/stream/x")
		r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
		serve(g, r)
		if got := g.state.upstreams["l1"].versionOf("m"); got != want {
			t.Errorf("a runner with version %d counts as version %d, want %d", has, got, want)
		}
	}
}

// An upstream of a plain service answers 421 and names no instance, which looks like the
// answer of a runner with other weights. There is no prompt to send with another version; the
// caller gets an answer instead of a broken connection.
func TestOtherVersionWithoutPromptIsRefusal(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return refusal(OtherVersion), nil })
	if got := serve(g, request("/unsafe/x")); got.end != "refused" || sender.count() != 1 {
		t.Fatalf("%d sends, ends %q: %v", sender.count(), got.end, got.cause)
	}
}

// Guards against a prompt placed by the cache of another runner. One runner has new weights
// and no capacity, so the prompt goes to the other one with the old weights. Parts that the
// first has cached of the old weights must not count for the second: prompts behind it would
// wait for a prefill that was not accounted for.
func TestCacheOfOtherRunnerDoesNotCountAtOlderVersion(t *testing.T) {
	g, _ := testGateway(t, nil)
	s, now := g.state, time.Now()
	newer, older := s.upstreams["l1"], s.upstreams["l2"]
	newer.learn("m", 2)
	newer.own.Requests = 100
	shared := placement.Part{ID: "shared", Tokens: 9000}
	s.recent.record(cacheindex.Key{Salt: cacheindex.Scope{Model: "m", Version: 1}.Salt(), Part: shared.ID}, newer.incarnation(), now)
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
	// Of the shared part, 0.15 count as prefill if nothing is known of the caches, 0.1 if the
	// part is known to be cached.
	if p.prefillTokens < 1800 {
		t.Errorf("%d tokens of prefill, as if the other runner's cache were its own; want 1850", p.prefillTokens)
	}
}
