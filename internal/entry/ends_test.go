package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// endsMost are the engines that may end under a prompt, and a call, before it is known,
// and sentMost the times that it may be sent on afterwards.
const endsMost, sentMost = 3, 3

// A prompt ends each engine that begins to run it, and its caller sends it to one entry
// after the other. Each attempt was new to the entry that got it, as in the routed
// pipeline: it was sent, and sent again to the next engine, with every attempt.
func TestAPromptThatEndsItsEnginesIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newBench(t), newBench(t)
		joined(one, two)
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
		otherTeams := two.prompt(t, 100)
		otherTeams.Tokens = []uint32{1, 2, 3}
		for _, f := range two.upstreams.engines {
			f.script = &script{steps: []step{{}}}
		}
		answer, err := two.Prompt(t.Context(), otherTeams)
		if err == nil {
			_, err = read(answer)
		}
		if err != nil {
			t.Errorf("another prompt is not served: %v", err)
		}
	})
}

// The same for a call of a plain service.
func TestACallThatEndsItsReplicasIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newBench(t), newBench(t)
		joined(one, two)
		for _, b := range []*bench{one, two} {
			for _, name := range []string{"app-1", "app-2", "app-3"} {
				f := b.service(t, name)
				for range 50 {
					f.errs = append(f.errs, errLost)
				}
			}
		}
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

// joined lets entries hear of each other.
func joined(one, two *bench) {}

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
