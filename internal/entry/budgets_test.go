package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/prefix"
)

// An operator gives a team a floor and a ceiling while prompts are kept, and
// later takes them back. What the team is promised and allowed of the stores
// must follow; else a large team goes on pushing out the blocks of a small one.
func TestBudgetsFollowTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.store(t, "cellar")
		b.engine(t, "runner-1")
		ctx, cancel := context.WithCancel(t.Context())
		go b.Run(ctx)
		time.Sleep(2 * time.Second) // the store's status is read
		b.announceAgain(t)
		b.whole(t, 1)
		initial := b.keptOf(t)
		b.setShare(t, 2, config.TeamShare{Guaranteed: config.FullShare / 4, Maximum: config.FullShare / 2})
		time.Sleep(2 * planInterval)
		if floor, ceiling := b.keptOf(t)[0], b.keptOf(t)[1]; floor != 1<<28 || ceiling != 1<<29 {
			t.Errorf("of a store of 1 GiB the floor is %d and the ceiling %d", floor, ceiling)
		}
		b.setShare(t, 3, config.TeamShare{})
		time.Sleep(2 * planInterval)
		if again := b.keptOf(t); again != initial {
			t.Errorf("without a share: %v, before %v", again, initial)
		}
		cancel()
		synctest.Wait()
	})
}

// keptOf returns floor and ceiling of the test team as the dump shows them.
func (b *bench) keptOf(t *testing.T) [2]int64 {
	t.Helper()
	kept := b.Dump().Kept
	if len(kept.Teams) != 1 || len(kept.Stores) != 1 || kept.Stores[0].Store != "cellar" {
		t.Fatalf("teams %+v, stores %+v", kept.Teams, kept.Stores)
	}
	return [2]int64{kept.Teams[0].Guaranteed[prefix.Memory], kept.Teams[0].Maximum[prefix.Memory]}
}

// setShare puts a configuration in force in which the test team has a share.
func (b *bench) setShare(t *testing.T, revision config.Revision, share config.TeamShare) {
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
