package peer

import (
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
func TestAProcessNumberedBelowItsFormerLifeIsLetIn(t *testing.T) {
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
func TestAProcessIsLetInAgainOnceTheOneBesideItIsGone(t *testing.T) {
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
		if _, err := first.Call(within(time.Second), "b", methodEcho, nil); !errors.As(err, &refused) || refused.Reason != RefusedIncarnation {
			t.Fatalf("beside its successor it got %v", err)
		}
		_ = second.Close(within(time.Second))
		time.Sleep(DefaultBackoffMax)
		if _, err := first.Call(within(time.Second), "b", methodEcho, nil); err != nil {
			t.Fatalf("alone again it got %v", err)
		}
	})
}

// Guards against an order of lives that depends on their numbers or on when their answers
// come: lives follow one another, are numbered at random, and answer challenges late.
func TestTheLifeThatRunsIsTheOneKnown(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := newRoster(newStats())
		who := func(life ident.Incarnation) port.Peer { return port.Peer{Host: "a", Role: "entry", Incarnation: life} }
		type held struct {
			life   ident.Incarnation
			issued challenge
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
