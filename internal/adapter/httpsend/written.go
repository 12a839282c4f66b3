package httpsend

import (
	"context"
	"net/http/httptrace"
)

// wroteRequest is called once the request has been written, or could not be.
func (w *connTracker) wroteRequest(info httptrace.WroteRequestInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.written:
	default:
		w.writeErr = info.Err
		close(w.written)
	}
}

// awaitWritten waits until the request has been written. http.Transport has closed the connection at the end
// of an answer without framing, which ends a write that is still in progress.
func (w *connTracker) awaitWritten(ctx context.Context) error {
	select {
	case <-w.written:
	case <-ctx.Done():
		return ctx.Err()
	}
	w.mu.Lock()
	conn, err := w.conn, w.writeErr
	w.mu.Unlock()
	if err != nil || conn == nil {
		return err
	}
	return conn.writeError()
}
