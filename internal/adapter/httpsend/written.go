package httpsend

import (
	"context"
	"net/http/httptrace"
)

// wroteRequest is called once the request has been written, or could not be.
func (w *connTracker) wroteRequest(info httptrace.WroteRequestInfo) {
	select {
	case w.wrote <- info.Err:
	default:
	}
}

// awaitWritten waits until the request has been written. http.Transport has closed the connection at the end
// of an answer without framing, which ends a write that is still in progress.
func (w *connTracker) awaitWritten(ctx context.Context) error {
	select {
	case err := <-w.wrote:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	w.mu.Lock()
	conn := w.conn
	w.mu.Unlock()
	if conn == nil {
		return nil
	}
	return conn.writeError()
}
