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

// startLife starts an entry whose process identity is given and returns what
// kills it.
func (d *deployment) startLife(host ident.Host, identity ident.Incarnation) (*client.Client, context.CancelFunc) {
	d.t.Helper()
	entry, err := client.New(client.Options{
		Peers:     &fakePeer{network: d.network, self: port.Peer{Host: host, DataCentre: "hall-north", Incarnation: identity, Role: "entry"}},
		Self:      claimOf(host, identity),
		Addresses: []string{"control-0", "control-1", "control-2"},
		Log:       quiet,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, kill := context.WithCancel(d.ctx)
	d.run(func(context.Context) error { return entry.Run(ctx) })
	return entry, kill
}

// An entry's clock steps back while it starts again. The new process must get
// its lease, be named to callers, and end the claims of the former one.
func TestEntryStartedAgainWithEarlierClockServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 1)
		defer d.close()
		former, kill := d.startLife("entry-7", 9_000_000)
		time.Sleep(2 * time.Second)
		kill()
		again, _ := d.startLife("entry-7", 4_000_000)
		time.Sleep(time.Second)
		if !again.Serving() {
			t.Errorf("one second after its start the entry has no lease: %+v", again.Status())
		}
		time.Sleep(10 * time.Second)
		if !again.Serving() {
			t.Errorf("the entry lost its lease: %+v", again.Status())
		}
		if got, want := aliveAt(d.entries[0]), []ident.Host{"entry-0", "entry-7"}; !slices.Equal(got, want) {
			t.Errorf("entry-0 knows %v, want %v", got, want)
		}
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		if want := (replacedEntry{"entry-7", former.Incarnation()}); len(d.replaced) != 1 || d.replaced[0] != want {
			t.Errorf("replaced entries are %v, want %v once", d.replaced, want)
		}
	})
}
