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

// Guards against a control group that never recovers from a restart: three thousand upstreams
// announce themselves together, get late answers, and announce themselves again.
func TestAnnouncementsAreBatchedAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const upstreams, perCommand = 3000, 30 * time.Millisecond
		commands, delivered := 0, make(map[string]int)
		g := newBatcher(func(_ context.Context, announcements []roster.Upstream) []announceResult {
			time.Sleep(perCommand)
			commands++
			results := make([]announceResult, len(announcements))
			for i, u := range announcements {
				delivered[u.ID]++
				if u.Service == "nobody" {
					results[i] = announceForeign
				}
			}
			return results
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
		if len(delivered) != upstreams || commands > 40 {
			t.Errorf("%d upstreams in %d commands", len(delivered), commands)
		}
	})
}

// Guards against an announcement that is reported as applied although its batch was not
// committed, and against one that waits indefinitely.
func TestFailedBatchReturnsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newBatcher(func(ctx context.Context, _ []roster.Upstream) []announceResult {
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
