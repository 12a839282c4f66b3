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

func aliveAt(c *client.Client) []ident.Host {
	var hosts []ident.Host
	for _, m := range c.AvailableEntries("hall-north") {
		hosts = append(hosts, m.Host)
	}
	return hosts
}

// One entry drains, another restarts, the leader is replaced. Callers are sent
// to the draining entry no more within a second, while it keeps its lease and
// serves those who come all the same; an entry that comes back is named again.
// A new leader knows nobody until they renew, and must not make the entries
// forget one another.
func TestEntriesKnowWhoTakesCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3)
		defer d.close()
		all := []ident.Host{"entry-0", "entry-1", "entry-2"}
		if got := aliveAt(d.entries[0]); !slices.Equal(got, all) {
			t.Fatalf("entry-0 knows %v, want %v", got, all)
		}
		d.entries[1].Drain()
		time.Sleep(time.Second)
		if got, want := aliveAt(d.entries[0]), []ident.Host{"entry-0", "entry-2"}; !slices.Equal(got, want) {
			t.Errorf("after the drain entry-0 knows %v, want %v", got, want)
		}
		if !d.entries[1].Serving() {
			t.Error("a draining entry lost its lease")
		}
		d.group.elect(1)
		time.Sleep(3 * time.Second)
		if got, want := aliveAt(d.entries[2]), []ident.Host{"entry-0", "entry-2"}; !slices.Equal(got, want) {
			t.Errorf("under the new leader entry-2 knows %v, want %v", got, want)
		}
		if m, known := d.entries[2].Lookup("entry-1"); !known || m.State.String() != "draining" {
			t.Errorf("under the new leader entry-1 is %+v", m)
		}
	})
}

// An entry dies without a word. The others name it to callers for no longer
// than the timeout of a heartbeat and one renewal of their own.
func TestDeadEntryIsNamedNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 1)
		defer d.close()
		dying, err := client.New(client.Options{
			Peers:     &fakePeer{network: d.network, self: port.Peer{Host: "entry-7", DataCentre: "hall-north", Incarnation: 1, Role: "entry"}},
			Self:      claimOf("entry-7", 1),
			Addresses: []string{"control-0"},
			Log:       quiet,
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, kill := context.WithCancel(d.ctx)
		d.run(func(context.Context) error { return dying.Run(ctx) })
		time.Sleep(2 * time.Second)
		if got := aliveAt(d.entries[0]); len(got) != 2 {
			t.Fatalf("entry-0 knows %v", got)
		}
		kill()
		time.Sleep(2*time.Second + 2*client.DefaultRenewEvery)
		if got := aliveAt(d.entries[0]); !slices.Equal(got, []ident.Host{"entry-0"}) {
			t.Errorf("entry-0 still names %v", got)
		}
	})
}
