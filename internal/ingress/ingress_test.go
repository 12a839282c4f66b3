package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/lovagereach/lovagereach/intake"
)

// guarded is a server behind a guard.
type guarded struct {
	t       *testing.T
	guard   *Guard
	address string
	served  atomic.Int64
}

func newGuarded(t *testing.T, shared int64, limits HeadLimits, handle http.HandlerFunc) *guarded {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &guarded{t: t, guard: New(intake.Resources{Memory: 64 << 20, Descriptors: 40}), address: inner.Addr().String()}
	s.guard.limit, s.guard.shared = shared, semaphore.NewWeighted(shared)
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.served.Add(1)
		if handle != nil {
			handle(w, r)
		}
	})}
	listener := s.guard.Protect(server, inner, ShareCallers, func() HeadLimits { return limits })
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// exchange sends bytes on a new connection and returns the answers until the connection ends or is silent.
func (s *guarded) exchange(bytes string, answers int) (list []*http.Response) {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, bytes); err != nil {
		s.t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for range answers {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			s.t.Errorf("answer %d: %v", len(list), err)
			return list
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		list = append(list, answer)
	}
	return list
}

func linesOf(count int) string {
	var lines strings.Builder
	for i := range count {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}

// Guards against heads over the configured limit being read, and against a refusal that heads within it get.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	s := newGuarded(t, 1<<20, HeadLimits{Bytes: 8 << 10}, nil)
	for size, want := range map[int]int{7 << 10: http.StatusOK, 20 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		if answer := s.exchange("GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", size)+"\r\n\r\n", 1); answer[0].StatusCode != want {
			t.Errorf("a head of %d bytes: status %d", size, answer[0].StatusCode)
		}
	}
}

// Guards against requests that run, or can't be repeated, although there is no memory for them, also if they
// arrive together with the one before.
func TestHeadsBeyondTheSharedMemoryAreRefusedAsNotRun(t *testing.T) {
	s := newGuarded(t, 64<<10, HeadLimits{}, nil)
	if !s.guard.shared.TryAcquire(64 << 10) {
		t.Fatal("no shared memory")
	}
	ordinary, long := "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n"+linesOf(200)+"\r\n"
	answers := append(s.exchange(long, 1), s.exchange(ordinary+long, 2)...)
	for i, want := range []int{http.StatusServiceUnavailable, http.StatusOK, http.StatusServiceUnavailable} {
		if answers[i].StatusCode != want || want != http.StatusOK && answers[i].Header.Get("Retry-After") == "" {
			t.Errorf("answer %d: status %d, Retry-After %q", i, answers[i].StatusCode, answers[i].Header.Get("Retry-After"))
		}
	}
	if served := s.served.Load(); served != 1 {
		t.Errorf("%d requests have run", served)
	}
	s.guard.shared.Release(64 << 10)
	if answer := s.exchange(long, 1); answer[0].StatusCode != http.StatusOK {
		t.Errorf("status %d with memory", answer[0].StatusCode)
	}
	for end := time.Now().Add(10 * time.Second); !s.guard.shared.TryAcquire(64 << 10); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("memory is still reserved after all requests were answered")
		}
	}
}

// Guards against the deadline of a head that ends the request after it.
func TestDeadlineOfAHeadEndsWithIt(t *testing.T) {
	ended := make(chan error, 2)
	s := newGuarded(t, 1<<20, HeadLimits{Timeout: 100 * time.Millisecond, Idle: 100 * time.Millisecond}, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			ended <- context.Cause(r.Context())
		case <-time.After(400 * time.Millisecond):
			ended <- nil
		}
	})
	request := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	s.exchange(request+request, 2)
	for range 2 {
		if err := <-ended; err != nil {
			t.Errorf("a request has ended with the time of its head: %v", err)
		}
	}
}

// Guards against connections whose heads never end: each holds a descriptor for good.
func TestUnfinishedHeadsEndInTime(t *testing.T) {
	s := newGuarded(t, 1<<20, HeadLimits{Timeout: 50 * time.Millisecond, Idle: 50 * time.Millisecond}, nil)
	for _, begin := range []string{"", "GET / HTTP/1.1\r\nHost:"} {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(conn, begin)
		if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%q: %v", begin, err)
		}
		_ = conn.Close()
	}
}

// Guards against connections that keep a new one out: idle ones are closed for it, busy ones after their
// answer.
func TestNewConnectionsFindAPlace(t *testing.T) {
	s := newGuarded(t, 1<<20, HeadLimits{}, nil)
	request := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	// 16 connections have a place: four tenths of the descriptors.
	for i := range 40 {
		if i%2 == 0 {
			conn, err := net.Dial("tcp", s.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			continue
		}
		if answer := s.exchange(request, 1); answer[0].StatusCode != http.StatusOK {
			t.Errorf("connection %d: status %d", i, answer[0].StatusCode)
		}
	}
	if open := s.guard.open(); open > 16 {
		t.Errorf("%d connections are open", open)
	}
}
