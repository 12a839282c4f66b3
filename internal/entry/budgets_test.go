package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/prefix"
)

// The configuration gives a team a guaranteed and a maximum share and later
// removes both. The team's budget on the stores must follow; otherwise a large
// team continues to evict the blocks of a small one.
func TestBudgetsFollowConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		b.store(t, "cellar")
		b.engine(t, "runner-1")
		ctx, cancel := context.WithCancel(t.Context())
		go b.Run(ctx)
		time.Sleep(2 * time.Second) // until the store's status has been read
		b.announceAgain(t)
		b.mustServe(t, 1)
		initial := b.teamBudget(t)
		b.setShare(t, 2, config.TeamShare{Guaranteed: config.FullShare / 4, Maximum: config.FullShare / 2})
		time.Sleep(2 * planInterval)
		if floor, ceiling := b.teamBudget(t)[0], b.teamBudget(t)[1]; floor != 1<<28 || ceiling != 1<<29 {
			t.Errorf("guaranteed %d and maximum %d bytes of a store of 1 GiB, want 1/4 and 1/2", floor, ceiling)
		}
		b.setShare(t, 3, config.TeamShare{})
		time.Sleep(2 * planInterval)
		if again := b.teamBudget(t); again != initial {
			t.Errorf("budget %v after the share was removed, want %v", again, initial)
		}
		cancel()
		synctest.Wait()
	})
}

// teamBudget returns the guaranteed and maximum bytes of the test team in the
// dump.
func (b *testEntry) teamBudget(t *testing.T) [2]int64 {
	t.Helper()
	kept := b.Dump().Kept
	if len(kept.Teams) != 1 || len(kept.Stores) != 1 || kept.Stores[0].Store != "cellar" {
		t.Fatalf("teams %+v, stores %+v", kept.Teams, kept.Stores)
	}
	return [2]int64{kept.Teams[0].Guaranteed[prefix.Memory], kept.Teams[0].Maximum[prefix.Memory]}
}

// setShare replaces the configuration by one in which the test team has a
// share.
func (b *testEntry) setShare(t *testing.T, revision config.Revision, share config.TeamShare) {
	t.Helper()
	document := testConfig(t).Document()
	document.Teams[0].Share = share
	snapshot, err := config.NewSnapshot(revision, document)
	if err != nil {
		t.Fatal(err)
	}
	b.control.mu.Lock()
	b.control.snapshot = snapshot
	b.control.mu.Unlock()
}
