package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/internal/control/client"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/lease"
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
