package steward

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/ident"
)

// followStuck follows as an entry that goes by a configuration and takes no later one.
func (f *fleet) followStuck(ctx context.Context, name string, version catalog.Version) {
	follower, err := NewEntryFollower(EntryOptions{
		Cluster: "test", Key: []byte("a key of the test processes"), Host: ident.Host(name), DataCentre: "north",
		Seeds: []ident.Host{hostName(1), hostName(2), hostName(3)}, PeerPort: f.port, Log: log.New(io.Discard),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	go follower.Run(ctx, func() *WatchRequest {
		return &WatchRequest{Entry: &EntryView{Host: name, Ready: true}, Document: version, Term: follower.term}
	}, func(*WatchAnswer, time.Time) {})
}

// Guards against an acknowledgement that comes while an entry serves by an older
// configuration: hosts that are late tell their entries seconds later.
func TestAConfigurationIsAcknowledgedOnceItIsInForce(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.put(1, "one")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f.followStuck(ctx, "e1", 1)
	var lead *Steward
	f.await("the entry asks", func() bool {
		lead = f.leader()
		return lead != nil && lead.leading.Load().watchers.count() == 1
	})
	if _, err := lead.PutDocument(ctx, testDocument(2, "two")); !errors.Is(err, ErrUnavailable) {
		t.Errorf("an entry goes by the older one: %v", err)
	}
	stop()
	// An entry that asks no more holds it up for a while only.
	f.put(2, "two")
}
