package client

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/member"
)

// noLeaderPeers simulates control hosts that know no leader.
type noLeaderPeers struct {
	port.PeerClient
	calls, maxCalls int
	stop            context.CancelFunc
}

func (l *noLeaderPeers) Call(_ context.Context, _ string, method port.Method, _ []byte) ([]byte, error) {
	if method == protocol.MethodWatch {
		if l.calls++; l.calls > l.maxCalls {
			l.stop()
		}
		return wire.MustMarshal(protocol.WatchAnswer{Redirect: &protocol.Redirect{}}), nil
	}
	return wire.MustMarshal(protocol.RenewAnswer{Redirect: &protocol.Redirect{}}), nil
}

// During an election the control hosts redirect every call immediately. Entries
// must not send calls as fast as these are answered, since that load would
// prolong the election; they must wait between two watches.
func TestWatchBacksOffWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration = time.Second
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		peers := &noLeaderPeers{maxCalls: int(duration/(DefaultRetryEvery/4)) + 1, stop: cancel}
		c, err := New(Options{
			Peers:     peers,
			Self:      member.Member{Host: "entry-1", DataCentre: "hall-north", Role: member.RoleEntry, Peers: "127.0.0.1:1", Stamp: member.Stamp{Incarnation: 1, Session: 1}, State: member.StateAlive},
			Addresses: []string{"127.0.0.1:7411", "127.0.0.1:7412", "127.0.0.1:7413"},
			Log:       log.New(io.Discard),
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := c.watchLoop(ctx); err != nil {
			t.Fatal(err)
		}
		if peers.calls < 2 || peers.calls > peers.maxCalls {
			t.Errorf("%d watches in less than %v, want at most %d", peers.calls, duration, peers.maxCalls)
		}
	})
}
