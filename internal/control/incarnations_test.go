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

// startIncarnation starts an entry whose connections have the given incarnation.
// It returns the entry and a function that kills it.
func (d *deployment) startIncarnation(host ident.Host, identity ident.Incarnation) (*client.Client, context.CancelFunc) {
	d.t.Helper()
	entry, err := client.New(client.Options{
		Peers:     &fakePeer{network: d.network, self: port.Peer{Host: host, DataCentre: "hall-north", Incarnation: identity, Role: "entry"}},
		Self:      claimOf(host, identity),
		Addresses: []string{"control-0", "control-1", "control-2"},
		Log:       discardLog,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, kill := context.WithCancel(d.ctx)
	d.run(func(context.Context) error { return entry.Run(ctx) })
	return entry, kill
}

// An entry's clock steps back while it restarts. The new process must get a
// lease, be available to callers, and be reported as the replacement of the
// previous incarnation.
func TestEntryStartedAgainWithEarlierClockServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 1)
		defer d.close()
		previous, kill := d.startIncarnation("entry-7", 9_000_000)
		time.Sleep(2 * time.Second)
		kill()
		restarted, _ := d.startIncarnation("entry-7", 4_000_000)
		time.Sleep(time.Second)
		if !restarted.Serving() {
			t.Errorf("the entry has no lease one second after its start: %+v", restarted.Status())
		}
		time.Sleep(10 * time.Second)
		if !restarted.Serving() {
			t.Errorf("the entry lost its lease: %+v", restarted.Status())
		}
		if got, want := availableAt(d.entries[0]), []ident.Host{"entry-0", "entry-7"}; !slices.Equal(got, want) {
			t.Errorf("entry-0 knows %v, want %v", got, want)
		}
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		if want := (replacedEntry{"entry-7", previous.Incarnation()}); len(d.replaced) != 1 || d.replaced[0] != want {
			t.Errorf("replaced entries are %v, want %v once", d.replaced, want)
		}
	})
}
