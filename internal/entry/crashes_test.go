package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/quarantine"
)

// endsMost are the engines that may end under a prompt, and a call, before it is known,
// and sentMost the times that it may be sent on afterwards.
const endsMost, sentMost = 3, 3

// A prompt ends each engine that begins to run it, and its caller sends it to one entry
// after the other. Each attempt was new to the entry that got it: the engine was held
// to have failed, never the prompt, so it was sent, and sent again to the next engine,
// with every attempt. 16 attempts at two entries ended 36 engines.
func TestAPromptThatEndsItsEnginesIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newBench(t), newBench(t)
		ended := func(b *bench) (n int) {
			for _, f := range b.upstreams.engines {
				n += len(f.requests)
			}
			return n
		}
		for _, b := range []*bench{one, two} {
			for _, name := range []string{"runner-1", "runner-2", "runner-3", "runner-4"} {
				b.engine(t, name, step{refuse: errLost})
			}
		}
		joined(t, one, two)
		for n := range byte(16) {
			b := []*bench{one, two}[n%2]
			if answer, err := b.Prompt(t.Context(), b.prompt(t, n)); err == nil {
				_, _ = read(answer)
			}
			time.Sleep(500 * time.Millisecond)
			reborn(t, one, two)
		}
		if n := ended(one) + ended(two); n > endsMost+sentMost {
			t.Errorf("%d engines ended under one prompt, want at most %d", n, endsMost+sentMost)
		}
		another := two.prompt(t, 100)
		another.Tokens = []uint32{1, 2, 3}
		for _, f := range two.upstreams.engines {
			f.script = &script{steps: []step{{}}}
		}
		answer, err := two.Prompt(t.Context(), another)
		if err == nil {
			_, err = read(answer)
		}
		if err != nil {
			t.Errorf("another prompt is not served: %v", err)
		}
	})
}

// The same for a call of a plain service: 16 attempts ended 36 replicas.
func TestACallThatEndsItsReplicasIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newBench(t), newBench(t)
		for _, b := range []*bench{one, two} {
			for _, name := range []string{"app-1", "app-2", "app-3"} {
				f := b.service(t, name)
				for range 50 {
					f.errs = append(f.errs, errLost)
				}
			}
		}
		joined(t, one, two)
		for n := range byte(16) {
			b := []*bench{one, two}[n%2]
			caller, err := b.Authorize(digest(testToken))
			if err != nil {
				t.Fatal(err)
			}
			answer, err := b.Call(t.Context(), ServiceCall{Request: ident.Request{n}, Caller: caller, Service: "clock-app", Method: "GET", Path: "/lots/1"})
			if err == nil {
				_ = answer.Body.Close()
			}
			time.Sleep(500 * time.Millisecond)
			reborn(t, one, two)
		}
		ended := 0
		for _, b := range []*bench{one, two} {
			for _, f := range b.upstreams.services {
				ended += len(f.calls)
			}
		}
		if ended > endsMost+sentMost {
			t.Errorf("%d replicas ended under one call, want at most %d", ended, endsMost+sentMost)
		}
	})
}

// joined lets entries hear of each other. Upstreams that break off have ended.
func joined(t *testing.T, one, two *bench) {
	one.upstreams.ended, two.upstreams.ended = true, true
	one.options.SendCrashes = func(body []byte) { _ = two.ApplyCrashes(body) }
	two.options.SendCrashes = func(body []byte) { _ = one.ApplyCrashes(body) }
	run(t, one, two)
}

// run lets entries work until the test ends. Their upstreams are announced before.
func run(t *testing.T, entries ...*bench) {
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	for _, b := range entries {
		work.Go(func() { b.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); work.Wait() })
}

// reborn announces all upstreams in a new life, as after their end.
func reborn(t *testing.T, entries ...*bench) {
	t.Helper()
	for _, b := range entries {
		for i := range b.announced {
			b.announced[i].Incarnation++
		}
		b.announceAgain(t)
	}
}

// ask sends one prompt of the test team, with a seed that tells it from others.
func (b *bench) ask(t *testing.T, id byte, seed uint64) error {
	t.Helper()
	prompt := b.prompt(t, id)
	prompt.Seed = seed
	answer, err := b.Prompt(t.Context(), prompt)
	if err == nil {
		_, err = read(answer)
	}
	return err
}

func isHeld(err error) bool {
	var unknown *outcome.Unknown
	return errors.As(err, &unknown) && unknown.Reason == outcome.ReasonCrashesUpstreams
}

// The first messages about ends are lost, and a third entry starts long after they were
// seen. Both must hold the prompt, tell its caller that it is not sent, and go on
// sending all others; once it was served somewhere, all send it again.
func TestEndsReachEveryEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two, three := newBench(t), newBench(t), newBench(t)
		one.upstreams.ended = true
		var told atomic.Int32
		one.options.SendCrashes = func(body []byte) {
			if told.Add(1) > 3 {
				_, _ = two.ApplyCrashes(body), three.ApplyCrashes(body)
			}
		}
		for i := range quarantine.CrashThreshold {
			one.engine(t, fmt.Sprint("runner-", i), step{refuse: errLost})
			two.engine(t, fmt.Sprint("runner-", i))
			three.engine(t, fmt.Sprint("runner-", i))
		}
		run(t, one)
		for n := range byte(2) {
			_ = one.ask(t, n, 7)
			time.Sleep(time.Second)
			reborn(t, one)
		}
		time.Sleep(2 * crashInterval)
		if err := two.ask(t, 10, 7); !isHeld(err) {
			t.Errorf("the second entry answers %v", err)
		}
		time.Sleep(2 * crashRepeat)
		three.mu.Lock()
		three.crashes = newCrashState()
		three.mu.Unlock()
		one.control.enter(Peer{Host: "entry-3"})
		time.Sleep(2 * crashInterval)
		three.announceAgain(t)
		if err := three.ask(t, 11, 7); !isHeld(err) {
			t.Errorf("an entry that started later answers %v", err)
		}
		if err := three.ask(t, 12, 8); err != nil {
			t.Errorf("another prompt ends with %v", err)
		}
		_ = three.ApplyCrashes(wire.MustMarshal(crashMessage{Served: three.crashes.tracker.Quarantined()}))
		three.announceAgain(t)
		if err := three.ask(t, 13, 7); err != nil {
			t.Errorf("a prompt that was served elsewhere ends with %v", err)
		}
	})
}

// Connections break, but the engines go on: their prompts are not held, and an entry
// that has served one clears it with all others. Old ends no longer count.
func TestOnlyEndsCountAndNotForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.engine(t, "runner-1", step{refuse: errLost})
		run(t, b)
		for n := range byte(6) {
			_ = b.ask(t, n, 7)
			time.Sleep(time.Second)
			reborn(t, b)
		}
		if held := b.crashes.tracker.Quarantined(); len(held) != 0 || b.crashes.lost.Len() != 0 {
			t.Fatalf("held %v without an end", held)
		}
		b.upstreams.ended = true
		for n := range byte(6) {
			_ = b.ask(t, 10+n, 7)
			time.Sleep(time.Second)
			reborn(t, b)
		}
		if !isHeld(b.ask(t, 20, 7)) {
			t.Fatal("not held")
		}
		time.Sleep(quarantine.CrashRetention)
		b.crashesDue(time.Now())
		if len(b.crashes.tracker.Incarnations())+len(b.crashes.own)+b.crashes.seen.Len() != 0 {
			t.Fatal("old ends are kept")
		}
	})
}

// What another process says is bounded.
func TestTakeEndsIsBounded(t *testing.T) {
	b := newBench(t)
	if b.ApplyCrashes(wire.MustMarshal(crashMessage{Crashes: make([]crashReport, maxOwnCrashes+1)})) == nil {
		t.Error("too many ends are taken")
	}
	if b.ApplyCrashes([]byte("no message")) == nil {
		t.Error("bytes that can't be read are taken")
	}
}

// The only entry that saw the ends is lost, and then another starts. Those that were told
// hold the prompt: the first of them by name must tell it on, or each entry that starts
// ends three engines more.
func TestEndsAreToldOnAfterTheirEntryIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		two, three := newBench(t), newBench(t)
		two.options.SendCrashes = func(body []byte) { _ = three.ApplyCrashes(body) }
		two.engine(t, "runner-1")
		three.engine(t, "runner-1")
		run(t, two)
		bad := promptFingerprint(&Prompt{Caller: two.prompt(t, 1).Caller, Model: testModel, Tokens: two.prompt(t, 1).Tokens, MaxTokens: 5, Seed: 7})
		var seen []quarantine.Crash
		for i := range quarantine.CrashThreshold {
			seen = append(seen, quarantine.Crash{
				Life: quarantine.Incarnation{Upstream: fmt.Sprint("gone-", i)}, Prints: []quarantine.Fingerprint{bad, {byte(i)}},
			})
		}
		if err := two.ApplyCrashes(wire.MustMarshal(toldNow(seen))); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * crashRepeat)
		two.control.enter(Peer{Host: "entry-1"})
		two.control.enter(Peer{Host: "entry-3"})
		time.Sleep(2 * crashInterval)
		three.announceAgain(t)
		if err := three.ask(t, 1, 7); !isHeld(err) {
			t.Errorf("an entry that starts later answers %v", err)
		}
	})
}

// An entry hears of old ends because it starts late, and becomes the first that tells of
// them. Told on as new, the ends would come back to entries that have forgotten them,
// and the prompt would be held for ever.
func TestEndsThatAreToldOnGrowOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, late := newBench(t), newBench(t)
		tell := func(from, to *bench) {
			from.mu.Lock()
			m := from.crashes.due(time.Now(), "entry-0", []Peer{{Host: "entry-0"}, {Host: ident.Host("entry-" + time.Now().String())}})
			from.mu.Unlock()
			if err := to.ApplyCrashes(wire.MustMarshal(m)); err != nil {
				t.Fatal(err)
			}
		}
		var seen []quarantine.Crash
		for i := range quarantine.CrashThreshold {
			seen = append(seen, quarantine.Crash{Life: quarantine.Incarnation{Upstream: fmt.Sprint("gone-", i)}, Prints: []quarantine.Fingerprint{{1}}})
		}
		first.applyCrashes(toldNow(seen))
		time.Sleep(quarantine.CrashRetention - time.Minute)
		tell(first, late)
		if len(late.crashes.tracker.Quarantined()) != 1 {
			t.Fatal("the late entry was not told")
		}
		time.Sleep(2 * time.Minute)
		first.crashesDue(time.Now())
		tell(late, first)
		first.mu.Lock()
		defer first.mu.Unlock()
		if held := first.crashes.tracker.Quarantined(); len(held) != 0 {
			t.Errorf("%d requests are held for ends that no longer count", len(held))
		}
	})
}

// toldNow is a message on ends that have just been seen.
func toldNow(seen []quarantine.Crash) (m crashMessage) {
	for _, end := range seen {
		m.Crashes = append(m.Crashes, crashReport{Crash: end})
	}
	return m
}
