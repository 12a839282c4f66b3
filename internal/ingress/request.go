package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/lovagereach/lovagereach/intake"
)

// Reserve counts bytes that a request is about to hold, until it has been answered. ctx is the request's
// context; without a guarded connection nothing is counted. An error is ErrMemory, or net.ErrClosed if the
// client has been closed.
func Reserve(ctx context.Context, bytes int64) error {
	c, _ := ctx.Value(connKey{}).(*Conn)
	if c == nil {
		return nil
	}
	err := c.Reserve(ctx, bytes)
	if errors.Is(err, ErrMemory) {
		c.listener.guard.refused.Inc()
	}
	return err
}

// Await is Reserve for a part of an answer, which waits until ctx is done if need be: the request is under
// way and can't be refused any more.
func Await(ctx context.Context, bytes int64) error {
	c, _ := ctx.Value(connKey{}).(*Conn)
	if c == nil {
		return nil
	}
	for {
		if err := c.Reserve(ctx, bytes); !errors.Is(err, ErrMemory) || ctx.Err() != nil {
			return err
		}
	}
}

// KeepOpen excludes the connection of a request from those that are closed for new ones.
func KeepOpen(ctx context.Context) {
	if c, _ := ctx.Value(connKey{}).(*Conn); c != nil {
		c.listener.work(c)
	}
}

// serve passes a request on whose head is within the bounds.
func serve(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if c == nil {
		handler.ServeHTTP(w, r)
		return
	}
	// What arrived together with the end of the request before has not been counted yet.
	if c.reserveRest(r) != nil {
		c.listener.guard.refused.Inc()
		w.Header().Set("Retry-After", unavailableRetryAfter)
		w.Header().Set("Connection", "close")
		http.Error(w, ErrMemory.Error(), http.StatusServiceUnavailable)
		return
	}
	if c.listener.full() {
		// Clients that keep their connections busy would keep all others out.
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength == 0 {
		c.listener.work(c)
	} else {
		r.Body = &body{ReadCloser: r.Body, conn: c}
	}
	handler.ServeHTTP(w, r)
}

// reserveRest counts what a parsed head takes beyond what was counted as it arrived.
func (c *Conn) reserveRest(r *http.Request) error {
	lines, bytes := 1, len(r.RequestURI)
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	if rest := intake.HeadCost(lines, bytes) - c.head.Cost(); rest > 0 {
		return c.Reserve(r.Context(), rest)
	}
	return nil
}

// body is the body of a request that is under way once it has been read.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.listener.work(b.conn)
	}
	return n, err
}
