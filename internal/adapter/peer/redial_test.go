package peer

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against hosts that start within a second of each other after a loss of power, and whose
// dials to those that had none yet hang until the kernel repeats the lost packet.
func TestDialReachesHostThatGetsPower(t *testing.T) {
	const powered, every = 250 * time.Millisecond, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var open atomic.Int32
		dial := redialling(func(ctx context.Context, _, _ string) (net.Conn, error) {
			defer open.Add(-1)
			if open.Add(1) > 2 {
				t.Error("more than two attempts at a time")
			}
			if time.Since(start) < powered {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			near, _ := net.Pipe()
			return near, nil
		}, every)
		conn, err := dial(t.Context(), "tcp", "c1:80")
		if took := time.Since(start); err != nil || conn == nil || took > powered+every {
			t.Errorf("connected after %v, %v", took, err)
		}
		synctest.Wait()
		if open.Load() != 0 {
			t.Errorf("%d attempts go on", open.Load())
		}
	})
}

// Guards against a far peer whose every attempt is given up too early, a refusal that is retried in a
// loop, and a dial without an end.
func TestDialEndsAsBefore(t *testing.T) {
	const every = 100 * time.Millisecond
	refused := errors.New("connection refused")
	for _, c := range []struct {
		name        string
		after, want time.Duration
		err, result error
	}{
		{"far", 4 * every, 4 * every, nil, nil},
		{"refused", every / 2, every / 2, refused, refused},
		{"silent", time.Hour, 10 * every, nil, context.DeadlineExceeded},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 10*every)
			defer cancel()
			_, err := redialling(func(ctx context.Context, _, _ string) (net.Conn, error) {
				select {
				case <-ctx.Done():
					return nil, ctx.Err()
				case <-time.After(c.after):
					near, _ := net.Pipe()
					return near, c.err
				}
			}, every)(ctx, "tcp", "c1:80")
			if took := time.Since(start); !errors.Is(err, c.result) || took != c.want {
				t.Errorf("%s: %v after %v", c.name, err, took)
			}
		})
	}
}

// Guards against a peer that connects slowly and is given up with the first further attempt: the
// deadline of an attempt's socket passes before its context ends.
func TestDialOutlastsTimeoutsOfItsAttempts(t *testing.T) {
	const every, connects = 100 * time.Millisecond, 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 10*every)
		defer cancel()
		_, err := redialling(func(ctx context.Context, _, _ string) (net.Conn, error) {
			if end, _ := ctx.Deadline(); time.Until(end) < connects {
				time.Sleep(time.Until(end) - time.Millisecond)
				return nil, os.ErrDeadlineExceeded
			}
			time.Sleep(connects)
			near, _ := net.Pipe()
			return near, nil
		}, every)(ctx, "tcp", "c1:80")
		if took := time.Since(start); err != nil || took != connects {
			t.Errorf("%v after %v, want a connection after %v", err, took, connects)
		}
		time.Sleep(every)
	})
}
