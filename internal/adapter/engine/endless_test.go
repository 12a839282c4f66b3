package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

// endlessEngine listens and answers every request with a beginning and then the same bytes until its
// connection is closed, after which it signals.
func endlessEngine(t *testing.T, begin, repeated string) (address string, closed <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	block := []byte(strings.Repeat(repeated, 1+(32<<10)/len(repeated)))
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err = c.Read(make([]byte, 64<<10)); err == nil {
			_, err = io.WriteString(c, begin)
		}
		for err == nil {
			_, err = c.Write(block)
		}
	}()
	return listener.Addr().String(), done
}

// allocated returns the bytes that a function allocates, freed ones included.
func allocated(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against an engine whose answer has no end taking the entry's memory, or keeping its caller waiting
// for as long as bytes come.
func TestAnswerWithoutEnd(t *testing.T) {
	const limit, maxBytes = 2 * time.Second, 64 << 20
	head := "HTTP/1.1 200 OK\r\n" + httpsend.HeaderRequest + ": " + testRequest.Request.String() + "\r\n" + httpsend.HeaderAttempt + ": 2\r\n"
	stream := head + "Content-Type: text/event-stream\r\n\r\n"
	first := token(7, 2, 0)
	var tokens strings.Builder
	for i := range 100 {
		tokens.WriteString(token(7, 2, i))
	}
	for name, c := range map[string]struct{ begin, repeated string }{
		"a status line": {"HTTP/1.1 200 ", "x"}, "no protocol at all": {"", "x"}, "a header field": {head + "X: ", "y"}, "header fields": {head, "X: y\r\n"},
		"informational answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}, "an error's body": {strings.Replace(head, "200 OK", "500 No", 1) + "\r\n", "x"},
		"a line": {stream, "x"}, "comments": {stream, ": x\n"}, "empty lines": {stream, "\n"}, "an event": {stream, "data: x\n"},
		"comments after a token": {stream + first, ": x\n"}, "the first token": {stream, first}, "tokens": {stream + tokens.String(), "data: x\n\n"},
		"events of another request": {stream, token(8, 2, 0)}, "empty chunks of the answer": {stream, fmt.Sprintf("data: {\"id\":%q,\"attempt\":2,\"choices\":[]}\n\n", ident.Request{7})},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := endlessEngine(t, c.begin, c.repeated)
			client := New(address, Options{})
			ctx, cancel := context.WithTimeout(t.Context(), 10*limit)
			defer cancel()
			var err error
			read := 0
			began := time.Now()
			bytes := allocated(func() {
				answer, failed := client.Generate(ctx, testRequest)
				for err = failed; err == nil; {
					if _, err = answer.Next(ctx); err == nil {
						read++
					}
				}
				if answer != nil {
					answer.Close()
				}
			})
			if kind := outcome.KindOf(err); kind != outcome.KindUnknown && kind != outcome.KindFailed || time.Since(began) > limit {
				t.Errorf("%v after %v, want an unknown or failed outcome within %v", err, time.Since(began), limit)
			}
			if read > testRequest.MaxTokens {
				t.Errorf("%d tokens, want at most %d", read, testRequest.MaxTokens)
			}
			if bytes > maxBytes {
				t.Errorf("%d KB were allocated", bytes>>10)
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the connection is left open")
			}
		})
	}
}

// Guards against calls of many engines whose answers have no end, all of which are kept at the same time.
func TestCallsWithoutEnd(t *testing.T) {
	const limit = time.Minute
	options := Options{Transport: httpsend.NoRetryTransport()}
	for name, c := range map[string]struct {
		engines int
		// maxHeap is the memory of an answer and a copy, and twice as much that is not freed yet.
		maxHeap int64
		call    func(ctx context.Context, c *Client) error
	}{
		"import": {32, 6 * upstreamapi.MaxAnswerBytes, func(ctx context.Context, c *Client) error { _, err := c.Import(ctx, port.ImportRequest{}); return err }},
		"export": {32, 6 * upstreamapi.MaxAnswerBytes, func(ctx context.Context, c *Client) error { _, err := c.Export(ctx, port.ExportRequest{}); return err }},
		"order":  {32, 6 * upstreamapi.MaxAnswerBytes, func(ctx context.Context, c *Client) error { _, err := c.Order(ctx, port.Order{}); return err }},
		"state":  {32, 6 * upstreamapi.MaxAnswerBytes, func(ctx context.Context, c *Client) error { _, err := c.State(ctx); return err }},
		"blocks": {6, 6 * upstreamapi.MaxSnapshotBytes, func(ctx context.Context, c *Client) error { _, err := c.Blocks(ctx); return err }},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			var running sync.WaitGroup
			for range c.engines {
				address, _ := endlessEngine(t, "HTTP/1.1 200 OK\r\n\r\n{", " ")
				running.Go(func() {
					if err := c.call(ctx, New(address, options)); err == nil || ctx.Err() != nil {
						t.Errorf("%v, %v", err, ctx.Err())
					}
				})
			}
			done := make(chan struct{})
			go func() {
				running.Wait()
				close(done)
			}()
			grown := heapGrowth(done)
			t.Logf("the heap grew by %d MiB", grown>>20)
			if grown > c.maxHeap {
				t.Errorf("that is more than %d MiB", c.maxHeap>>20)
			}
		})
	}
}

// heapGrowth returns how much memory in use grows at most until done is closed, in bytes.
func heapGrowth(done <-chan struct{}) (grown int64) {
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for {
		runtime.GC()
		runtime.ReadMemStats(&during)
		grown = max(grown, int64(during.HeapAlloc)-int64(before.HeapAlloc))
		select {
		case <-done:
			return grown
		case <-time.After(5 * time.Millisecond):
		}
	}
}
