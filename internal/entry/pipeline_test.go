package entry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/outcome"
)

const fullAnswer = "t0 t1 t2 t3 t4 "

var (
	errDial   = &outcome.NotRun{Reason: outcome.ReasonDial, Detail: "no connection"}
	errBusy   = &outcome.NotRun{Reason: outcome.ReasonRefused, Detail: "full"}
	errLost   = &outcome.Unknown{Reason: outcome.ReasonConnectionLost, Detail: "lost"}
	errBroken = &outcome.Unknown{Reason: outcome.ReasonStreamBroken, Detail: "broken"}
)

// The engine fails in one way after some tokens. The caller must get the five
// tokens in order, each once, or an error: a truncated answer that appears
// complete, or not-run for a request that may have run, would be wrong. Both
// engines share one script, so the result does not depend on the choice of
// engine.
func TestPromptOutcomes(t *testing.T) {
	cases := map[string]struct {
		class ident.Class
		steps []step
		text  string
		kind  outcome.Kind
	}{
		"complete":                     {steps: []step{{}}, text: fullAnswer, kind: outcome.KindDone},
		"refused then complete":        {steps: []step{{refuse: errBusy}}, kind: outcome.KindNotRun},
		"dial failed":                  {steps: []step{{refuse: errDial}}, kind: outcome.KindNotRun},
		"lost before the first token":  {steps: []step{{refuse: errLost}}, kind: outcome.KindUnknown},
		"broken after two, resumed":    {steps: []step{{tokens: 2, fail: errBroken}, {}}, text: fullAnswer, kind: outcome.KindDone},
		"broken everywhere":            {steps: []step{{tokens: 2, fail: errBroken}, {refuse: errDial}}, text: "t0 t1 ", kind: outcome.KindUnknown},
		"not repeatable, lost":         {class: "plan", steps: []step{{refuse: errLost}}, kind: outcome.KindUnknown},
		"not repeatable, refused":      {class: "plan", steps: []step{{refuse: errBusy}}, kind: outcome.KindNotRun},
		"token twice":                  {steps: []step{{repeat: true}}, text: fullAnswer, kind: outcome.KindDone},
		"token left out, then resumed": {steps: []step{{skip: true}, {}}, text: fullAnswer, kind: outcome.KindDone},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestEntry(t)
				first := b.engine(t, "runner-1", test.steps...)
				b.engine(t, "runner-2").script = first.script
				prompt := b.prompt(t, 1)
				prompt.Class = test.class
				text, err := "", error(nil)
				answer, err := b.Prompt(t.Context(), prompt)
				if err == nil {
					text, err = readAnswer(answer)
				}
				if outcome.KindOf(err) != test.kind || text != test.text {
					t.Fatalf("got %q, %v; want %q, %v", text, err, test.text, test.kind)
				}
				if counted := b.counts.outcomes[test.kind].Get(); counted != 1 {
					t.Fatalf("the outcome was counted %d times", counted)
				}
				if open := b.tracker.InFlight(); open != 0 {
					t.Fatalf("%d requests are still in flight", open)
				}
				if status := b.pools[poolKey{model: testModel}].controller.Status(); status.Running != 0 {
					t.Fatalf("%d requests are still admitted", status.Running)
				}
			})
		})
	}
}

// Guards against requests to engines and replicas that refused one and asked this entry to wait.
func TestUpstreamsThatAskForBackOffGetNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		refuse := &outcome.NotRun{Reason: outcome.ReasonRefused, RetryAfter: 2 * time.Second}
		engine := b.engine(t, "runner-1", step{refuse: refuse}, step{})
		var refused *outcome.NotRun
		for id := range byte(5) {
			answer, err := b.Prompt(t.Context(), b.prompt(t, id+1))
			if err == nil {
				_, err = readAnswer(answer)
			}
			if !errors.As(err, &refused) || refused.RetryAfter <= 0 {
				t.Errorf("prompt %d: %v", id+1, err)
			}
			time.Sleep(300 * time.Millisecond)
		}
		if n := len(engine.requests); n != 1 {
			t.Errorf("%d attempts within the time", n)
		}
		time.Sleep(600 * time.Millisecond)
		b.announceAgain(t)
		b.mustServe(t, 9)
		if n := len(engine.requests); n != 2 {
			t.Errorf("%d attempts after the time", n)
		}
	})
}

// The connection is lost while the first engine may have run the request, and
// the next attempt certainly does not run. The outcome must not be not-run,
// since the request may have run.
func TestNotRunIsNotReportedAfterPossibleRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		b.engine(t, "runner-1", step{refuse: errLost}, step{refuse: errDial})
		prompt := b.prompt(t, 1)
		_, err := b.Prompt(t.Context(), prompt)
		if kind := outcome.KindOf(err); kind != outcome.KindUnknown {
			t.Fatalf("got %v, %v", kind, err)
		}
	})
}

// An engine accepts the request and sends nothing until the deadline of the
// class passes. The caller must get an unknown outcome, and the engine's stream
// must be closed so that the engine stops generating.
func TestDeadlineEndsWaitForFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		engine := b.engine(t, "runner-1", step{hang: true})
		prompt := b.prompt(t, 1)
		prompt.Deadline = 2 * time.Second
		started := time.Now()
		answer, err := b.Prompt(t.Context(), prompt)
		if err != nil {
			t.Fatal(err)
		}
		_, err = readAnswer(answer)
		if kind := outcome.KindOf(err); kind != outcome.KindUnknown {
			t.Fatalf("got %v, %v", kind, err)
		}
		if waited := time.Since(started); waited != 2*time.Second {
			t.Fatalf("waited %v, want 2s", waited)
		}
		if engine.closed == 0 {
			t.Fatal("the engine's stream was left open")
		}
	})
}

// The caller disconnects in the middle of a stream. No state may remain: the
// engine's stream must be closed, and the admission and the request's id must
// be free again.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		engine := b.engine(t, "runner-1", step{tokens: 2, hang: true})
		ctx, cancel := context.WithCancel(t.Context())
		answer, err := b.Prompt(ctx, b.prompt(t, 1))
		if err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if _, err := answer.Next(); err != nil {
				t.Fatal(err)
			}
		}
		cancel()
		if _, err := answer.Next(); outcome.KindOf(err) != outcome.KindUnknown {
			t.Fatalf("got %v", err)
		}
		answer.Close()
		if engine.closed == 0 || b.tracker.InFlight() != 0 {
			t.Fatalf("%d streams closed, %d requests in flight", engine.closed, b.tracker.InFlight())
		}
	})
}

// A second request has the id of one in flight, as when a caller resends.
// Answers under one id could be confused, so the second must be refused without
// being sent.
func TestDuplicateRequestInFlightIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		engine := b.engine(t, "runner-1")
		answer, err := b.Prompt(t.Context(), b.prompt(t, 1))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.Prompt(t.Context(), b.prompt(t, 1)); outcome.KindOf(err) != outcome.KindNotRun {
			t.Fatalf("got %v", err)
		}
		if _, err := readAnswer(answer); err != nil {
			t.Fatal(err)
		}
		if len(engine.requests) != 1 {
			t.Fatalf("%d attempts were sent", len(engine.requests))
		}
	})
}

func TestRefusalsBeforeSend(t *testing.T) {
	cases := map[string]struct {
		change func(*testEntry, *Prompt)
		reason outcome.Reason
	}{
		"no serving lease": {func(b *testEntry, _ *Prompt) { b.control.serving = false }, outcome.ReasonNoServingLease},
		"unknown model":    {func(_ *testEntry, p *Prompt) { p.Model = "other" }, outcome.ReasonBadRequest},
		"class of others":  {func(_ *testEntry, p *Prompt) { p.Class = "other" }, outcome.ReasonBadRequest},
		"class of service": {func(_ *testEntry, p *Prompt) { p.Class = "bids" }, outcome.ReasonBadRequest},
		"unknown adapter":  {func(_ *testEntry, p *Prompt) { p.Adapter = "other" }, outcome.ReasonNoUpstream},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestEntry(t)
				engine := b.engine(t, "runner-1")
				prompt := b.prompt(t, 1)
				test.change(b, &prompt)
				_, err := b.Prompt(t.Context(), prompt)
				var notRun *outcome.NotRun
				if !errors.As(err, &notRun) || notRun.Reason != test.reason {
					t.Fatalf("got %v, want %s", err, test.reason)
				}
				if len(engine.requests) != 0 || b.tracker.InFlight() != 0 {
					t.Fatalf("%d attempts were sent, %d requests are in flight", len(engine.requests), b.tracker.InFlight())
				}
			})
		})
	}
}

// The entry loses its serving lease while a request is queued. A newer
// configuration may be in force elsewhere, so the request must not be sent when
// it is admitted, and its outcome is not-run.
func TestLeaseLostWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		engine := b.engine(t, "runner-1", step{tokens: 1, hang: true})
		var open []Answer
		for id := range byte(8) {
			answer, err := b.Prompt(t.Context(), b.prompt(t, id+1))
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, answer)
		}
		refused := make(chan error, 1)
		go func() {
			_, err := b.Prompt(t.Context(), b.prompt(t, 99))
			refused <- err
		}()
		synctest.Wait()
		b.control.mu.Lock()
		b.control.serving = false
		b.control.mu.Unlock()
		for _, answer := range open {
			answer.Close()
		}
		if err := <-refused; reason(err) != outcome.ReasonNoServingLease || len(engine.requests) != 8 {
			t.Fatalf("got %v after %d sends", err, len(engine.requests))
		}
	})
}

// A caller takes long to send its body, and its token is revoked meanwhile. The
// request must be checked against the configuration in force when it is sent.
func TestTokenRevokedBeforeSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		engine := b.engine(t, "runner-1")
		prompt := b.prompt(t, 1)
		doc := b.control.snapshot.Document()
		doc.Teams[0].Tokens = []config.TokenDigest{digest("another")}
		var err error
		if b.control.snapshot, err = config.NewSnapshot(2, doc); err != nil {
			t.Fatal(err)
		}
		if _, err = b.Prompt(t.Context(), prompt); reason(err) != outcome.ReasonUnauthorized || len(engine.requests) != 0 {
			t.Fatalf("got %v after %d sends", err, len(engine.requests))
		}
	})
}

// An upstream announces that it is leaving. It must get no new request from
// then on, and its running requests must complete.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		leaving := b.engine(t, "runner-1")
		running, err := b.Prompt(t.Context(), b.prompt(t, 1))
		if err != nil {
			t.Fatal(err)
		}
		b.announce(t, port.Announcement{
			Upstream: "runner-1", Kind: port.KindEngine, Address: "127.0.0.1:9000", Leaving: true,
			Models: []port.LoadedVersion{{Model: testModel, Version: testVersion}},
		})
		staying := b.engine(t, "runner-2")
		for id := byte(2); id < 20; id++ {
			answer, err := b.Prompt(t.Context(), b.prompt(t, id))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := readAnswer(answer); err != nil {
				t.Fatal(err)
			}
		}
		if text, err := readAnswer(running); err != nil || text != fullAnswer {
			t.Fatalf("the running request got %q, %v", text, err)
		}
		if len(leaving.requests) != 1 || len(staying.requests) != 18 {
			t.Fatalf("the leaving engine got %d requests, the other %d", len(leaving.requests), len(staying.requests))
		}
	})
}

// An entry starts, and the first request arrives when one runner of many has
// announced itself. The pool must grow with the runners, and requests admitted
// to the small pool must complete.
func TestPoolGrowsWithUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		hanging := step{tokens: 1, hang: true}
		b.engine(t, "runner-0", hanging)
		var open []Answer
		for id := range byte(8) {
			answer, err := b.Prompt(t.Context(), b.prompt(t, id+1))
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, answer)
		}
		for i := 1; i < 10; i++ {
			b.engine(t, fmt.Sprintf("runner-%d", i), hanging)
		}
		for id := range byte(80) {
			answer, err := b.Prompt(t.Context(), b.prompt(t, id+100))
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, answer)
		}
		for _, answer := range open {
			answer.Close()
		}
		if status := b.pools[poolKey{model: testModel}].controller.Status(); status.Running != 0 || status.Limit != 80 {
			t.Errorf("pool status %+v, want none running and a limit of 80", status)
		}
		if b.tracker.InFlight() != 0 {
			t.Errorf("%d requests are in flight", b.tracker.InFlight())
		}
	})
}
