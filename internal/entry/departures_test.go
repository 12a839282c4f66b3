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

// offers tells whether the entry sends prompts anywhere.
func (b *bench) offers(t *testing.T, id byte) bool {
	t.Helper()
	answer, err := b.Prompt(t.Context(), b.prompt(t, id))
	if err == nil {
		_, err = read(answer)
	}
	if err != nil && outcome.KindOf(err) != outcome.KindNotRun {
		t.Fatal(err)
	}
	return err == nil
}

// An engine says to one entry only that it is leaving. The first message to the
// second entry is lost, and the third entry is reached only by the second. Two
// seconds after the word no entry may send it anything, and an announcement that
// was under way meanwhile must not bring it back: a caller would else wait for
// an engine that shuts down. Its next life serves again.
func TestDepartureReachesEveryEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two, three := newBench(t), newBench(t), newBench(t)
		entries := []*bench{one, two, three}
		var told atomic.Int32
		one.options.SendDepartures = func(body []byte) {
			if told.Add(1) > 1 {
				two.takeWords(t, body)
			}
		}
		two.options.SendDepartures = func(body []byte) { three.takeWords(t, body) }
		ctx, cancel := context.WithCancel(t.Context())
		for i, b := range entries {
			b.engine(t, "runner-1")
			if !b.offers(t, 1) {
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
			if b.offers(t, 2) {
				t.Errorf("entry %d sends to the engine 2 s after its word", i+1)
			}
			late := b.announced[0]
			if _, err := b.Announce(late); !errors.Is(err, ErrRefused) || b.offers(t, 3) {
				t.Errorf("entry %d takes the late announcement: %v", i+1, err)
			}
			late.Incarnation++
			if _, err := b.Announce(late); err != nil || !b.offers(t, 4) {
				t.Errorf("entry %d refuses the next life: %v", i+1, err)
			}
		}
		cancel()
		synctest.Wait()
	})
}

func (b *bench) takeWords(t *testing.T, body []byte) {
	if err := b.ApplyDepartures(body); err != nil {
		t.Error(err)
	}
}

// Two entries tell each other of a departure, and the one that heard it first
// forgets it first. If each then took the other's word for news, the departure
// would go round for ever. The telling must end, and an upstream that uses its
// incarnation again long after must be taken.
func TestDepartureIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newBench(t), newBench(t)
		var mu sync.Mutex
		told, lastTold := 0, time.Time{}
		join := func(from, to *bench) {
			from.options.SendDepartures = func(body []byte) {
				mu.Lock()
				told, lastTold = told+1, time.Now()
				mu.Unlock()
				go func() {
					time.Sleep(time.Millisecond)
					to.takeWords(t, body)
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
		if quiet := lastTold.Sub(started); told < 2 || quiet > departureRepeat+departureInterval {
			t.Errorf("told %d times, the last time after %v", told, quiet)
		}
		for _, b := range []*bench{one, two} {
			b.engine(t, "runner-1")
			if !b.offers(t, 1) {
				t.Error("the engine is refused ten minutes later")
			}
		}
	})
}

// A message that is damaged, too long or of another kind must be refused whole:
// taken in part, it would take out engines that nobody said are leaving.
func TestBadDeparturesAreRefused(t *testing.T) {
	word := departureNotice{Upstream: "runner-1", Incarnation: 1}
	many := departureMessage{}
	for i := range maxDeparturesPerMessage + 1 {
		many.Departures = append(many.Departures, departureNotice{Upstream: ident.Upstream(fmt.Sprint("runner-", i)), Incarnation: 1})
	}
	long := departureNotice{Upstream: ident.Upstream(strings.Repeat("r", upstream.MaxNameLength+1)), Incarnation: 1}
	cases := map[string]any{
		"another kind":        "runner-1",
		"too many":            many,
		"no name":             departureMessage{Departures: []departureNotice{word, {Incarnation: 1}}},
		"long name":           departureMessage{Departures: []departureNotice{word, long}},
		"unknown field":       map[int]any{1: []departureNotice{word}, 2: true},
		"unknown inner field": map[int]any{1: []any{map[int]any{1: "runner-1", 2: 1, 3: "more"}}},
	}
	for name, message := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.engine(t, "runner-1")
			if err := b.ApplyDepartures(wire.MustMarshal(message)); err == nil {
				t.Error("the message is taken")
			}
			if left := b.registry.Departures(nil); len(left) > 0 {
				t.Errorf("left: %v", left)
			}
		})
	}
}
