package peer

import (
	"context"
	"errors"
	"net"
	"time"
)

// dialFunc connects to an address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialled is the result of one attempt; again is set if it only ran out of its own time.
type dialled struct {
	conn  net.Conn
	err   error
	again bool
}

// redialling returns a dial function that starts a further attempt every so often while none has
// succeeded. The packet that opens a connection may be lost, as at a host that has no power yet, and
// kernels repeat it after a second only. At most two attempts are in progress: the first, for a peer
// that is far away, and the latest. An attempt that is refused ends the dial.
func redialling(dial dialFunc, every time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		results := make(chan dialled)
		attempt := func(own context.Context) {
			conn, err := dial(own, network, address)
			select {
			case results <- dialled{conn, err, own != ctx && timedOut(own, err)}:
			case <-ctx.Done():
				if conn != nil {
					_ = conn.Close()
				}
			}
		}
		go attempt(ctx)
		next := time.NewTicker(every)
		defer next.Stop()
		for {
			select {
			case r := <-results:
				if r.err == nil || !r.again {
					return r.conn, r.err
				}
			case <-next.C:
				go func() {
					limited, end := context.WithTimeout(ctx, every*9/10)
					defer end()
					attempt(limited)
				}()
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}

// timedOut reports whether a dial only ran out of its time. A socket's deadline may pass before its
// context has ended.
func timedOut(ctx context.Context, err error) bool {
	var timeout net.Error
	return ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout()
}
