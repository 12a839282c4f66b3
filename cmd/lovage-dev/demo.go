package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/entry"
)

// Sizes of the demonstration.
const (
	demoTimeout = 2 * time.Minute
	// exportTimeout bounds the export of all prompts.
	exportTimeout = 20 * time.Second
	demoPrompts   = 12
	demoBlocks    = 6
	demoTail      = 120 // tokens of a prompt beyond its last full block
	demoAnswer    = 24  // tokens of an answer
	demoParallel  = 4
	demoSeed      = 20
	promptLength  = demoBlocks*blockTokens + demoTail
	// maxRecomputed is the maximum share of the returning prompts' tokens that
	// may be recomputed: the tails behind the last full blocks, and little else.
	maxRecomputed = 0.25
	percent       = 100
)

// demo is one run of the script.
type demo struct {
	deployment *deployment
	out        io.Writer
	prompts    []demoPrompt
	answers    int
	// refused is the number of refusals with the outcome not-run, after which
	// the prompt was sent to another entry.
	refused atomic.Int64
}

// demoPrompt is a prompt of one team with a seed of its own.
type demoPrompt struct {
	from   caller
	tokens []uint32
	seed   uint64
}

// runDemo runs the script. It returns nil only if every answer was verified to be the
// caller's own and every step had the expected result.
func runDemo(ctx context.Context, d *deployment, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	script := &demo{deployment: d, out: out, prompts: drawPrompts(demoSeed)}
	for _, step := range []func(context.Context) error{
		script.start,
		script.sendFirst,
		script.evict,
		script.sendAgain,
		script.sendAsOtherTeam,
		script.callTwice,
		script.checkAudit,
	} {
		if err := step(ctx); err != nil {
			return eris.Wrap(err, "demonstration")
		}
	}
	script.printf("done: %d answers, each checked as its caller's own", script.answers)
	return nil
}

func (s *demo) printf(format string, args ...any) {
	fmt.Fprintf(s.out, format+"\n", args...)
}

// drawPrompts generates the prompts of both teams, equal for equal seeds.
func drawPrompts(seed uint64) []demoPrompt {
	random := rand.New(rand.NewPCG(seed, seed))
	prompts := make([]demoPrompt, demoPrompts)
	for i := range prompts {
		prompts[i] = demoPrompt{from: florists, tokens: make([]uint32, promptLength), seed: random.Uint64()}
		if i%2 == 1 {
			prompts[i].from = growers
		}
		for j := range prompts[i].tokens {
			prompts[i].tokens[j] = random.Uint32()
		}
	}
	return prompts
}

func since(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }

// start waits for a leader, the configuration in force and the announcements.
func (s *demo) start(ctx context.Context) error {
	d := s.deployment
	began := time.Now()
	if _, err := d.waitLeader(ctx); err != nil {
		return err
	}
	s.printf("up: %d control hosts with a leader after %v, %d entries", len(d.controls.hosts), since(began), len(d.entries))
	began = time.Now()
	revision, err := d.apply(ctx)
	if err != nil {
		return err
	}
	if err := d.waitServing(ctx, revision); err != nil {
		return err
	}
	s.printf("configuration: revision %d in force at every entry after %v", revision, since(began))
	if err := d.waitAnnounced(ctx); err != nil {
		return err
	}
	s.printf("announced: %d engines, %d store hosts, 1 service, seen by every entry",
		len(d.standins.engines), len(d.standins.stores))
	return nil
}

// sendFirst streams every prompt for the first time.
func (s *demo) sendFirst(ctx context.Context) error {
	total, err := s.sendAll(ctx, 0)
	if err != nil {
		return err
	}
	s.printRound("first time", total)
	return nil
}

// evict waits until the blocks are kept on the store hosts and clears the engines'
// caches, as happens when the prompts aren't used for a long time.
func (s *demo) evict(ctx context.Context) error {
	const kept = demoPrompts * demoBlocks
	exporting, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	err := waitUntil(exporting, "export of the blocks to the store hosts", func() bool {
		return s.allEntries(func(state entry.Dump) bool { return state.Stores.Blocks >= kept })
	})
	if err != nil {
		for _, host := range s.deployment.entries {
			state := host.Entry().Dump()
			s.printf("%s knows %d blocks on store hosts; kept prompts: %+v", state.Host, state.Stores.Blocks, state.Kept)
		}
		return err
	}
	for _, engine := range s.deployment.standins.engines {
		engine.Evict()
	}
	err = waitUntil(ctx, "reports of the eviction", func() bool {
		return s.allEntries(func(state entry.Dump) bool { return cellBlocks(state) == 0 })
	})
	if err != nil {
		return err
	}
	s.printf("evicted: %d blocks are kept on the store hosts, none in any engine", kept)
	return nil
}

func (s *demo) allEntries(holds func(entry.Dump) bool) bool {
	for _, host := range s.deployment.entries {
		if !holds(host.Entry().Dump()) {
			return false
		}
	}
	return true
}

func cellBlocks(state entry.Dump) int {
	blocks := 0
	for _, cell := range state.Cells {
		blocks += cell.Directory.Blocks
	}
	return blocks
}

// sendAgain streams the same prompts at other entries.
func (s *demo) sendAgain(ctx context.Context) error {
	total, err := s.sendAll(ctx, 1)
	if err != nil {
		return err
	}
	s.printRound("returned", total)
	if total.fromStore != total.count {
		return eris.Errorf("only %d of %d returning prompts were served from a store host", total.fromStore, total.count)
	}
	if total.recomputedShare() > maxRecomputed {
		return eris.Errorf("%.1f %% of the returning prompts' tokens were recomputed", percent*total.recomputedShare())
	}
	return nil
}

// sendAsOtherTeam sends a prompt of one team as another team: the blocks kept for the
// first team must not be reused.
func (s *demo) sendAsOtherTeam(ctx context.Context) error {
	prompt := s.prompts[0]
	prompt.from = growers
	got, err := s.sendAndCheck(ctx, s.deployment.entries[0].Callers(), prompt)
	if err != nil {
		return err
	}
	s.answers++
	if got.provenance.TokensReused != 0 {
		return eris.Errorf("%d tokens were reused from another team's prompt", got.provenance.TokensReused)
	}
	s.printf("teams apart: the same prompt sent by another team reused 0 tokens")
	return nil
}

// callTwice sends a call that may not be repeated to two entries with one idempotency
// key.
func (s *demo) callTwice(ctx context.Context) error {
	const key, body = "bid-2041", `{"lot":7,"stems":400}`
	d := s.deployment
	var answers []callResult
	for i := range 2 {
		got, err := call(ctx, d.entries[i].Callers(), florists, "/bids", key, body)
		if err != nil {
			return err
		}
		if got.status != http.StatusOK || got.outcome != "done" {
			return eris.Errorf("service call: status %d, outcome %s: %s", got.status, got.outcome, got.body)
		}
		answers = append(answers, got)
	}
	runs := d.standins.service.Runs(key)
	if runs != 1 || answers[0].body != answers[1].body || answers[0].repeated || !answers[1].repeated {
		return eris.Errorf("a call sent twice ran %d times, answers %q and %q", runs, answers[0].body, answers[1].body)
	}
	s.answers += len(answers)
	s.printf("at most once: a bid sent twice under one key, at two entries, ran %d time; both got its answer", runs)
	return nil
}

// checkAudit checks that every request has an outcome.
func (s *demo) checkAudit(ctx context.Context) error {
	closed := uint64(0)
	err := waitUntil(ctx, "an outcome of every request", func() bool {
		opened := uint64(0)
		closed = 0
		for _, host := range s.deployment.entries {
			counts := host.Audit()
			opened += counts.Opened
			closed += counts.Closed
		}
		return opened == closed
	})
	if err != nil {
		return err
	}
	if closed < uint64(s.answers) || closed > uint64(s.answers)+uint64(s.refused.Load()) {
		return eris.Errorf("the audit has %d outcomes for %d answers and %d refusals", closed, s.answers, s.refused.Load())
	}
	s.printf("audited: every one of %d requests has an outcome", closed)
	return nil
}
