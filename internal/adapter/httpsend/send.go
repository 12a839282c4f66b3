package httpsend

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/httphead"
	"github.com/lovagereach/lovagereach/internal/unframed"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/retry"
)

// Headers that match answers to requests.
const (
	// HeaderRequest holds the request ID and HeaderAttempt the attempt number. An
	// upstream that supports them repeats both in its answer.
	HeaderRequest = "Lovage-Request-Id"
	HeaderAttempt = "Lovage-Attempt"
	// HeaderNotRun is set by an upstream that did not run the request. Its value
	// contains the request ID and the attempt, so that a refusal by an intermediary,
	// or one for another request, isn't mistaken for it.
	HeaderNotRun = "Lovage-Not-Run"
)

// RefusalValue returns the value of HeaderNotRun for an attempt.
func RefusalValue(request ident.Request, attempt uint32) string {
	return request.String() + "/" + strconv.FormatUint(uint64(attempt), 10)
}

// Do sends one attempt at most once. The error is *outcome.NotRun if no byte was
// written or the upstream reports that it did not run the request, otherwise
// *outcome.Unknown. A response with an error status is returned without an error; the
// caller reads and closes the body.
//
// A reused connection may be closed, or receive bytes of another answer, just when it is
// chosen. If no byte of the request was written and none can be written any more, Do
// sends the request on another connection instead of returning *outcome.NotRun.
func (t *Transport) Do(req *http.Request, request ident.Request, attempt uint32) (*http.Response, error) {
	for tries := 1; ; tries++ {
		resp, unsent, err := t.sendOnce(req, request, attempt)
		if err == nil || !unsent || tries == maxReusedClosed || req.Context().Err() != nil {
			return resp, err
		}
		if req, err = rewind(req, err); err != nil {
			return nil, err
		}
	}
}

// maxReusedClosed is the maximum number of connections tried for one call. When a server
// closes all idle connections at the same time, the next reused one may be closed as well.
const maxReusedClosed = 3

// rewind returns the request with its body reset to the start, or cause if the body can't
// be reset.
func rewind(req *http.Request, cause error) (*http.Request, error) {
	if req.Body == nil || req.Body == http.NoBody {
		return req, nil
	}
	if req.GetBody == nil {
		return nil, cause
	}
	body, err := req.GetBody()
	if err != nil {
		return nil, cause
	}
	next := req.Clone(req.Context())
	next.Body = body
	return next, nil
}

// sendOnce sends the request on one connection. unsent is true if this was a reused one,
// no byte of the request was written to it, and it is closed to later writes.
func (t *Transport) sendOnce(req *http.Request, request ident.Request, attempt uint32) (resp *http.Response, unsent bool, err error) {
	tracker := &connTracker{written: make(chan struct{})}
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConn, WroteRequest: tracker.wroteRequest}
	traced := req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	traced.Header = req.Header.Clone()
	if traced.Header == nil {
		traced.Header = make(http.Header)
	}
	traced.Header.Set(HeaderRequest, request.String())
	traced.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))

	resp, err = t.RoundTrip(traced)
	if err != nil {
		evidence := tracker.evidence(req.Context(), err)
		return nil, tracker.reusedUnwritten(evidence), retry.Classify(evidence)
	}
	if err := cmp.Or(tracker.checkEncoding(resp), httphead.Check(resp)); err != nil {
		resp.Body.Close()
		return nil, false, &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: err.Error()}
	}
	if unframed.Is(resp) {
		resp.Body = unframed.NewBody(resp.Body, func() error { return tracker.awaitWritten(req.Context()) })
	}
	evidence := matchAnswer(resp.Header, request, attempt)
	if evidence.Refused || evidence.Mismatched {
		resp.Body.Close()
		return nil, false, retry.Classify(evidence)
	}
	return resp, false, nil
}

// matchAnswer compares the headers of an answer with the request and attempt.
func matchAnswer(header http.Header, request ident.Request, attempt uint32) retry.Evidence {
	e := retry.Evidence{Wrote: true, Answered: true}
	if id := header.Get(HeaderRequest); id != "" && id != request.String() {
		e.Mismatched = true
	}
	if n := header.Get(HeaderAttempt); n != "" && n != strconv.FormatUint(uint64(attempt), 10) {
		e.Mismatched = true
	}
	e.Refused = !e.Mismatched && header.Get(HeaderNotRun) == RefusalValue(request, attempt)
	if e.Refused {
		e.RetryAfter = retryAfter(header)
	}
	return e
}

// maxRetryAfter bounds the time for which an upstream may ask for no requests.
const maxRetryAfter = time.Hour

// retryAfter returns the time that a refusal states in seconds, 0 if it states none.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// connTracker records the connection that http.Transport chose for a request.
type connTracker struct {
	mu   sync.Mutex
	conn *countedConn
	// start is the write count of conn when the request got it.
	start uint64
	// reused is set if the connection was used by a previous request.
	reused bool
	// untracked is set if the request got a second connection or one that isn't a
	// countedConn.
	untracked bool
	// written is closed once the request has been written, or could not be because of writeErr.
	written  chan struct{}
	writeErr error
}

func (w *connTracker) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	conn, ok := info.Conn.(*countedConn)
	if !ok || w.conn != nil {
		w.untracked = true
		return
	}
	w.conn = conn
	w.start = conn.count()
	conn.expectHead()
	w.reused = info.Reused
}

// checkEncoding returns an error if the body of the answer can't be read.
func (w *connTracker) checkEncoding(resp *http.Response) error {
	w.mu.Lock()
	conn := w.conn
	w.mu.Unlock()
	if conn == nil {
		return nil
	}
	return conn.checkEncoding(resp)
}

// reusedUnwritten reports whether the request got only a reused connection, which was
// closed before a byte of the request was written.
func (w *connTracker) reusedUnwritten(e retry.Evidence) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reused && !w.untracked && !e.Wrote
}

// evidence returns the evidence for a request that failed with err and without an answer.
// It closes the connection if nothing was written.
func (w *connTracker) evidence(ctx context.Context, err error) retry.Evidence {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := retry.Evidence{
		Cause:      err,
		TimedOut:   errors.Is(err, context.DeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded),
		CallerGone: errors.Is(ctx.Err(), context.Canceled),
	}
	switch {
	case w.untracked:
		e.Wrote = true
	case w.conn == nil:
		var dial *net.OpError
		e.DialFailed = errors.As(err, &dial) && dial.Op == "dial"
	default:
		e.Wrote = !w.conn.closeIfUnwritten(w.start)
	}
	return e
}

// Broken classifies an answer whose body could not be read completely because of err.
func Broken(err error) error {
	var timeout interface{ Timeout() bool }
	timedOut := errors.As(err, &timeout) && timeout.Timeout()
	return retry.Classify(retry.Evidence{Wrote: true, Answered: true, TimedOut: timedOut, Cause: err})
}
