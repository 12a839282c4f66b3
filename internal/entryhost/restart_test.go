package entryhost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/controlhost"
	"github.com/lovagereach/lovagereach/internal/ledger"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/once"
	"github.com/lovagereach/lovagereach/outcome"
)

var testPeerKey = []byte("a-peer-key-of-thirty-two-bytes-x")

// testTimeout ends a hanging test; no check depends on its length.
const testTimeout = 30 * time.Second

// runControl runs a control host until the returned function is called.
func runControl(t *testing.T, address, folder string) (stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	host, err := controlhost.New(controlhost.Options{
		Host: "control-1", DataCentre: "hall-north", Cluster: "test", Data: folder, PeerListener: listener,
		ControlAddresses: map[ident.Host]string{"control-1": address}, LedgerGroups: 1, PeerKey: testPeerKey, Log: log.New(io.Discard),
	})
	if err != nil {
		t.Fatal(err)
	}
	return runInBackground(t, func(ctx context.Context) error { return host.Run(ctx, nil) })
}

func runInBackground(t *testing.T, run func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	return func() {
		cancel()
		if err := <-ended; err != nil && ctx.Err() == nil {
			t.Error(err)
		}
	}
}

// runEntry runs one incarnation of entry-1 whose clock reads incarnation at its
// start.
func runEntry(t *testing.T, control string, incarnation ident.Incarnation) (host *Host, stop func()) {
	t.Helper()
	host, err := New(Options{
		Host: "entry-1", DataCentre: "hall-north", Cluster: "test", Incarnation: incarnation,
		Listeners: Listeners{Callers: benchListener(t), Announce: benchListener(t), Peer: benchListener(t)},
		Operators: "127.0.0.1:0", Control: map[ident.Host]string{"control-1": control}, PeerKey: testPeerKey, Log: log.New(io.Discard),
	})
	if err != nil {
		t.Fatal(err)
	}
	return host, runInBackground(t, func(ctx context.Context) error { return host.Run(ctx, nil) })
}

func testCall(text string) ledger.Call {
	call := ledger.Call{
		Key:    once.Key{Team: "florists", Service: "clock-app", Text: text},
		Digest: once.DigestCall("POST", "/bid", nil),
	}
	copy(call.Request[:], text)
	return call
}

// holdClaim claims a key whose call has no answer yet when the host stops.
func holdClaim(t *testing.T, host *Host, text string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	sending, release, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = host.ledger.Do(ctx, testCall(text), func(context.Context) (once.Answer, error) {
			close(sending)
			<-release
			return once.Answer{}, context.Canceled
		})
	}()
	t.Cleanup(func() {
		close(release)
		<-ended
		cancel()
	})
	select {
	case <-sending:
	case <-ended:
		t.Fatalf("%s was not claimed", text)
	}
}

// runCall runs one call that is not repeatable, and traces one request.
func runCall(t *testing.T, host *Host, text string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	call := testCall(text)
	_, err := host.ledger.Do(ctx, call, func(context.Context) (once.Answer, error) {
		return once.Answer{Status: 201}, nil
	})
	if err != nil {
		t.Errorf("%s was not run: %v", text, err)
	}
	tracer := ledger.NewTracer(host.ledger)
	stop := runInBackground(t, func(ctx context.Context) error { tracer.Run(ctx); return nil })
	defer stop()
	if err := tracer.Open(ctx, audit.Opening{Request: call.Request, Team: "florists", Accepted: time.Now(), Deadline: time.Now().Add(time.Minute)}); err != nil {
		t.Errorf("%s was refused by the trace: %v", text, err)
	}
}

// An entry restarts with an earlier clock time than before while all other
// processes keep running. It must be admitted, and its calls must run.
func TestEntryRestartsWithEarlierClock(t *testing.T) {
	listener := benchListener(t)
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	stopControl := runControl(t, address, t.TempDir())
	defer stopControl()
	for _, incarnation := range []ident.Incarnation{9_000_000, 4_000_000, 0} {
		host, stop := runEntry(t, address, incarnation)
		runCall(t, host, fmt.Sprint("run-", incarnation))
		stop()
	}
}

// All processes restart, and the entry's clock has stepped back. The ledger and
// the trace, which are on disk, must accept the claims and reports of its new
// incarnation, end the claims of the previous one, and grant none that arrives
// late from it.
func TestLedgerAcceptsClaimsAfterClockStepsBack(t *testing.T) {
	address, folder := "", t.TempDir()
	listener := benchListener(t)
	address = listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	stopControl := runControl(t, address, folder)
	host, stop := runEntry(t, address, 9_000_000)
	runCall(t, host, "first")
	holdClaim(t, host, "held")
	previous := host.control.Incarnation()
	stop()
	stopControl()
	stopControl = runControl(t, address, folder)
	defer stopControl()
	host, stop = runEntry(t, address, 4_000_000)
	defer stop()
	runCall(t, host, "second")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	delayed := testCall("delayed")
	request := ledger.Request{Group: ledger.GroupOf(0), Claim: &once.Claim{
		Key: delayed.Key, Digest: delayed.Digest, Owner: once.Owner{Host: "entry-1", Incarnation: previous}, ID: once.ClaimID{1}, HoldMillis: 1000,
	}}
	data, err := host.transport.Call(ctx, address, ledger.MethodClaim, wire.MustMarshal(request))
	if err != nil {
		t.Fatal(err)
	}
	var reply ledger.Reply
	if err := wire.Unmarshal(data, &reply); err != nil || reply.Result == nil || reply.Result.Status != once.StatusStaleOwner {
		t.Errorf("a delayed claim of the previous incarnation got %+v, %v; want it refused as stale", reply.Result, err)
	}
	_, err = host.ledger.Do(ctx, testCall("held"), func(context.Context) (once.Answer, error) {
		t.Error("a call of the previous incarnation was sent again")
		return once.Answer{}, nil
	})
	var unknown *outcome.Unknown
	if !errors.As(err, &unknown) || unknown.Reason != outcome.ReasonOwnerLost {
		t.Errorf("a call of the previous incarnation got %v, want unknown with reason owner-lost", err)
	}
}
