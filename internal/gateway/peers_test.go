package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
)

// scriptedPeers answers forwarded requests by a function and records them.
type scriptedPeers struct {
	mu       sync.Mutex
	forwards []*Forward
	script   func(n int, f *Forward) (*Answer, error)
}

func (p *scriptedPeers) Forward(_ context.Context, f *Forward) (*Answer, error) {
	p.mu.Lock()
	p.forwards = append(p.forwards, f)
	n := len(p.forwards)
	p.mu.Unlock()
	return p.script(n, f)
}

// cutGateway returns a gateway whose upstreams can't be connected to and that knows two peers.
func cutGateway(t *testing.T, script func(n int, f *Forward) (*Answer, error)) (*Gateway, *scriptedSender, *scriptedPeers) {
	t.Helper()
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return nil, dialRefused() })
	peers := &scriptedPeers{script: script}
	g.options.Peers = peers
	g.state.peers = []steward.PeerView{{Host: "p1", Callers: "p1:80"}, {Host: "p2", Callers: "p2:80"}}
	for id := range g.state.upstreams {
		g.state.reach.Connected(id, false, time.Now())
	}
	return g, sender, peers
}

// Guards against requests that run twice because an entry without upstreams sends them to a second
// peer, and against refusals that promise too much or too little.
func TestForwardedRequestIsSentOnce(t *testing.T) {
	refused := &outcome.NotRun{Reason: ReasonPeer, RetryAfter: 70 * time.Millisecond}
	for _, test := range []struct {
		name     string
		path     string
		result   func(n int, f *Forward) (*Answer, error)
		end      string
		notRun   bool
		forwards int
	}{
		{"served", "/unsafe/x", func(int, *Forward) (*Answer, error) { return status(200), nil }, "done", false, 1},
		{"refused", "/safe/x", func(int, *Forward) (*Answer, error) { return nil, refused }, "refused", true, 1},
		{"may have run", "/safe/x", func(int, *Forward) (*Answer, error) { return nil, connectionLost() }, "refused", false, 1},
		{"may have run, unsafe", "/unsafe/x", func(int, *Forward) (*Answer, error) { return nil, connectionLost() }, "refused", false, 1},
		{"breaks off", "/resume/x", func(int, *Forward) (*Answer, error) { return stream(io.ErrUnexpectedEOF, "1"), nil }, "broken", false, 1},
		{"first peer has ended", "/unsafe/x", func(n int, _ *Forward) (*Answer, error) {
			if n == 1 {
				return nil, dialRefused()
			}
			return status(200), nil
		}, "done", false, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, sender, peers := cutGateway(t, test.result)
			rec := serve(g, request(test.path))
			var notRun *outcome.NotRun
			if rec.end != test.end || test.end == "refused" && errors.As(rec.cause, &notRun) != test.notRun {
				t.Errorf("ended %s, %v", rec.end, rec.cause)
			}
			if test.notRun && notRun.RetryAfter != refused.RetryAfter {
				t.Errorf("retry after %v", notRun.RetryAfter)
			}
			if len(peers.forwards) != test.forwards || sender.count() != 0 {
				t.Errorf("%d forwards, %d sends", len(peers.forwards), sender.count())
			}
		})
	}
}

// Guards against requests that travel in circles among entries without upstreams, and against long
// waits for connections that can't be established.
func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	g, sender, peers := cutGateway(t, func(int, *Forward) (*Answer, error) { return status(200), nil })
	r := request("/safe/x")
	r.Forwarded = true
	rec := serve(g, r)
	var notRun *outcome.NotRun
	if !errors.As(rec.cause, &notRun) || len(peers.forwards) != 0 || sender.count() != 1 {
		t.Errorf("ended %s, %v, %d forwards, %d sends", rec.end, rec.cause, len(peers.forwards), sender.count())
	}
}

// Guards against a peer that goes on getting requests after it could not be connected to.
func TestEndedPeerIsAvoided(t *testing.T) {
	g, _, peers := cutGateway(t, func(_ int, f *Forward) (*Answer, error) {
		if f.Host == "p1" {
			return nil, dialRefused()
		}
		return status(200), nil
	})
	for range 20 {
		if rec := serve(g, request("/unsafe/x")); rec.end != "done" {
			t.Fatal(rec.end, rec.cause)
		}
	}
	ended := 0
	for _, f := range peers.forwards {
		if f.Host == "p1" {
			ended++
		}
	}
	if ended > 1 {
		t.Errorf("%d requests were sent to the entry that has ended", ended)
	}
}

// Guards against requests that leave their region.
func TestRequestsAreForwardedWithinARegion(t *testing.T) {
	g, _, peers := cutGateway(t, func(int, *Forward) (*Answer, error) { return status(200), nil })
	g.options.DataCentre, g.options.Regions = "a", map[string]string{"a": "north", "b": "south", "c": "north"}
	g.state.peers = []steward.PeerView{{Host: "p1", DataCentre: "b"}, {Host: "p2", DataCentre: "c"}}
	for range 20 {
		serve(g, request("/unsafe/x"))
	}
	for _, f := range peers.forwards {
		if f.Host != "p2" {
			t.Fatalf("a request was forwarded to %s", f.Host)
		}
	}
	if len(peers.forwards) != 20 {
		t.Errorf("%d of 20 requests were forwarded", len(peers.forwards))
	}
}
