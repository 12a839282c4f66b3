package steward

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// countingHosts are control hosts that count loads and name c2 and c3 as relays.
type countingHosts struct {
	down  map[string]bool
	hosts map[string]*Steward
}

func (c *countingHosts) Call(ctx context.Context, address string, method port.Method, body []byte) ([]byte, error) {
	host, _, _ := net.SplitHostPort(address)
	s := c.hosts[host]
	if method == methodWithdraw {
		return s.handleWithdraw(ctx, entryPeer("e1"), method, body)
	}
	request := WatchRequest{}
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	s.relay.watchers.record(entryPeer("e1"), &request, time.Now())
	if c.down[host] {
		return nil, context.DeadlineExceeded
	}
	return wire.MustMarshal(&WatchAnswer{Term: 1, Leader: "c1", Relays: twoRelays()}), nil
}

func (c *countingHosts) Send(string, port.Method, []byte) bool { return false }

// Guards against upstreams that look full to all entries while they have room: an entry that
// changes its control host must not be counted at both, nor at one that answered nothing.
func TestLoadsCountOnceAfterAChangeOfHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := &countingHosts{down: map[string]bool{}, hosts: map[string]*Steward{}}
		for _, name := range []string{"c1", "c2", "c3"} {
			hosts.hosts[name] = &Steward{relay: &relayState{watchers: newWatchers(log.New(io.Discard))}}
		}
		f := NewFollower(FollowerOptions{Transport: hosts, Seeds: []ident.Host{"c1"}, PeerPort: 1, Self: "e1", DataCentre: "north", Log: log.New(io.Discard)})
		step := func(host string, want int) {
			t.Helper()
			f.once(t.Context(), &WatchRequest{Entry: &EntryView{Host: "e1"}, Loads: []Load{{Upstream: "a", Requests: 3}}}, func(*WatchAnswer, time.Time) {})
			synctest.Wait()
			total := 0
			for _, s := range hosts.hosts {
				for _, load := range s.relay.watchers.loads() {
					total += load.Requests
				}
			}
			if string(f.lastHost) != host || total != want {
				t.Fatalf("at %s with %d requests counted, want %s with %d", f.lastHost, total, host, want)
			}
		}
		step("c1", 3)
		step("c3", 3)
		hosts.down["c3"] = true
		step("c3", 3)
		step("c2", 3)
	})
}
