package peer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"

	"github.com/lovagereach/lovagereach/internal/port"
)

func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: echo})
		a := start(t, n, "", testOptions(n, self("a", 1)), nil)
		var group sync.WaitGroup
		for i := range 50 {
			group.Go(func() {
				want := fmt.Sprint(i)
				got, err := a.Call(within(time.Second), "b", methodEcho, []byte(want))
				if err != nil || string(got) != want {
					t.Errorf("call %s: got %q, %v", want, got, err)
				}
			})
		}
		group.Wait()
	})
}

// A peer answers late, twice, with another call's ID or with a truncated message.
// The caller must get its own answer, a timeout or a lost connection, and never the
// answer of another call: answers are matched by ID and method, and a message that
// can't be decoded closes the connection.
func TestAnswersOfAFaultyPeer(t *testing.T) {
	cases := map[string]struct {
		script func(ws *websocket.Conn)
		want   string
		err    error
		late   uint64
	}{
		"late": {
			script: func(ws *websocket.Conn) {
				first := readFrames(ws)
				time.Sleep(2 * time.Second)
				writeFrames(ws, answerTo(first[0], "late"))
			},
			err:  context.DeadlineExceeded,
			late: 1,
		},
		"repeated": {
			script: func(ws *websocket.Conn) {
				first := readFrames(ws)
				writeFrames(ws, answerTo(first[0], "mine"), answerTo(first[0], "mine"))
			},
			want: "mine",
			late: 1,
		},
		"of another identity first": {
			script: func(ws *websocket.Conn) {
				first := readFrames(ws)
				other := answerTo(first[0], "other")
				other.ID += 7
				writeFrames(ws, other, answerTo(first[0], "mine"))
			},
			want: "mine",
			late: 1,
		},
		"of another method": {
			script: func(ws *websocket.Conn) {
				first := readFrames(ws)
				other := answerTo(first[0], "other")
				other.Method = methodNote
				writeFrames(ws, other)
			},
			err:  context.DeadlineExceeded,
			late: 1,
		},
		"truncated": {
			script: func(ws *websocket.Conn) {
				first := readFrames(ws)
				data, _ := encodeFrames([]frame{answerTo(first[0], "mine")})
				_ = ws.Write(context.Background(), websocket.MessageBinary, data[:len(data)-1])
			},
			err: port.ErrPeerLost,
		},
		"cut before the answer": {
			script: func(ws *websocket.Conn) {
				readFrames(ws)
				_ = ws.CloseNow()
			},
			err: port.ErrPeerLost,
		},
		"hung": {
			script: func(*websocket.Conn) { time.Sleep(2 * time.Second) },
			err:    context.DeadlineExceeded,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newMemNet()
				serveFaulty(t, n, "b", func(ws *websocket.Conn) {
					test.script(ws)
					readFrames(ws)
				})
				a := start(t, n, "", testOptions(n, self("a", 1)), nil)
				got, err := a.Call(within(time.Second), "b", methodEcho, nil)
				if string(got) != test.want || !errors.Is(err, test.err) {
					t.Fatalf("got %q, %v; want %q, %v", got, err, test.want, test.err)
				}
				if errors.Is(err, port.ErrPeerNotSent) {
					t.Fatalf("a request that was written is reported as not sent: %v", err)
				}
				time.Sleep(3 * time.Second)
				if got := a.stats.lateAnswers.Get(); got != test.late {
					t.Fatalf("%d late answers counted, want %d", got, test.late)
				}
			})
		})
	}
}

// A request frame is repeated. The handler must run once, because the request may not
// be idempotent; IDs increase on a connection, so the repeat is detected.
func TestRepeatedRequestRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		runs := 0
		count := func(context.Context, port.Peer, port.Method, []byte) ([]byte, error) {
			runs++
			return nil, nil
		}
		b := start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: count})
		ws := dialRaw(t, n, "b", self("a", 1))
		request := frame{Kind: frameRequest, ID: 1, Method: methodEcho}
		writeFrames(ws, request, request)
		synctest.Wait()
		if runs != 1 || b.stats.duplicates.Get() != 1 {
			t.Fatalf("%d runs, %d duplicates", runs, b.stats.duplicates.Get())
		}
		_ = ws.CloseNow()
	})
}

// dialRaw dials address and completes the hello exchange.
func dialRaw(t *testing.T, n *memNet, address string, who port.Peer) *websocket.Conn {
	t.Helper()
	options := testOptions(n, who)
	transport, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	ws, _, err := websocket.Dial(within(time.Second), "ws://"+address+path, &websocket.DialOptions{HTTPClient: transport.client})
	if err != nil {
		t.Fatal(err)
	}
	h := handshake{options: transport.options, roster: transport.roster, ws: ws}
	if _, err := h.client(within(time.Second)); err != nil {
		t.Fatal(err)
	}
	return ws
}

func TestNotSent(t *testing.T) {
	block := func(ctx context.Context, _ port.Peer, _ port.Method, _ []byte) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	cases := map[string]struct {
		address string
		method  port.Method
		body    int
		before  func(a *Transport)
	}{
		"no listener":    {address: "nowhere", method: methodEcho},
		"body too large": {address: "b", method: methodEcho, body: DefaultMaxFrame},
		"unknown method": {address: "b", method: "unheard"},
		"remote is busy": {address: "b", method: methodEcho, before: func(a *Transport) { go a.Call(within(time.Second), "b", methodEcho, nil) }},
		"closing":        {address: "b", method: methodEcho, before: func(a *Transport) { go a.Close(within(time.Second)) }},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newMemNet()
				options := testOptions(n, self("b", 1))
				options.HandlerLimit = 1
				start(t, n, "b", options, map[port.Method]port.PeerHandlerFunc{methodEcho: block})
				a := start(t, n, "", testOptions(n, self("a", 1)), nil)
				if test.before != nil {
					test.before(a)
					synctest.Wait()
				}
				_, err := a.Call(within(time.Second), test.address, test.method, make([]byte, test.body))
				if !errors.Is(err, port.ErrPeerNotSent) {
					t.Fatalf("got %v, want not sent", err)
				}
			})
		})
	}
}

func TestHandlerErrorReachesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		fail := func(context.Context, port.Peer, port.Method, []byte) ([]byte, error) {
			return nil, errors.New("no such shard")
		}
		start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: fail})
		a := start(t, n, "", testOptions(n, self("a", 1)), nil)
		_, err := a.Call(within(time.Second), "b", methodEcho, nil)
		var remote *port.RemoteError
		if !errors.As(err, &remote) || remote.Message != "no such shard" {
			t.Fatalf("got %v", err)
		}
	})
}

// An entry subscribes and the control host pushes deltas on the same connection. The
// entry must receive them in order, and both sides must detect the end of the
// connection, after which the entry has to subscribe again.
func TestPushOnCallersConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		var pusher Session
		subscribe := func(ctx context.Context, _ port.Peer, _ port.Method, _ []byte) ([]byte, error) {
			pusher = FromContext(ctx)
			return nil, nil
		}
		start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: subscribe})
		var got []string
		collect := func(_ context.Context, from port.Peer, _ port.Method, body []byte) ([]byte, error) {
			got = append(got, string(from.Host)+string(body))
			return nil, nil
		}
		a := start(t, n, "", testOptions(n, self("a", 1)), map[port.Method]port.PeerHandlerFunc{methodNote: collect})
		session, err := a.Session(within(time.Second), "b")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := session.Call(within(time.Second), methodEcho, nil); err != nil {
			t.Fatal(err)
		}
		for i := range 5 {
			if !pusher.Send(methodNote, []byte(fmt.Sprint(i))) {
				t.Fatal("push was not queued")
			}
		}
		synctest.Wait()
		if strings.Join(got, " ") != "b0 b1 b2 b3 b4" {
			t.Fatalf("pushed %v", got)
		}
		_ = a.Close(within(time.Second))
		<-session.Done()
		<-pusher.Done()
		if pusher.Send(methodNote, nil) {
			t.Fatal("queued on an ended connection")
		}
	})
}

// A peer stops reading and answering without closing its socket, like a paused
// process. The connection must be closed after the ping timeout, so that callers use
// another host.
func TestHungPeerIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		hang := make(chan struct{})
		serveFaulty(t, n, "b", func(*websocket.Conn) { <-hang })
		a := start(t, n, "", testOptions(n, self("a", 1)), nil)
		session, err := a.Session(within(time.Second), "b")
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(DefaultPingInterval + DefaultPingTimeout + time.Second)
		select {
		case <-session.Done():
		default:
			t.Error("the connection is still open")
		}
		close(hang)
	})
}

// A host is down while a caller keeps retrying. Each call must fail immediately and
// the back-off must limit the number of dials, so that a restarted host isn't flooded
// with connections.
func TestBackOffBoundsDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		a := start(t, n, "", testOptions(n, self("a", 1)), nil)
		for range 1000 {
			if _, err := a.Call(within(time.Second), "b", methodEcho, nil); !errors.Is(err, port.ErrPeerNotSent) {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if n.dials < 5 || n.dials > 20 {
			t.Fatalf("%d dials in 10 s", n.dials)
		}
	})
}

// Close is called while a handler runs that then calls a third host. The caller must
// get its answer, a further call must fail as not sent, and Close must return only
// after the answer is written.
func TestCloseDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		start(t, n, "c", testOptions(n, self("c", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: echo})
		var b *Transport
		slow := func(ctx context.Context, _ port.Peer, _ port.Method, body []byte) ([]byte, error) {
			time.Sleep(time.Second)
			return b.Call(ctx, "c", methodEcho, body)
		}
		b = start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: slow})
		if _, err := b.Session(within(time.Second), "c"); err != nil {
			t.Fatal(err)
		}
		a := start(t, n, "", testOptions(n, self("a", 1)), nil)
		answers := make(chan string, 1)
		go func() {
			body, err := a.Call(within(5*time.Second), "b", methodEcho, []byte("kept"))
			answers <- fmt.Sprint(string(body), err)
		}()
		time.Sleep(100 * time.Millisecond)
		closed := make(chan error, 1)
		go func() { closed <- b.Close(within(5 * time.Second)) }()
		synctest.Wait()
		if _, err := a.Call(within(time.Second), "b", methodEcho, nil); !errors.Is(err, port.ErrPeerNotSent) {
			t.Errorf("call while draining: %v", err)
		}
		if got := <-answers; got != "kept<nil>" {
			t.Errorf("the running call got %s", got)
		}
		if err := <-closed; err != nil {
			t.Error(err)
		}
	})
}
