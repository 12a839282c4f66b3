package unframed

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

type connKey struct{}

// Guards against the end of a process that looks like the end of its answer.
func TestOnlyCompleteAnswerEndsRegularly(t *testing.T) {
	for _, complete := range []bool{true, false} {
		server := httptest.NewUnstartedServer(nil)
		server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
		server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn := r.Context().Value(connKey{}).(net.Conn)
			Begin(w.Header(), conn)
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			if complete {
				End(conn)
				return
			}
			// As the kernel does at the end of a process.
			_ = conn.Close()
		})
		server.Start()
		resp, err := http.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || (err == nil) != complete {
			t.Errorf("complete %t: length %d, encoding %v, %q, %v", complete, resp.ContentLength, resp.TransferEncoding, body, err)
		}
		_ = resp.Body.Close()
		server.Close()
	}
}
