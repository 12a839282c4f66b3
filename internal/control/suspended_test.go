package control_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/control"
	"github.com/lovagereach/lovagereach/internal/control/client"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/lease"
	"github.com/lovagereach/lovagereach/order"
)

// Guards against an entry whose machine was suspended and that goes on by a lease which
// its granter has seen end: changes it has never seen are reported in force meanwhile.
func TestASuspendedEntryWakesWithoutItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 1)
		defer d.close()
		suspended := time.Duration(0)
		entry, err := client.New(client.Options{
			Peers:     &fakePeer{network: d.network, self: port.Peer{Host: "entry-7", DataCentre: "hall-north", Incarnation: 1, Role: "entry"}},
			Self:      claimOf("entry-7", 1),
			Addresses: []string{"control-0", "control-1", "control-2"},
			Log:       quiet,
			Clock:     func() time.Time { return time.Now().Add(suspended) },
		})
		if err != nil {
			t.Fatal(err)
		}
		d.run(entry.Run)
		d.settle()
		if !entry.Serving() {
			t.Fatalf("the entry has no lease: %+v", entry.Status())
		}
		synctest.Wait()
		suspended = lease.DefaultTerm
		if entry.Serving() {
			t.Errorf("%v later the entry serves by its lease still", suspended)
		}
		time.Sleep(2 * time.Second)
		if !entry.Serving() {
			t.Errorf("it got no new lease: %+v", entry.Status())
		}
	})
}

// Guards against orders that go out after a suspension, by a proof of leadership from
// before it: another leader may have ordered engines meanwhile that check no fences.
func TestOrdersAreHeldBackAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 2)
		defer d.close()
		engines := newFleet(6)
		report := engines.report
		d.upstreams.Store(&report)
		// The machine is suspended between each proof and the order by it.
		var suspended, each atomic.Int64
		each.Store(int64(order.LeaderLease))
		for _, server := range d.servers {
			orderer := control.NewOrderer(control.OrderOptions{
				Server: server, Log: quiet,
				Dial: func(address string) (port.Engine, error) {
					suspended.Add(each.Load())
					return engines.dial(address)
				},
				Clock: func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) },
			})
			d.run(orderer.Run)
		}
		doc := document(1, 0)
		d.mustApply(0, "r1", 0, doc)
		d.settle()
		doc.Models = []config.Model{{Name: "appraiser", Versions: []config.TargetVersion{{Version: "v2"}}}}
		doc.Normalize()
		d.mustApply(0, "r2", 1, doc)
		time.Sleep(time.Minute)
		if ordered := engines.ordered(); ordered != 0 {
			t.Errorf("%d orders by a proof from before a suspension", ordered)
		}
		each.Store(0)
		time.Sleep(time.Minute)
		if engines.ordered() == 0 {
			t.Error("no order came once the machine was no longer suspended")
		}
	})
}

// ordered is the number of orders that arrived.
func (f fleet) ordered() int {
	count := 0
	for _, engine := range f {
		engine.mu.Lock()
		count += len(engine.fences)
		engine.mu.Unlock()
	}
	return count
}
