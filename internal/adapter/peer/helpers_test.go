package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/coder/websocket"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

const (
	testCluster = "hall"
	methodEcho  = port.Method("echo")
	methodNote  = port.Method("note")
)

var testKey = []byte("a key for tests")

// memNet is an in-memory network, so that tests run in virtual time.
type memNet struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	dials     int
}

type memListener struct {
	net     *memNet
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type memAddr string

func (a memAddr) Network() string { return "mem" }
func (a memAddr) String() string  { return string(a) }

func newMemNet() *memNet {
	return &memNet{listeners: make(map[string]*memListener)}
}

func (n *memNet) listen(address string) *memListener {
	l := &memListener{net: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (n *memNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	l := n.listeners[strings.TrimSuffix(address, ":80")]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.address) }

// self returns a peer with the role control.
func self(host ident.Host, incarnation ident.Incarnation) port.Peer {
	return port.Peer{Host: host, DataCentre: "hall-north", Incarnation: incarnation, Role: "control"}
}

func testOptions(n *memNet, who port.Peer) Options {
	return Options{Cluster: testCluster, Self: who, Key: testKey, Dial: n.dial}
}

// start returns a transport that is closed at the end of the test. It serves on
// address unless address is empty.
func start(t *testing.T, n *memNet, address string, options Options, handlers map[port.Method]port.PeerHandlerFunc) *Transport {
	t.Helper()
	transport, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	for method, handler := range handlers {
		transport.Handle(method, handler)
	}
	served := make(chan struct{})
	if address == "" {
		close(served)
	} else {
		listener := n.listen(address)
		go func() {
			defer close(served)
			if err := transport.Serve(listener); err != nil {
				t.Errorf("serve: %v", err)
			}
		}()
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = transport.Close(ctx)
		<-served
	})
	return transport
}

func echo(_ context.Context, _ port.Peer, _ port.Method, body []byte) ([]byte, error) {
	return body, nil
}

// within returns a context that expires after d.
func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// serveFaulty serves address with a peer that completes the hello exchange and then
// runs script.
func serveFaulty(t *testing.T, n *memNet, address string, script func(ws *websocket.Conn)) {
	t.Helper()
	options := testOptions(n, self("rogue", 1)).withDefaults()
	serveRaw(t, n, address, func(ctx context.Context, ws *websocket.Conn) {
		h := handshake{options: options, roster: newRoster(newStats()), ws: ws}
		if _, err := h.server(ctx); err == nil {
			script(ws)
		}
	})
}

// serveRaw serves address with a peer that runs script from the hello on.
func serveRaw(t *testing.T, n *memNet, address string, script func(ctx context.Context, ws *websocket.Conn)) {
	t.Helper()
	handler := func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer func() { _ = ws.CloseNow() }()
		script(r.Context(), ws)
	}
	server := &http.Server{Handler: http.HandlerFunc(handler)}
	listener := n.listen(address)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
}

func readFrames(ws *websocket.Conn) []frame {
	_, data, err := ws.Read(context.Background())
	if err != nil {
		return nil
	}
	frames, _ := decodeFrames(data)
	return frames
}

func writeFrames(ws *websocket.Conn, frames ...frame) {
	data, _ := encodeFrames(frames)
	_ = ws.Write(context.Background(), websocket.MessageBinary, data)
}

func answerTo(f frame, body string) frame {
	return frame{Kind: frameAnswer, ID: f.ID, Method: f.Method, Body: []byte(body)}
}

// syncBuffer is a buffer for log lines that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func bufferLog() (*log.Logger, *syncBuffer) {
	var buffer syncBuffer
	return log.NewWithOptions(&buffer, log.Options{Formatter: log.LogfmtFormatter}), &buffer
}
