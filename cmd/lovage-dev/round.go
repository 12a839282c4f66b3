package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/internal/standin"
)

// roundTotals are the totals over the answers to all prompts.
type roundTotals struct {
	count          int
	prompt, reused int // tokens
	fromStore      int
	firstToken     time.Duration // sum over all answers
}

// recomputedShare is the share of the prompt tokens that was not reused, from 0 to 1.
func (r roundTotals) recomputedShare() float64 {
	if r.prompt == 0 {
		return 0
	}
	return float64(r.prompt-r.reused) / float64(r.prompt)
}

func (s *demo) printRound(name string, r roundTotals) {
	mean := (r.firstToken / time.Duration(max(r.count, 1))).Round(time.Millisecond)
	s.printf("%s: %d prompts of %d tokens streamed; %.1f %% of the prompt tokens computed, %d prompts served from a store; first token after %v on average",
		name, r.count, promptLength, percent*r.recomputedShare(), r.fromStore, mean)
}

// sendAll streams every prompt, at most demoParallel concurrently. Prompt i is sent to
// entry i+shift, modulo the number of entries.
func (s *demo) sendAll(ctx context.Context, shift int) (roundTotals, error) {
	results := make([]streamResult, len(s.prompts))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(demoParallel)
	entries := s.deployment.entries
	for i, prompt := range s.prompts {
		address := entries[(i+shift)%len(entries)].Callers()
		group.Go(func() error {
			var err error
			if results[i], err = s.sendAndCheck(ctx, address, prompt); err == nil {
				return nil
			}
			// Not eris.Wrap: it writes to the error that it wraps. The group
			// cancels the other prompts with this error as the cause, so all of
			// them would write to it concurrently.
			return fmt.Errorf("prompt %d: %w", i, err)
		})
	}
	if err := group.Wait(); err != nil {
		return roundTotals{}, err
	}
	var total roundTotals
	for _, result := range results {
		total.count++
		total.prompt += result.usage.PromptTokens
		total.reused += result.provenance.TokensReused
		total.firstToken += result.firstToken
		if result.provenance.KeptFrom == string(entry.KeptInStore) {
			total.fromStore++
		}
	}
	s.answers += total.count
	return total, nil
}

// Bounds on sending a prompt again after a refusal with the outcome not-run.
const (
	maxResends  = 20
	resendPause = 250 * time.Millisecond
)

// sendAndCheck streams one prompt and compares the answer with the expected one, which
// is unique to the prompt and its seed.
func (s *demo) sendAndCheck(ctx context.Context, address string, prompt demoPrompt) (streamResult, error) {
	body := completion{Model: string(modelName), Prompt: prompt.tokens, MaxTokens: demoAnswer, Seed: prompt.seed}
	got, err := sendPrompt(ctx, address, prompt.from, body)
	// A caller tries the next entry when an entry reports that it did not run
	// the request, for example because it lost its serving lease on a busy
	// machine.
	for try := 0; errors.Is(err, errNotRun) && try < maxResends && ctx.Err() == nil; try++ {
		s.refused.Add(1)
		time.Sleep(resendPause)
		entries := s.deployment.entries
		got, err = sendPrompt(ctx, entries[try%len(entries)].Callers(), prompt.from, body)
	}
	if err != nil {
		return got, err
	}
	if want := standin.ExpectedAnswer(prompt.tokens, prompt.seed, demoAnswer); got.text != want {
		return got, eris.Errorf("request %s got an answer that isn't its own: %q", got.provenance.RequestID, got.text)
	}
	if got.usage.PromptTokens != len(prompt.tokens) || got.usage.CompletionTokens != demoAnswer || got.provenance.Outcome != "done" {
		return got, eris.Errorf("request %s: %+v, %+v", got.provenance.RequestID, got.usage, got.provenance)
	}
	return got, nil
}
