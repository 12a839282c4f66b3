package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/lovagereach/lovagereach/intake"
)

// newTestGuard returns a guard with some bytes of shared memory.
func newTestGuard(shared int64) *Guard {
	g := New(intake.Resources{})
	g.limit, g.shared = shared, semaphore.NewWeighted(shared)
	return g
}

// newRequest returns the context of a request on a new connection, which has used up its allowance.
func newRequest(t *testing.T, g *Guard) (context.Context, *Conn) {
	t.Helper()
	c := &Conn{listener: &listener{guard: g, table: intake.NewConnections[*Conn](8)}, held: intake.Allowance}
	return context.WithValue(t.Context(), connKey{}, c), c
}

// Guards against an entry that runs out of memory when many callers send long bodies at the same time:
// bodies beyond the shared memory are refused as not run.
func TestBodyMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A body of unknown length is read in two chunks, each of which takes twice its size.
		const length, shared = 40 << 10, 180 << 10
		g := newTestGuard(shared)
		long := bytes.Repeat([]byte("x"), length)
		var held []*Conn
		for i, stated := range []int64{length, -1} {
			ctx, c := newRequest(t, g)
			body, err := ReadBody(ctx, bytes.NewReader(long), stated)
			if err != nil || !bytes.Equal(body, long) {
				t.Fatalf("body %d: %d bytes: %v", i, len(body), err)
			}
			held = append(held, c)
		}
		began := time.Now()
		for _, stated := range []int64{length, -1} {
			ctx, c := newRequest(t, g)
			if _, err := ReadBody(ctx, bytes.NewReader(long), stated); !errors.Is(err, ErrMemory) {
				t.Errorf("read beyond the shared memory: %v", err)
			}
			c.release()
		}
		if took := time.Since(began); took > 2*MemoryWait {
			t.Errorf("refused after %v", took)
		}
		go func() {
			time.Sleep(MemoryWait / 2)
			held[0].release()
		}()
		ctx, c := newRequest(t, g)
		if _, err := ReadBody(ctx, bytes.NewReader(long), length); err != nil {
			t.Errorf("read after memory was released: %v", err)
		}
		c.release()
		held[1].release()
		if !g.shared.TryAcquire(shared) {
			t.Error("memory is still reserved after all bodies were released")
		}
	})
}

// Guards against a body longer than the whole shared memory that waits for good, and against a body that
// breaks off and keeps its memory.
func TestFailedBodiesReleaseMemory(t *testing.T) {
	const shared = 8
	g := newTestGuard(shared)
	ctx, c := newRequest(t, g)
	body, err := ReadBody(ctx, strings.NewReader("longer than all"), 15)
	if err != nil || len(body) != 15 {
		t.Errorf("%d bytes: %v", len(body), err)
	}
	c.release()
	ctx, c = newRequest(t, g)
	if _, err = ReadBody(ctx, io.MultiReader(strings.NewReader("a"), brokenReader{}), -1); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("body that breaks off: %v", err)
	}
	c.release()
	if !g.shared.TryAcquire(shared) {
		t.Error("memory is still reserved after all bodies were released")
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
