package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/upstream"
)

// serves reports whether the entry sends a prompt to an upstream.
func (b *testEntry) serves(t *testing.T, id byte) bool {
	t.Helper()
	answer, err := b.Prompt(t.Context(), b.prompt(t, id))
	if err == nil {
		_, err = readAnswer(answer)
	}
	if err != nil && outcome.KindOf(err) != outcome.KindNotRun {
		t.Fatal(err)
	}
	return err == nil
}

// An engine announces its departure to one entry only. The first message to the
// second entry is lost, and the third entry is reached only through the second.
// After two seconds no entry may use the engine, and a delayed announcement
// must not reinstate it: callers would wait for an engine that shuts down. Its
// next incarnation must be accepted.
func TestDepartureReachesEveryEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two, three := newTestEntry(t), newTestEntry(t), newTestEntry(t)
		entries := []*testEntry{one, two, three}
		var messages atomic.Int32
		one.options.SendDepartures = func(body []byte) {
			if messages.Add(1) > 1 {
				two.mustApplyDepartures(t, body)
			}
		}
		two.options.SendDepartures = func(body []byte) { three.mustApplyDepartures(t, body) }
		ctx, cancel := context.WithCancel(t.Context())
		for i, b := range entries {
			b.engine(t, "runner-1")
			if !b.serves(t, 1) {
				t.Fatalf("entry %d does not offer the engine", i+1)
			}
			go b.Run(ctx)
		}
		leaving := one.announced[0]
		leaving.Leaving = true
		if _, err := one.Announce(leaving); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		for i, b := range entries {
			if b.serves(t, 2) {
				t.Errorf("entry %d uses the engine 2 s after its departure", i+1)
			}
			late := b.announced[0]
			if _, err := b.Announce(late); !errors.Is(err, ErrRefused) || b.serves(t, 3) {
				t.Errorf("entry %d accepted the delayed announcement: %v", i+1, err)
			}
			late.Incarnation++
			if _, err := b.Announce(late); err != nil || !b.serves(t, 4) {
				t.Errorf("entry %d refused the next incarnation: %v", i+1, err)
			}
		}
		cancel()
		synctest.Wait()
	})
}

func (b *testEntry) mustApplyDepartures(t *testing.T, body []byte) {
	if err := b.ApplyDepartures(body); err != nil {
		t.Error(err)
	}
}

// Two entries send each other a departure, and the one that received it first
// drops it first. If each then treated the other's message as new, the
// departure would circulate forever. The repetition must end, and an upstream
// that reuses its incarnation long after must be accepted.
func TestDepartureExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newTestEntry(t), newTestEntry(t)
		var mu sync.Mutex
		messages, lastSent := 0, time.Time{}
		join := func(from, to *testEntry) {
			from.options.SendDepartures = func(body []byte) {
				mu.Lock()
				messages, lastSent = messages+1, time.Now()
				mu.Unlock()
				go func() {
					time.Sleep(time.Millisecond)
					to.mustApplyDepartures(t, body)
				}()
			}
		}
		join(one, two)
		join(two, one)
		ctx, cancel := context.WithCancel(t.Context())
		go one.Run(ctx)
		go two.Run(ctx)
		started := time.Now()
		one.announce(t, port.Announcement{Upstream: "runner-1", Kind: port.KindEngine, Address: "127.0.0.1:9000", Leaving: true,
			Models: []port.LoadedVersion{{Model: testModel, Version: testVersion}}})
		time.Sleep(10 * time.Minute)
		cancel()
		synctest.Wait()
		if lasted := lastSent.Sub(started); messages < 2 || lasted > departureRepeat+departureInterval {
			t.Errorf("sent %d times, the last time after %v", messages, lasted)
		}
		for _, b := range []*testEntry{one, two} {
			b.engine(t, "runner-1")
			if !b.serves(t, 1) {
				t.Error("the engine is not used ten minutes later")
			}
		}
	})
}

// A message that is damaged, too long or of another kind must be rejected
// completely: applied in part, it would remove engines that are not leaving.
func TestInvalidDepartureMessagesAreRejected(t *testing.T) {
	notice := departureNotice{Upstream: "runner-1", Incarnation: 1}
	many := departureMessage{}
	for i := range maxDeparturesPerMessage + 1 {
		many.Departures = append(many.Departures, departureNotice{Upstream: ident.Upstream(fmt.Sprint("runner-", i)), Incarnation: 1})
	}
	long := departureNotice{Upstream: ident.Upstream(strings.Repeat("r", upstream.MaxNameLength+1)), Incarnation: 1}
	cases := map[string]any{
		"another kind":        "runner-1",
		"too many":            many,
		"no name":             departureMessage{Departures: []departureNotice{notice, {Incarnation: 1}}},
		"long name":           departureMessage{Departures: []departureNotice{notice, long}},
		"unknown field":       map[int]any{1: []departureNotice{notice}, 2: true},
		"unknown inner field": map[int]any{1: []any{map[int]any{1: "runner-1", 2: 1, 3: "more"}}},
	}
	for name, message := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestEntry(t)
			b.engine(t, "runner-1")
			if err := b.ApplyDepartures(wire.MustMarshal(message)); err == nil {
				t.Error("the message was accepted")
			}
			if left := b.registry.Departures(nil); len(left) > 0 {
				t.Errorf("recorded departures: %v", left)
			}
		})
	}
}
