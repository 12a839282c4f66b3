package peer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// drainPoll is the interval at which Close checks that all queues are written out.
const drainPoll = 5 * time.Millisecond

// Close stops accepting work, sends a goodbye frame to each peer, waits until
// the calls and handlers in progress have returned and their answers are
// written, and closes all connections. If ctx is done first, Close cancels the
// remaining work and returns ctx's error.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	if t.closing {
		t.mu.Unlock()
		return nil
	}
	t.closing = true
	server := t.server
	conns := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.closeIfIdle()
	t.mu.Unlock()

	for _, c := range conns {
		c.tryEnqueue(&outgoing{frame: frame{Kind: frameGoodbye}})
	}
	err := t.drain(ctx, conns)
	t.cancel(errClosing)
	if server != nil {
		_ = server.Close()
	}
	t.client.CloseIdleConnections()
	return err
}

func (t *Transport) drain(ctx context.Context, conns []*conn) error {
	select {
	case <-t.idle:
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "peer: close: calls or handlers are still running")
	}
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !allWritten(conns) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "peer: close: answers are not written yet")
		}
	}
	return nil
}

// allWritten reports whether no live connection has unwritten frames.
func allWritten(conns []*conn) bool {
	for _, c := range conns {
		if c.ctx.Err() == nil && c.unwritten.Load() > 0 {
			return false
		}
	}
	return true
}
