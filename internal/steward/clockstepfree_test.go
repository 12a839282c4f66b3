package steward

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/port"
)

// refusingReplica commits nothing, and counts the proposals.
type refusingReplica struct {
	leasedReplica
	proposed int
}

func (r *refusingReplica) Propose(context.Context, []byte) ([]byte, error) {
	r.proposed++
	return nil, errors.New("not in this test")
}

// Guards against a part that is freed while a runner fetches it: the upstreams' clock has
// stepped back, and the fetch is permitted until a time that the clock reaches later.
func TestClockStepBackDelaysFree(t *testing.T) {
	const step, retiredBefore = 5 * time.Second, time.Second
	for timeout, least := range map[time.Duration]time.Duration{
		time.Minute: retiredBefore + step + FetchPermit,
		// The request, and with it the fetch, has ended.
		2 * time.Second: retiredBefore + 2*time.Second + FetchPermit,
	} {
		synctest.Test(t, func(t *testing.T) {
			l := testLeadership(2)
			replica := &refusingReplica{leasedReplica: leasedReplica{steward: l.steward}}
			var opened port.Replica = replica
			l.steward.opened.Store(&opened)
			l.steward.counters = newControlMetrics(l.steward)
			store := &catalog.Store{Address: "store:1", CapacityTokens: 100, Managed: true}
			l.steward.machine.applyDocument(&catalog.Document{
				Version: 1, Routes: []catalog.Route{{Name: "r", Timeout: timeout}}, Services: []catalog.Service{{Name: "store", Store: store}},
			})
			old := cacheindex.Change{Key: cacheindex.Key{Salt: cacheindex.Scope{Model: "m", Version: 1}.Salt(), Part: "old"}, Tokens: 90}
			l.steward.index.replace(store.Address, StoreEvents{Incarnation: 1, Next: 1, Changes: []cacheindex.Change{old}})
			l.steward.index.reopen(store.Address, time.Now(), 0)
			clock := int64(100_000)
			l.inventories.recordClock(clock)
			o := newRetirer(l)
			superseded := supersededShare(catalog.NewIndex(l.steward.machine.Document()), l.steward.machine.live())
			o.maintain(t.Context(), store, superseded)
			retired := time.Now()
			time.Sleep(retiredBefore)
			l.inventories.recordClock(clock + retiredBefore.Milliseconds() - step.Milliseconds())
			for replica.proposed == 0 && time.Since(retired) < time.Minute {
				time.Sleep(retireEvery)
				o.maintain(t.Context(), store, superseded)
			}
			if freed := time.Since(retired); freed < least || freed > least+2*time.Second {
				t.Errorf("timeout %v: freed %v after it was retired, a fetch may last for %v", timeout, freed, least)
			}
		})
	}
}
