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

// An entry's machine is suspended for the term of its lease. Afterwards the entry must
// not serve with that lease: its granter has seen the lease end, and changes that the
// entry has not received may have been reported in force.
func TestSuspendedEntryResumesWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 1)
		defer d.close()
		suspended := time.Duration(0)
		entry, err := client.New(client.Options{
			Peers:     &fakePeer{network: d.network, self: port.Peer{Host: "entry-7", DataCentre: "hall-north", Incarnation: 1, Role: "entry"}},
			Self:      claimOf("entry-7", 1),
			Addresses: []string{"control-0", "control-1", "control-2"},
			Log:       discardLog,
			Clock:     func() time.Time { return time.Now().Add(suspended) },
		})
		if err != nil {
			t.Fatal(err)
		}
		d.run(entry.Run)
		d.awaitLeases()
		if !entry.Serving() {
			t.Fatalf("the entry has no lease: %+v", entry.Status())
		}
		synctest.Wait()
		suspended = lease.DefaultTerm
		if entry.Serving() {
			t.Errorf("%v later the entry still serves with its lease", suspended)
		}
		time.Sleep(2 * time.Second)
		if !entry.Serving() {
			t.Errorf("the entry got no new lease: %+v", entry.Status())
		}
	})
}

// The leader is suspended between its proof of leadership and an order. The order must
// not be sent: another leader may have sent orders meanwhile to engines that don't check
// fencing tokens.
func TestOrdersAreHeldAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 2)
		defer d.close()
		engines := newFleet(6)
		report := engines.report
		d.upstreams.Store(&report)
		// The machine is suspended between each proof and its orders.
		var suspended, suspendPerDial atomic.Int64
		suspendPerDial.Store(int64(order.LeaderLease))
		for _, server := range d.servers {
			orderer := control.NewOrderer(control.OrderOptions{
				Server: server, Log: discardLog,
				Dial: func(address string) (port.Engine, error) {
					suspended.Add(suspendPerDial.Load())
					return engines.dial(address)
				},
				Clock: func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) },
			})
			d.run(orderer.Run)
		}
		doc := document(1, 0)
		d.mustApply(0, "r1", 0, doc)
		d.awaitLeases()
		doc.Models = []config.Model{{Name: "appraiser", Versions: []config.TargetVersion{{Version: "v2"}}}}
		doc.Normalize()
		d.mustApply(0, "r2", 1, doc)
		time.Sleep(time.Minute)
		if ordered := engines.ordered(); ordered != 0 {
			t.Errorf("%d orders were sent with a proof from before a suspension", ordered)
		}
		suspendPerDial.Store(0)
		time.Sleep(time.Minute)
		if engines.ordered() == 0 {
			t.Error("no order was sent after the suspensions ended")
		}
	})
}

// ordered returns the number of orders that arrived.
func (f fleet) ordered() int {
	count := 0
	for _, engine := range f {
		engine.mu.Lock()
		count += len(engine.fences)
		engine.mu.Unlock()
	}
	return count
}
