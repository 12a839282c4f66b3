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

// round adds up the answers to all prompts.
type round struct {
	count          int
	prompt, reused int // tokens
	fromStore      int
	firstToken     time.Duration // of all answers together
}

// recomputedShare is the part of the prompt tokens that was not reused.
func (r round) recomputedShare() float64 {
	if r.prompt == 0 {
		return 0
	}
	return float64(r.prompt-r.reused) / float64(r.prompt)
}

func (s *demo) report(name string, r round) {
	mean := (r.firstToken / time.Duration(max(r.count, 1))).Round(time.Millisecond)
	s.say("%s: %d prompts of %d tokens streamed; %.1f %% of the prompt tokens computed, %d prompts served from a store; first token after %v on average",
		name, r.count, promptLength, percent*r.recomputedShare(), r.fromStore, mean)
}

// askAll streams every prompt, a few at a time; prompt i goes to entry
// i+shift.
func (s *demo) askAll(ctx context.Context, shift int) (round, error) {
	results := make([]streamed, len(s.prompts))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(demoParallel)
	entries := s.deployment.entries
	for i, prompt := range s.prompts {
		address := entries[(i+shift)%len(entries)].Callers()
		group.Go(func() error {
			var err error
			if results[i], err = s.check(ctx, address, prompt); err == nil {
				return nil
			}
			// The group cancels the others with this error as their cause, and
			// wrapping an eris error writes to it: all would write to this one.
			return fmt.Errorf("prompt %d: %w", i, err)
		})
	}
	if err := group.Wait(); err != nil {
		return round{}, err
	}
	var total round
	for _, result := range results {
		total.count++
		total.prompt += result.usage.PromptTokens
		total.reused += result.from.TokensReused
		total.firstToken += result.firstToken
		if result.from.KeptFrom == string(entry.KeptInStore) {
			total.fromStore++
		}
	}
	s.answers += total.count
	return total, nil
}

// Bounds on the entries that one prompt is taken to.
const (
	maxTries = 20
	tryPause = 250 * time.Millisecond
)

// check streams one prompt and compares the answer with the one that only this
// prompt and seed can have.
func (s *demo) check(ctx context.Context, address string, prompt demoPrompt) (streamed, error) {
	body := completion{Model: string(modelName), Prompt: prompt.tokens, MaxTokens: demoAnswer, Seed: prompt.seed}
	got, err := ask(ctx, address, prompt.from, body)
	// A caller goes to the next entry when one says that it did not run the
	// request, for example one that lost its serving lease on a busy machine.
	for try := 0; errors.Is(err, errNotRun) && try < maxTries && ctx.Err() == nil; try++ {
		s.refused.Add(1)
		time.Sleep(tryPause)
		entries := s.deployment.entries
		got, err = ask(ctx, entries[try%len(entries)].Callers(), prompt.from, body)
	}
	if err != nil {
		return got, err
	}
	if want := standin.ExpectedAnswer(prompt.tokens, prompt.seed, demoAnswer); got.text != want {
		return got, eris.Errorf("request %s got another answer than its own: %q", got.from.RequestID, got.text)
	}
	if got.usage.PromptTokens != len(prompt.tokens) || got.usage.CompletionTokens != demoAnswer || got.from.Outcome != "done" {
		return got, eris.Errorf("request %s: %+v, %+v", got.from.RequestID, got.usage, got.from)
	}
	return got, nil
}
