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

// Guards against a process that is refused for as long as it runs since its number is
// below that of its former life, as after a clock stepped back.
func TestAProcessNumberedBelowItsFormerLifeIsAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		handlers := map[port.Method]port.PeerHandlerFunc{methodEcho: echo}
		b := start(t, n, "b", testOptions(n, self("b", 1)), handlers)
		former := start(t, n, "a", testOptions(n, self("a", 9)), handlers)
		if _, err := former.Call(within(time.Second), "b", methodEcho, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := b.Call(within(time.Second), "a", methodEcho, nil); err != nil {
			t.Fatal(err)
		}
		_ = former.Close(within(time.Second))
		synctest.Wait()
		later := start(t, n, "a", testOptions(n, self("a", 3)), handlers)
		if _, err := later.Call(within(time.Second), "b", methodEcho, nil); err != nil {
			t.Fatalf("the later life is refused: %v", err)
		}
		time.Sleep(DefaultBackoffMax)
		if _, err := b.Call(within(time.Second), "a", methodEcho, nil); err != nil {
			t.Fatalf("the later life is refused as the side that is dialled: %v", err)
		}
	})
}

// Guards against a former life whose answer was held up on the way and ends the
// connections of its successor.
func TestALateAnswerOfAFormerLifeChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: echo})
		former, hello, answer := challenged(t, n, "b", self("a", 9))
		later := start(t, n, "", testOptions(n, self("a", 3)), nil)
		session, err := later.Session(within(time.Second), "b")
		if err != nil {
			t.Fatal(err)
		}
		late := turn{Proof: proof(testKey, clientLabel, hello, answer.Hello)}
		_ = former.Write(t.Context(), websocket.MessageBinary, wire.MustMarshal(late))
		_, raw, err := former.Read(within(time.Second))
		var verdict turn
		if err != nil || wire.Unmarshal(raw, &verdict) != nil || verdict.Refusal == nil || verdict.Refusal.Reason != RefusedIncarnation {
			t.Fatalf("the late answer got %+v, %v", verdict, err)
		}
		synctest.Wait()
		select {
		case <-session.Done():
			t.Fatal("the late answer ended the connection of the later life")
		default:
		}
	})
}

// challenged dials address and stops before the proof.
func challenged(t *testing.T, n *memNet, address string, who port.Peer) (*websocket.Conn, []byte, turn) {
	t.Helper()
	transport := start(t, n, "", testOptions(n, who), nil)
	ws, _, err := websocket.Dial(within(time.Second), "ws://"+address+path, &websocket.DialOptions{HTTPClient: transport.client})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ws.CloseNow() })
	hello := handshake{options: transport.options, roster: transport.roster}.encodeHello()
	if err := ws.Write(t.Context(), websocket.MessageBinary, wire.MustMarshal(turn{Hello: hello})); err != nil {
		t.Fatal(err)
	}
	_, raw, err := ws.Read(within(time.Second))
	var answer turn
	if err != nil || wire.Unmarshal(raw, &answer) != nil || answer.Refusal != nil {
		t.Fatalf("no challenge: %v", err)
	}
	return ws, hello, answer
}

// Guards against a process that stays refused when the one which took its place is gone.
func TestAProcessIsAdmittedAgainOnceAConcurrentOneIsGone(t *testing.T) {
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
			t.Fatalf("beside its successor it got %v", err)
		}
		_ = second.Close(within(time.Second))
		time.Sleep(DefaultBackoffMax)
		if _, err := first.Call(within(time.Second), "b", methodEcho, nil); err != nil {
			t.Fatalf("alone again it got %v", err)
		}
	})
}

// Guards against the same where the former life was dialled and answers late.
func TestALateAnswerOfADialledFormerLifeChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		b := start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: echo})
		dialled, release := make(chan struct{}), make(chan struct{})
		serveRaw(t, n, "a", func(ctx context.Context, ws *websocket.Conn) {
			_, raw, err := ws.Read(ctx)
			var first turn
			if err != nil || wire.Unmarshal(raw, &first) != nil {
				return
			}
			close(dialled)
			<-release
			own := handshake{options: testOptions(n, self("a", 9))}.encodeHello()
			answer := turn{Hello: own, Proof: proof(testKey, serverLabel, first.Hello, own)}
			_ = ws.Write(ctx, websocket.MessageBinary, wire.MustMarshal(answer))
			_, _, _ = ws.Read(ctx)
		})
		failed := make(chan error, 1)
		go func() {
			_, err := b.Call(within(time.Second), "a", methodEcho, nil)
			failed <- err
		}()
		<-dialled
		later := start(t, n, "", testOptions(n, self("a", 3)), nil)
		session, err := later.Session(within(time.Second), "b")
		if err != nil {
			t.Fatal(err)
		}
		close(release)
		var refused *RefusedError
		if err := <-failed; !errors.As(err, &refused) || refused.Reason != RefusedIncarnation {
			t.Errorf("the late answer got %v", err)
		}
		synctest.Wait()
		select {
		case <-session.Done():
			t.Fatal("the late answer ended the connection of the later life")
		default:
		}
	})
}

// Guards against a connection of a former life that is attached after its successor was
// admitted, and against a process without the key that ends a connection.
func TestNoConnectionOutlivesTheAdmissionOfALaterLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		b := start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: echo})
		current := start(t, n, "", testOptions(n, self("a", 2)), nil)
		session, err := current.Session(within(time.Second), "b")
		if err != nil {
			t.Fatal(err)
		}
		stranger, hello, answer := challenged(t, n, "b", self("a", 3))
		guess := turn{Proof: proof([]byte("guess"), clientLabel, hello, answer.Hello)}
		_ = stranger.Write(t.Context(), websocket.MessageBinary, wire.MustMarshal(guess))
		_, raw, err := stranger.Read(within(time.Second))
		var verdict turn
		if err != nil || wire.Unmarshal(raw, &verdict) != nil || verdict.Refusal == nil || verdict.Refusal.Reason != RefusedKey {
			t.Fatalf("a process without the key got %+v, %v", verdict, err)
		}
		synctest.Wait()
		select {
		case <-session.Done():
			t.Fatal("a process without the key ended a connection")
		default:
		}
		if b.roster.attach(&conn{remote: self("a", 1)}) {
			t.Fatal("a connection of another life was attached")
		}
	})
}

// Guards against an order of lives that depends on their numbers or on when their answers
// come: lives follow one another, are numbered at random, and answer hellos late.
func TestTheLifeThatRunsIsTheOneKnown(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := newRoster(newStats())
		who := func(life ident.Incarnation) port.Peer { return port.Peer{Host: "a", Role: "entry", Incarnation: life} }
		type held struct {
			life   ident.Incarnation
			issued helloSeq
		}
		var late []held
		for range 30 {
			life := ident.Incarnation(random.Uint64())
			for range 1 + random.IntN(3) {
				h := held{life, r.issue()}
				if random.IntN(2) == 0 {
					late = append(late, h)
					continue
				}
				if err := r.admit(who(h.life), h.issued); err != nil {
					t.Fatalf("seed %d: the life that runs is refused: %v", seed, err)
				}
			}
			current := r.issue()
			if err := r.admit(who(life), current); err != nil {
				t.Fatalf("seed %d: the life that runs is refused: %v", seed, err)
			}
			for len(late) > 0 && random.IntN(2) == 0 {
				i := random.IntN(len(late))
				_ = r.admit(who(late[i].life), late[i].issued)
				late = append(late[:i], late[i+1:]...)
			}
			if known := r.lives[process{host: "a", role: "entry"}].incarnation; known != life {
				t.Fatalf("seed %d: life %d is known, %d runs", seed, known, life)
			}
		}
	}
}
