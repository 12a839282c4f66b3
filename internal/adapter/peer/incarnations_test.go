package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// Guards against a process that is refused for as long as it runs because its incarnation
// is below the previous one, as happens after the clock stepped back.
func TestLowerIncarnationThanPreviousIsAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		handlers := map[port.Method]port.PeerHandlerFunc{methodEcho: echo}
		b := start(t, n, "b", testOptions(n, self("b", 1)), handlers)
		previous := start(t, n, "a", testOptions(n, self("a", 9)), handlers)
		if _, err := previous.Call(within(time.Second), "b", methodEcho, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := b.Call(within(time.Second), "a", methodEcho, nil); err != nil {
			t.Fatal(err)
		}
		_ = previous.Close(within(time.Second))
		synctest.Wait()
		current := start(t, n, "a", testOptions(n, self("a", 3)), handlers)
		if _, err := current.Call(within(time.Second), "b", methodEcho, nil); err != nil {
			t.Fatalf("the new incarnation is refused: %v", err)
		}
		time.Sleep(DefaultBackoffMax)
		if _, err := b.Call(within(time.Second), "a", methodEcho, nil); err != nil {
			t.Fatalf("the new incarnation is refused when it is dialled: %v", err)
		}
	})
}

// Guards against a delayed proof of a previous incarnation that closes the connections
// of its successor.
func TestStaleProofOfPreviousIncarnationIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: echo})
		previous, hello, answer := dialUntilChallenge(t, n, "b", self("a", 9))
		current := start(t, n, "", testOptions(n, self("a", 3)), nil)
		session, err := current.Session(within(time.Second), "b")
		if err != nil {
			t.Fatal(err)
		}
		stale := helloMessage{Proof: proof(testKey, clientLabel, hello, answer.Hello)}
		_ = previous.Write(t.Context(), websocket.MessageBinary, wire.MustMarshal(stale))
		_, raw, err := previous.Read(within(time.Second))
		var verdict helloMessage
		if err != nil || wire.Unmarshal(raw, &verdict) != nil || verdict.Refusal == nil || verdict.Refusal.Reason != RefusedIncarnation {
			t.Fatalf("stale proof: got %+v, %v", verdict, err)
		}
		synctest.Wait()
		select {
		case <-session.Done():
			t.Fatal("the stale answer closed the connection of the new incarnation")
		default:
		}
	})
}

// dialUntilChallenge dials address and runs the hello exchange up to the client's proof.
// It returns the connection, the client hello and the server's message.
func dialUntilChallenge(t *testing.T, n *memNet, address string, who port.Peer) (*websocket.Conn, []byte, helloMessage) {
	t.Helper()
	transport := start(t, n, "", testOptions(n, who), nil)
	ws, _, err := websocket.Dial(within(time.Second), "ws://"+address+path, &websocket.DialOptions{HTTPClient: transport.client})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ws.CloseNow() })
	hello := handshake{options: transport.options, roster: transport.roster}.encodeHello()
	if err := ws.Write(t.Context(), websocket.MessageBinary, wire.MustMarshal(helloMessage{Hello: hello})); err != nil {
		t.Fatal(err)
	}
	_, raw, err := ws.Read(within(time.Second))
	var answer helloMessage
	if err != nil || wire.Unmarshal(raw, &answer) != nil || answer.Refusal != nil {
		t.Fatalf("no challenge: %v", err)
	}
	return ws, hello, answer
}

// Guards against a superseded process that stays refused after its successor has stopped.
func TestProcessIsReadmittedOnceConcurrentOneHasStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: echo})
		first := start(t, n, "", testOptions(n, self("a", 1)), nil)
		second := start(t, n, "", testOptions(n, self("a", 2)), nil)
		for _, process := range []*Transport{first, second} {
			if _, err := process.Call(within(time.Second), "b", methodEcho, nil); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(DefaultBackoffMax)
		var refused *RefusedError
		if _, err := first.Call(within(time.Second), "b", methodEcho, nil); !errors.As(err, &refused) || refused.Reason != RefusedConcurrent {
			t.Fatalf("call while the successor runs: got %v", err)
		}
		_ = second.Close(within(time.Second))
		time.Sleep(DefaultBackoffMax)
		if _, err := first.Call(within(time.Second), "b", methodEcho, nil); err != nil {
			t.Fatalf("call after the successor has stopped: got %v", err)
		}
	})
}

// Guards against a delayed answer of a previous incarnation, which was dialled, that closes
// the connections of its successor.
func TestStaleAnswerOfDialledPreviousIncarnationIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		b := start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: echo})
		dialled, release := make(chan struct{}), make(chan struct{})
		serveRaw(t, n, "a", func(ctx context.Context, ws *websocket.Conn) {
			_, raw, err := ws.Read(ctx)
			var first helloMessage
			if err != nil || wire.Unmarshal(raw, &first) != nil {
				return
			}
			close(dialled)
			<-release
			own := handshake{options: testOptions(n, self("a", 9))}.encodeHello()
			answer := helloMessage{Hello: own, Proof: proof(testKey, serverLabel, first.Hello, own)}
			_ = ws.Write(ctx, websocket.MessageBinary, wire.MustMarshal(answer))
			_, _, _ = ws.Read(ctx)
		})
		failed := make(chan error, 1)
		go func() {
			_, err := b.Call(within(time.Second), "a", methodEcho, nil)
			failed <- err
		}()
		<-dialled
		current := start(t, n, "", testOptions(n, self("a", 3)), nil)
		session, err := current.Session(within(time.Second), "b")
		if err != nil {
			t.Fatal(err)
		}
		close(release)
		var refused *RefusedError
		if err := <-failed; !errors.As(err, &refused) || refused.Reason != RefusedIncarnation {
			t.Errorf("stale answer: got %v", err)
		}
		synctest.Wait()
		select {
		case <-session.Done():
			t.Fatal("the stale answer closed the connection of the new incarnation")
		default:
		}
	})
}

// Guards against a connection of a previous incarnation that is attached after its
// successor was admitted, and against a process without the key that closes a connection.
func TestAttachRefusesSupersededIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		b := start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: echo})
		current := start(t, n, "", testOptions(n, self("a", 2)), nil)
		session, err := current.Session(within(time.Second), "b")
		if err != nil {
			t.Fatal(err)
		}
		stranger, hello, answer := dialUntilChallenge(t, n, "b", self("a", 3))
		guess := helloMessage{Proof: proof([]byte("guess"), clientLabel, hello, answer.Hello)}
		_ = stranger.Write(t.Context(), websocket.MessageBinary, wire.MustMarshal(guess))
		_, raw, err := stranger.Read(within(time.Second))
		var verdict helloMessage
		if err != nil || wire.Unmarshal(raw, &verdict) != nil || verdict.Refusal == nil || verdict.Refusal.Reason != RefusedKey {
			t.Fatalf("process without the key: got %+v, %v", verdict, err)
		}
		synctest.Wait()
		select {
		case <-session.Done():
			t.Fatal("a process without the key closed a connection")
		default:
		}
		if b.roster.attach(&conn{remote: self("a", 1)}) {
			t.Fatal("a connection of another incarnation was attached")
		}
	})
}

// Guards against an order of incarnations that depends on their numbers or on the arrival
// of their answers: incarnations are numbered at random, run one after another, and some of
// their answers arrive late.
func TestRosterTracksRunningIncarnation(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := newRoster(newStats())
		peerOf := func(i ident.Incarnation) port.Peer { return port.Peer{Host: "a", Role: "entry", Incarnation: i} }
		type answer struct {
			incarnation ident.Incarnation
			hello       helloSeq
		}
		var late []answer
		for range 30 {
			running := ident.Incarnation(random.Uint64())
			for range 1 + random.IntN(3) {
				a := answer{running, r.issue()}
				if random.IntN(2) == 0 {
					late = append(late, a)
					continue
				}
				if err := r.admit(peerOf(a.incarnation), a.hello); err != nil {
					t.Fatalf("seed %d: the running incarnation is refused: %v", seed, err)
				}
			}
			current := r.issue()
			if err := r.admit(peerOf(running), current); err != nil {
				t.Fatalf("seed %d: the running incarnation is refused: %v", seed, err)
			}
			for len(late) > 0 && random.IntN(2) == 0 {
				i := random.IntN(len(late))
				_ = r.admit(peerOf(late[i].incarnation), late[i].hello)
				late = append(late[:i], late[i+1:]...)
			}
			if known := r.peers[peerKey{host: "a", role: "entry"}].incarnation; known != running {
				t.Fatalf("seed %d: incarnation %d is known, %d is running", seed, known, running)
			}
		}
	}
}
