package httpsend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A call gets a reused connection at the moment at which the server closes it or sends a
// second response to the previous request. http.Transport drops the connection before a
// byte of the call was sent. The call must go out on another connection instead of
// failing with
//
//	not run (connection-lost): no byte was sent: readLoopPeekFailLocked
func TestReusedConnectionClosedBeforeWriteIsReplaced(t *testing.T) {
	for name, interfere := range map[string]func(net.Conn){
		"closed":          func(c net.Conn) { _ = c.Close() },
		"a second answer": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno") },
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+"/"+method, func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer listener.Close()
				conns := make(chan net.Conn, 4)
				var received atomic.Int64
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						conns <- conn
						go answerAll(conn, &received)
					}
				}()
				transport := NoRetryTransport()
				defer transport.CloseIdleConnections()
				call := func(onReuse func()) error {
					req, err := http.NewRequest(method, "http://"+listener.Addr().String()+"/", strings.NewReader("bid"))
					if err != nil {
						t.Fatal(err)
					}
					ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
						if info.Reused {
							onReuse()
						}
					}})
					resp, err := transport.Do(req.WithContext(ctx), testRequest, 1)
					if err != nil {
						return err
					}
					defer resp.Body.Close()
					_, err = io.Copy(io.Discard, resp.Body)
					return err
				}
				if err := call(func() {}); err != nil {
					t.Fatal(err)
				}
				first := <-conns
				if err := call(func() { interfere(first); time.Sleep(50 * time.Millisecond) }); err != nil {
					t.Errorf("call: %v", err)
				}
				if n := received.Load(); n != 2 {
					t.Errorf("%d calls reached the server, want 2", n)
				}
			})
		}
	}
}

// answerAll answers every request on a connection and counts the completely received ones.
func answerAll(conn net.Conn, received *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		received.Add(1)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}
