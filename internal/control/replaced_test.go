package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/internal/control/client"
	"github.com/lovagereach/lovagereach/internal/port"
)

// An entry crashes while it has a lease and restarts. At the first renewal of the
// new incarnation the leader must report once that the previous one has ended, so
// that duplicates don't wait for calls it had claimed. Its old lease still delays
// changes until it expires.
func TestReplacedEntryIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 1)
		defer d.close()
		restarted, err := client.New(client.Options{
			Peers:     &fakePeer{network: d.network, self: port.Peer{Host: entryName(0), DataCentre: "hall-north", Incarnation: 2, Role: "entry"}},
			Self:      claimOf(entryName(0), 2),
			Addresses: []string{"control-0"},
			Log:       discardLog,
		})
		if err != nil {
			t.Fatal(err)
		}
		d.run(restarted.Run)
		time.Sleep(5 * time.Second)
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		if got := d.replaced; len(got) != 1 || got[0] != (replacedEntry{entryName(0), d.entries[0].Incarnation()}) {
			t.Errorf("replaced entries are %v, want the first incarnation of %s once", got, entryName(0))
		}
	})
}
