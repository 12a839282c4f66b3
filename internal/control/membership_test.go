package control_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/control/client"
	"github.com/lovagereach/lovagereach/internal/port"
)

func availableAt(c *client.Client) []ident.Host {
	var hosts []ident.Host
	for _, m := range c.AvailableEntries("hall-north") {
		hosts = append(hosts, m.Host)
	}
	return hosts
}

// An entry drains and then the leader is replaced. Within a second the draining
// entry must no longer be available to callers, while it keeps its lease and
// serves callers that still connect. A new leader knows no members until they
// renew, and this must not remove members from the entries' views.
func TestDrainingEntryIsNotAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3)
		defer d.close()
		all := []ident.Host{"entry-0", "entry-1", "entry-2"}
		if got := availableAt(d.entries[0]); !slices.Equal(got, all) {
			t.Fatalf("entries available at entry-0 are %v, want %v", got, all)
		}
		d.entries[1].Drain()
		time.Sleep(time.Second)
		if got, want := availableAt(d.entries[0]), []ident.Host{"entry-0", "entry-2"}; !slices.Equal(got, want) {
			t.Errorf("after the drain, entries available at entry-0 are %v, want %v", got, want)
		}
		if !d.entries[1].Serving() {
			t.Error("a draining entry lost its lease")
		}
		d.group.elect(1)
		time.Sleep(3 * time.Second)
		if got, want := availableAt(d.entries[2]), []ident.Host{"entry-0", "entry-2"}; !slices.Equal(got, want) {
			t.Errorf("under the new leader, entries available at entry-2 are %v, want %v", got, want)
		}
		if m, known := d.entries[2].Lookup("entry-1"); !known || m.State.String() != "draining" {
			t.Errorf("under the new leader entry-1 is %+v", m)
		}
	})
}

// An entry crashes. The other entries must list it as available for no longer
// than the timeout of a heartbeat plus one renewal of their own.
func TestCrashedEntryIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 1)
		defer d.close()
		crashed, err := client.New(client.Options{
			Peers:     &fakePeer{network: d.network, self: port.Peer{Host: "entry-7", DataCentre: "hall-north", Incarnation: 1, Role: "entry"}},
			Self:      claimOf("entry-7", 1),
			Addresses: []string{"control-0"},
			Log:       discardLog,
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, kill := context.WithCancel(d.ctx)
		d.run(func(context.Context) error { return crashed.Run(ctx) })
		time.Sleep(2 * time.Second)
		if got := availableAt(d.entries[0]); len(got) != 2 {
			t.Fatalf("entries available at entry-0 are %v, want 2", got)
		}
		kill()
		time.Sleep(2*time.Second + 2*client.DefaultRenewEvery)
		if got := availableAt(d.entries[0]); !slices.Equal(got, []ident.Host{"entry-0"}) {
			t.Errorf("entries available at entry-0 are still %v", got)
		}
	})
}
