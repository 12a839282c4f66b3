package httpsend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

var testRequest = ident.Request{1, 2, 3}

// flakyServer answers the first request on each connection. It reads later ones
// completely and closes the connection without an answer. It counts the requests that
// it read: each of them may have run.
type flakyServer struct {
	listener net.Listener
	read     atomic.Int64
}

func newFlakyServer(t *testing.T) *flakyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &flakyServer{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *flakyServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.read.Add(1)
		if n > 0 {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (s *flakyServer) request(method, body string) *http.Request {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+s.listener.Addr().String()+"/bid", reader)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Idempotency-Key", "k1")
	return req
}

func drain(t *testing.T, resp *http.Response, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// Guards against a call that runs twice. A call is sent on a reused connection and the
// replica reads it completely, but crashes before it answers; http.Transport repeats a
// call with an Idempotency-Key on a new connection. The first half of the test shows that
// it does, which proves that the check of NoRetryTransport in the second half can fail.
func TestNoRetryOnReusedConnection(t *testing.T) {
	cases := []struct{ name, method, body string }{
		{"post with body", http.MethodPost, "amount=3"},
		{"post without body", http.MethodPost, ""},
		{"get without body", http.MethodGet, ""},
		{"delete without body", http.MethodDelete, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			std := newFlakyServer(t)
			client := &http.Client{Transport: &http.Transport{}}
			resp, err := client.Do(std.request(c.method, c.body))
			drain(t, resp, err)
			if resp, err := client.Do(std.request(c.method, c.body)); err == nil {
				resp.Body.Close()
			}
			if got := std.read.Load(); got != 3 {
				t.Fatalf("the standard transport sent %d requests, want 3: the test can't detect a retry", got)
			}

			own := newFlakyServer(t)
			transport := NoRetryTransport()
			defer transport.CloseIdleConnections()
			resp, err = transport.Do(own.request(c.method, c.body), testRequest, 1)
			drain(t, resp, err)
			resp, err = transport.Do(own.request(c.method, c.body), testRequest, 2)
			if err == nil {
				resp.Body.Close()
			}
			if got := own.read.Load(); got != 2 {
				t.Errorf("NoRetryTransport sent %d requests, want 2", got)
			}
			if kind := outcome.KindOf(err); kind != outcome.KindUnknown {
				t.Errorf("outcome %v (%v), want unknown", kind, err)
			}
		})
	}
}

// The connection is refused, or the caller cancels before it is opened. No byte of the
// request was sent, so the outcome must be not-run with the reason, and the call may be
// sent to another upstream.
func TestDoClassifiesUnsent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := closed.Addr().String()
	closed.Close()
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		name   string
		ctx    context.Context
		reason outcome.Reason
	}{
		{"dial refused", context.Background(), outcome.ReasonDial},
		{"caller gone before dial", cancelled, outcome.ReasonCallerGone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+address+"/", strings.NewReader("x"))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := NoRetryTransport().Do(req, testRequest, 1)
			if err == nil {
				resp.Body.Close()
			}
			var notRun *outcome.NotRun
			if !errors.As(err, &notRun) || notRun.Reason != c.reason {
				t.Fatalf("got %v, want not-run for %q", err, c.reason)
			}
		})
	}
}

// Upstreams answer with the IDs of this attempt, of another one or with none. After an
// answer for another request or attempt, the outcome must be unknown. A refusal must
// count only if it contains this request and attempt; otherwise a refusal of another call
// would mark a call as not run that ran.
func TestDoMatchesAnswers(t *testing.T) {
	other := ident.Request{9}
	cases := []struct {
		name   string
		header http.Header
		kind   outcome.Kind
	}{
		{"no identity", http.Header{}, outcome.KindDone},
		{"own identity", http.Header{HeaderRequest: {testRequest.String()}, HeaderAttempt: {"2"}}, outcome.KindDone},
		{"other request", http.Header{HeaderRequest: {other.String()}}, outcome.KindUnknown},
		{"other attempt", http.Header{HeaderAttempt: {"1"}}, outcome.KindUnknown},
		{"own refusal", http.Header{HeaderNotRun: {RefusalValue(testRequest, 2)}}, outcome.KindNotRun},
		{"refusal of another attempt", http.Header{HeaderNotRun: {RefusalValue(testRequest, 1)}}, outcome.KindDone},
		{"refusal in a crossed answer", http.Header{HeaderRequest: {other.String()}, HeaderNotRun: {RefusalValue(testRequest, 2)}}, outcome.KindUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for name, values := range c.header {
					w.Header()[name] = values
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			})}
			go server.Serve(listener)
			defer server.Close()
			req, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/", strings.NewReader("x"))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := NoRetryTransport().Do(req, testRequest, 2)
			if err == nil {
				resp.Body.Close()
			}
			if kind := outcome.KindOf(err); kind != c.kind {
				t.Fatalf("outcome %v (%v), want %v", kind, err, c.kind)
			}
		})
	}
}

// A request is cancelled after it got its connection and before it was written. Do
// returns not-run, so the writer goroutine of http.Transport, which may run later, must
// not be able to write to the connection.
func TestCloseIfUnwrittenPreventsLaterWrites(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &countedConn{Conn: near}
	start := conn.count()
	if !conn.closeIfUnwritten(start) {
		t.Fatal("closeIfUnwritten returned false although nothing was written")
	}
	if _, err := conn.Write([]byte("bid")); !errors.Is(err, errClosedUnwritten) {
		t.Fatalf("write after closeIfUnwritten: %v", err)
	}
	written := &countedConn{Conn: far}
	start = written.count()
	if _, err := written.Write([]byte("bid")); err == nil {
		t.Fatal("write to a closed pipe succeeded")
	}
	if written.closeIfUnwritten(start) {
		t.Fatal("closeIfUnwritten returned true after a failed write")
	}
}
