package entryhost

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/callers"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

// pipeListener accepts in-memory connections, so that the callers' side of
// thousands of streams needs no file descriptors.
type pipeListener struct {
	accept chan net.Conn
	done   chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{accept: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.accept <- far
	return near
}

// idleEngine serves an engine that answers each request with one token and then
// sends nothing.
func idleEngine(b testing.TB) string {
	b.Helper()
	listener := benchListener(b)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, attempt, err := upstreamapi.ReadAttempt(r.Header)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		upstreamapi.SetAttempt(w.Header(), request, attempt)
		w.Header().Set("Content-Type", "text/event-stream")
		chunk, err := json.Marshal(upstreamapi.CompletionChunk{ID: request, Attempt: attempt, Choices: []upstreamapi.Choice{{Text: " a"}}})
		if err != nil {
			return
		}
		_, _ = w.Write(upstreamapi.AppendEvent(nil, chunk))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// openStream opens a stream on conn and returns after its first event.
func openStream(b testing.TB, conn net.Conn, path string, header string, body []byte) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n", path, header, len(body))
	if _, err := conn.Write(append([]byte(head), body...)); err != nil {
		b.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(openTimeout)); err != nil {
		b.Fatal(err)
	}
	lines := bufio.NewReaderSize(conn, 512)
	seen := false
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			b.Fatal(err)
		}
		seen = seen || strings.HasPrefix(line, "data: ")
		// This is the end of the event's chunk. An in-memory connection blocks
		// its writer until everything is read.
		if seen && line == "\r\n" {
			return
		}
	}
}

// openTimeout bounds the opening of one stream.
const openTimeout = 10 * time.Second

// memoryInUse returns the bytes of heap and stacks in use after a collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// BenchmarkIdleStream reports the memory of one open stream without traffic:
// the memory of the process with the streams going through the entry, minus
// that with as many streams directly to the engine.
func BenchmarkIdleStream(b *testing.B) {
	for _, count := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("streams=%d", count), func(b *testing.B) {
			for b.Loop() {
				straight := memoryOfDirectStreams(b, count)
				through := memoryOfEntryStreams(b, count)
				b.ReportMetric(float64(straight)/float64(count), "engine-bytes/stream")
				b.ReportMetric((float64(through)-float64(straight))/float64(count), "entry-bytes/stream")
			}
		})
	}
}

func memoryOfDirectStreams(b *testing.B, count int) uint64 {
	address := idleEngine(b)
	before := memoryInUse()
	conns := make([]net.Conn, count)
	for i := range conns {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		conns[i] = conn
		header := attemptHeader()
		openStream(b, conn, upstreamapi.PathCompletions, header, []byte("{}"))
	}
	return closeAll(conns, before)
}

func memoryOfEntryStreams(b *testing.B, count int) uint64 {
	listener := newPipeListener()
	benchEntry(b, listener, idleEngine(b))
	body, _ := requestBodies(b, benchPrompt(10), 10)
	before := memoryInUse()
	conns := make([]net.Conn, count)
	for i := range conns {
		conns[i] = listener.dial()
		openStream(b, conns[i], callers.PathCompletions, "Authorization: Bearer "+benchToken+"\r\n", body)
	}
	return closeAll(conns, before)
}

// closeAll returns the memory in use beyond before, and then closes the
// streams.
func closeAll(conns []net.Conn, before uint64) uint64 {
	used := memoryInUse() - before
	for _, conn := range conns {
		_ = conn.Close()
	}
	return used
}

// attemptHeader returns the header of an attempt in wire format.
func attemptHeader() string {
	header := make(http.Header)
	upstreamapi.SetAttempt(header, ident.Request{1}, 1)
	var out bytes.Buffer
	if err := header.Write(&out); err != nil {
		panic(err)
	}
	return out.String()
}
