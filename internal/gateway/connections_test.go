package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
)

// noConnectionLeft is the failure of a send for which no connection is left.
func noConnectionLeft() error {
	return &outcome.NotRun{Reason: ReasonConnections, Detail: "all connections to the upstream are in use"}
}

// withConnections bounds the connections of service app so that this entry's share is share.
func withConnections(g *Gateway, share int) {
	answer := testAnswer()
	answer.Document.Version = 8
	for i := range answer.Document.Services {
		if s := &answer.Document.Services[i]; s.Name == "app" {
			s.MaxConnections = int(float64(share)/connectionShare + 0.5)
		}
	}
	g.ApplyAnswer(answer, time.Now())
}

// Guards against a crowd of requests that uses up an entry's share of the connections of sound
// upstreams and is sent on all the same: each upstream would count as failed, and requests would
// be refused although connections are freed within their time.
func TestRequestsBeyondConnectionShareWait(t *testing.T) {
	const share, requests = 4, 16
	gate := make(chan struct{})
	var mu sync.Mutex
	used := make(map[string]int)
	g, sender := testGateway(t, func(_ int, s *Send) (*Answer, error) {
		mu.Lock()
		defer mu.Unlock()
		if used[s.Upstream] >= s.Connections {
			return nil, noConnectionLeft()
		}
		used[s.Upstream]++
		return &Answer{Status: 200, Length: -1, Body: &gatedBody{open: gate}}, nil
	})
	withConnections(g, share)
	g.state.waitLimits = waitLimits{longest: time.Minute}
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			r := request("/unsafe/x")
			r.Wait = time.Hour
			rec := &recorder{}
			if g.Serve(context.Background(), r, rec); rec.end != "done" {
				t.Errorf("a request ends %q: %v", rec.end, rec.cause)
			}
		})
	}
	waiting := func() int {
		g.state.mu.Lock()
		defer g.state.mu.Unlock()
		return len(g.state.waiting)
	}
	for deadline := time.Now().Add(10 * time.Second); sender.count() < 3*share || waiting() < requests-3*share; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d sends and %d waiting, want %d and %d", sender.count(), waiting(), 3*share, requests-3*share)
		}
	}
	mu.Lock()
	clear(used)
	mu.Unlock()
	close(gate)
	all.Wait()
	if n := sender.count(); n != requests {
		t.Errorf("%d sends for %d requests", n, requests)
	}
	assertHealthy(t, g)
}

// assertHealthy checks that no upstream counts as failed.
func assertHealthy(t *testing.T, g *Gateway) {
	t.Helper()
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	for id, u := range g.state.upstreams {
		if cost := u.health.penalty(time.Now(), false); cost != 0 || u.health.consecutive != 0 {
			t.Errorf("%s has %d failures and a penalty of %v", id, u.health.consecutive, cost)
		}
	}
}

// Guards against a request that is refused because connections which count as no request, such as
// those that are being opened, use up the entry's share at a few upstreams in turn.
func TestUsedConnectionsAreNoFailure(t *testing.T) {
	const short = 5
	g, sender := testGateway(t, func(n int, _ *Send) (*Answer, error) {
		if n <= short {
			return nil, noConnectionLeft()
		}
		return status(200), nil
	})
	withConnections(g, 4)
	rec := serve(g, request("/unsafe/x"))
	if rec.end != "done" || sender.count() != short+1 {
		t.Errorf("ends %q after %d sends: %v", rec.end, sender.count(), rec.cause)
	}
	assertHealthy(t, g)
	b := g.state.budgets
	if counted, _ := b.window("app").sums(b.slot(time.Now())); counted != 1 {
		t.Errorf("the retry budget counts %d requests, want 1", counted)
	}
}

// Guards against a request that is tried until its deadline at upstreams whose connections stay in
// use: it is refused after the time that requests wait for capacity.
func TestRequestWithoutConnectionIsRefusedInTime(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return nil, noConnectionLeft() })
	withConnections(g, 4)
	g.state.waitLimits = waitLimits{longest: 150 * time.Millisecond}
	start := time.Now()
	rec := serve(g, request("/unsafe/x"))
	if took := time.Since(start); rec.end != "refused" || outcome.KindOf(rec.cause) != outcome.KindNotRun || took > 2*time.Second {
		t.Errorf("ends %q after %v: %v", rec.end, took, rec.cause)
	}
	// Three upstreams are tried, and each again once it may have a connection.
	if n := sender.count(); n > 3*4 {
		t.Errorf("%d sends within 150 ms", n)
	}
	assertHealthy(t, g)
}

// closeCheck is a body that breaks off with err, and runs check when it is closed.
type closeCheck struct {
	err   error
	once  sync.Once
	check func()
}

func (b *closeCheck) Next() (Piece, error) { return Piece{}, b.err }
func (b *closeCheck) Close()               { b.once.Do(b.check) }

// Guards against a waiting request that is sent while the connection of the request before it is
// still in use: capacity is freed only after its connection.
func TestConnectionIsFreedBeforeCapacity(t *testing.T) {
	for name, answer := range map[string]Answer{
		"refused":     {Status: 503, Refusal: Full},
		"failed":      {Status: 500},
		"breaks off":  {Status: 200},
		"caller gone": {Status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			under := -1
			var g *Gateway
			g, _ = testGateway(t, func(n int, s *Send) (*Answer, error) {
				a := answer
				body := &closeCheck{err: errors.New("reset"), check: func() {}}
				if name == "caller gone" {
					body.err = io.EOF
				}
				if n == 1 {
					body.check = func() {
						g.state.mu.Lock()
						defer g.state.mu.Unlock()
						under = g.state.upstreams[s.Upstream].own.Requests
					}
				}
				a.Header, a.Body = http.Header{}, body
				return &a, nil
			})
			g.Serve(context.Background(), request("/safe/x"), &recorder{gone: name == "caller gone"})
			if under != 1 {
				t.Errorf("%d requests under way when the connection is freed, want 1", under)
			}
		})
	}
}
