package steward

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/roster"
)

// Guards against a control group that never recovers from a restart: three thousand
// upstreams announce themselves at once, are answered late, and announce themselves again.
func TestAnnouncementsOfARestartShareCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const upstreams, perCommand = 3000, 30 * time.Millisecond
		commands, carried := 0, make(map[string]int)
		g := newGatherer(func(_ context.Context, words []roster.Upstream) []wordVerdict {
			time.Sleep(perCommand)
			commands++
			verdicts := make([]wordVerdict, len(words))
			for i, u := range words {
				carried[u.ID]++
				if u.Service == "nobody" {
					verdicts[i] = wordForeign
				}
			}
			return verdicts
		})
		began := time.Now()
		var all sync.WaitGroup
		for i := range upstreams {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 300 * time.Microsecond)
				u := roster.Upstream{ID: fmt.Sprint("u", i)}
				if i%100 == 0 {
					u.Service = "nobody"
				}
				if err := g.add(context.Background(), u); errors.Is(err, ErrForeignWriter) != (i%100 == 0) {
					t.Errorf("%s: %v", u.ID, err)
				}
			})
		}
		all.Wait()
		if took := time.Since(began); took > 1200*time.Millisecond {
			t.Errorf("the last is answered after %v", took)
		}
		if len(carried) != upstreams || commands > 40 {
			t.Errorf("%d upstreams in %d commands", len(carried), commands)
		}
	})
}

// Guards against an announcement that counts as taken in although its batch was not
// committed, and against one that waits for ever.
func TestAnnouncementsOfAFailedBatchAreUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatherer(func(ctx context.Context, _ []roster.Upstream) []wordVerdict {
			<-ctx.Done()
			return nil
		})
		if err := g.add(context.Background(), roster.Upstream{ID: "u"}); !errors.Is(err, ErrUnavailable) {
			t.Errorf("a failed batch: %v", err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		if err := g.add(ctx, roster.Upstream{ID: "u"}); !errors.Is(err, ErrUnavailable) {
			t.Errorf("a caller that has gone: %v", err)
		}
		time.Sleep(proposeTimeout)
	})
}
