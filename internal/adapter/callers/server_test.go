package callers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/outcome"
)

// exchange serves a handler with small limits, sends raw and returns all that the server
// sends before it closes the connection.
func exchange(t *testing.T, raw string) string {
	t.Helper()
	h := newHandler(t, newFakeEntry(t), Options{
		// ReadTimeout is long enough for a valid request on a busy machine, so
		// that the result doesn't depend on the machine's load.
		MaxHeader: 4 << 10, ReadTimeout: 2 * time.Second, IdleTimeout: 100 * time.Millisecond,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := h.Server()
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(bufio.NewReader(conn))
	if err != nil && !strings.Contains(err.Error(), "reset") {
		t.Fatal(err)
	}
	for h.open.total() != 0 {
		time.Sleep(time.Millisecond)
	}
	return string(answer)
}

// Unauthenticated clients keep connections open with half a request or send too much. The
// server must close each connection; otherwise the test hangs.
func TestConnectionsAreBounded(t *testing.T) {
	head := "POST " + PathCompletions + " HTTP/1.1\r\nHost: x\r\n"
	auth := "Authorization: Bearer " + goodToken + "\r\n"
	cases := map[string]struct {
		raw  string
		want string
	}{
		"silent":            {"", ""},
		"half a header":     {head, ""},
		"not HTTP":          {"\x16\x03\x01\x00\xff hello\r\n\r\n", "400 Bad Request"},
		"large header":      {head + "X: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", "431"},
		"half a body":       {head + auth + "Content-Length: 100\r\n\r\n{", "400 Bad Request"},
		"two lengths":       {head + auth + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n{}", "400 Bad Request"},
		"silent afterwards": {head + auth + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(goodBody), goodBody), "200 OK"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := exchange(t, test.raw)
			status, _, _ := strings.Cut(answer, "\r\n")
			if !strings.Contains(status, test.want) || test.want == "" && answer != "" {
				t.Errorf("got %q, want %q", status, test.want)
			}
		})
	}
}

// A client sends a header somewhat above the limit. It must get a JSON error with the
// outcome not-run.
func TestLargeHeaderIsRefusedAsJSON(t *testing.T) {
	answer := exchange(t, "GET "+PathAddress+" HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("x", 6<<10)+"\r\n\r\n")
	for _, want := range []string{"431 Request Header Fields Too Large", "Lovage-Outcome: not-run", `"message":"the header is larger than 4096 bytes"`} {
		if !strings.Contains(answer, want) {
			t.Errorf("%q does not contain %q", answer, want)
		}
	}
}

// The server itself forms every header of the answer to a prompt, whatever the caller put
// into its request: a line break in a field must not add a header.
func TestNoHeaderInjection(t *testing.T) {
	fake := newFakeEntry(t)
	got := request{path: PathCompletions, body: `{"model":"m\r\nX-Evil: 1","prompt":"a"}`}.do(newHandler(t, fake, Options{}))
	if got.Code != http.StatusOK || got.Header().Get("X-Evil") != "" {
		t.Errorf("got %d %v", got.Code, got.Header())
	}
}

// serviceAnswer serves a service's answer to one call. It returns the answer's body as its caller reads it,
// the framing and the error that ended it.
func serviceAnswer(t *testing.T, protocol string, answer entry.ServiceAnswer) (body, framing string, err error) {
	t.Helper()
	fake := newFakeEntry(t)
	answer.Status, answer.Provenance = http.StatusOK, entry.Provenance{Outcome: outcome.KindDone, Upstream: "app-1"}
	fake.service = answer
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newHandler(t, fake, Options{IdleTimeout: 100 * time.Millisecond}).Server()
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET %sapp/lots/7 HTTP/%s\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", PathServices, protocol, goodToken)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", "", err
	}
	switch {
	case resp.ContentLength >= 0:
		framing = "length"
	case len(resp.TransferEncoding) > 0:
		framing = "chunks"
	}
	read, err := io.ReadAll(resp.Body)
	return string(read), framing, err
}

// brokenBody returns a body that breaks off after a text.
func brokenBody(text string) io.ReadCloser {
	return io.NopCloser(io.MultiReader(strings.NewReader(text), iotest.ErrReader(errors.New("connection lost"))))
}

// Guards against an answer that ends with its connection being framed as whole, and against one that broke
// off ending as if it were whole.
func TestUnframedAnswerStaysUnframed(t *testing.T) {
	for _, size := range []int{1, 100, 100 << 10} {
		for _, protocol := range []string{"1.1", "1.0"} {
			t.Run(fmt.Sprintf("%d bytes, HTTP/%s", size, protocol), func(t *testing.T) {
				text := strings.Repeat("x", size)
				body, framing, err := serviceAnswer(t, protocol, entry.ServiceAnswer{Body: io.NopCloser(strings.NewReader(text)), Length: -1, Unframed: true})
				if err != nil || body != text || framing != "" {
					t.Errorf("whole: %d bytes, framed by %q, %v", len(body), framing, err)
				}
				body, framing, err = serviceAnswer(t, protocol, entry.ServiceAnswer{Body: brokenBody(text), Length: -1, Unframed: true})
				if err == nil {
					t.Errorf("broken off: %d bytes, framed by %q, read to a regular end", len(body), framing)
				}
			})
		}
	}
}

// Guards against an answer with a length or chunks that broke off looking whole, also to a caller whose
// protocol has no chunks.
func TestBrokenAnswerNeverEndsRegularly(t *testing.T) {
	for name, length := range map[string]int64{"length": 200 << 10, "chunks": -1} {
		for _, size := range []int{0, 1, 100 << 10} {
			for _, protocol := range []string{"1.1", "1.0"} {
				body, framing, err := serviceAnswer(t, protocol, entry.ServiceAnswer{Body: brokenBody(strings.Repeat("x", size)), Length: length})
				if err == nil {
					t.Errorf("%s, %d bytes, HTTP/%s: %d bytes, framed by %q, read to a regular end", name, size, protocol, len(body), framing)
				}
			}
		}
	}
}
