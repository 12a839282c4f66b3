package peer

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"

	"github.com/lovagereach/lovagereach/internal/port"
)

const upgrade = "GET " + path + " HTTP/1.1\r\nHost: b\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
	"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"

// Clients that aren't peers write arbitrary bytes to the listener. Each such
// connection must be closed within the hello timeout, and a valid peer must still
// be served.
func TestMalformedInputOnListener(t *testing.T) {
	cases := map[string]string{
		"silence":           "",
		"garbage":           "\x00\x01\x02\xff\xfe garbage\r\n\r\n",
		"other path":        "GET / HTTP/1.1\r\nHost: b\r\n\r\n",
		"no upgrade":        "GET " + path + " HTTP/1.1\r\nHost: b\r\n\r\n",
		"endless header":    "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 1<<20),
		"silent upgrade":    upgrade,
		"frame unmasked":    upgrade + "\x82\x01a",
		"frame too long":    upgrade + "\x82\xff\x7f\xff\xff\xff\xff\xff\xff\xff",
		"hello not CBOR":    upgrade + "\x82\x81\x00\x00\x00\x00\xff",
		"text in the hello": upgrade + "\x81\x81\x00\x00\x00\x00a",
	}
	for name, input := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newMemNet()
				start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: echo})
				c, err := n.dial(within(time.Second), "mem", "b")
				if err != nil {
					t.Fatal(err)
				}
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					var sink bytes.Buffer
					_, _ = sink.ReadFrom(c)
				}()
				go func() { _, _ = c.Write([]byte(input)) }()
				time.Sleep(2*DefaultHelloTimeout + 5*time.Second)
				select {
				case <-ended:
				default:
					t.Error("the connection is still open")
				}
				_ = c.Close()
				a := start(t, n, "", testOptions(n, self("a", 1)), nil)
				if _, err := a.Call(within(time.Second), "b", methodEcho, nil); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// A faulty authenticated peer sends an invalid message. The connection must be
// closed and the process must keep running.
func TestMalformedFramesCloseConnection(t *testing.T) {
	valid, _ := encodeFrames([]frame{{Kind: frameOneWay, Method: methodEcho}})
	huge := make([]byte, DefaultMaxFrame+1)
	cases := map[string][]byte{
		"empty":       {},
		"no frames":   {0x80},
		"truncated":   valid[:len(valid)-1],
		"trailing":    append(bytes.Clone(valid), 0),
		"bad kind":    mustEncode(frame{Kind: 99}),
		"no identity": mustEncode(frame{Kind: frameRequest}),
		"too large":   huge,
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newMemNet()
				start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: echo})
				ws := dialRaw(t, n, "b", self("a", 1))
				go func() { _ = ws.Write(context.Background(), websocket.MessageBinary, data) }()
				ctx := within(time.Second)
				if _, _, err := ws.Read(ctx); err == nil || ctx.Err() != nil {
					t.Errorf("the connection is still open: %v", err)
				}
				_ = ws.CloseNow()
			})
		})
	}
}

func mustEncode(f frame) []byte {
	data, err := encodeFrames([]frame{f})
	if err != nil {
		panic(err)
	}
	return data
}

func FuzzDecodeFrames(f *testing.F) {
	f.Add(mustEncode(frame{Kind: frameRequest, ID: 1, Method: methodEcho, Body: []byte("x"), TimeoutMillis: 5}))
	f.Add(mustEncode(frame{Kind: frameAnswer, ID: 1, Status: answerFailed, Error: "no"}))
	f.Add([]byte{0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		frames, err := decodeFrames(data)
		if err != nil {
			return
		}
		again, err := encodeFrames(frames)
		if err != nil {
			t.Fatalf("decoded frames can't be encoded: %v", err)
		}
		if _, err := decodeFrames(again); err != nil {
			t.Fatalf("encoded frames can't be decoded: %v", err)
		}
	})
}
