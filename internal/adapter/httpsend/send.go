package httpsend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/retry"
)

// Headers by which requests and answers are matched.
const (
	// HeaderRequest carries the request identity and HeaderAttempt the attempt;
	// an upstream that knows them repeats both in its answer.
	HeaderRequest = "Lovage-Request-Id"
	HeaderAttempt = "Lovage-Attempt"
	// HeaderNotRun is an upstream's own statement that it did not run the
	// request. Its value names the request and the attempt, so that a refusal
	// made by something in between, or kept from another request, is not taken
	// for one.
	HeaderNotRun = "Lovage-Not-Run"
)

// RefusalValue is the value of HeaderNotRun for an attempt.
func RefusalValue(request ident.Request, attempt uint32) string {
	return request.String() + "/" + strconv.FormatUint(uint64(attempt), 10)
}

// Do sends one attempt at most once. An error is *outcome.NotRun when no byte
// was written or the upstream states that it did not run the request, else
// *outcome.Unknown. An answer with an error status is an answer; the caller
// reads and closes its body.
//
// A kept connection may end, or bytes of another answer come on it, just when it was
// chosen. The caller would be told not-run for a call that any new connection carries;
// while no byte has left, and none can any more, the call goes out on another.
func (t *Transport) Do(req *http.Request, request ident.Request, attempt uint32) (*http.Response, error) {
	for tries := 1; ; tries++ {
		resp, ended, err := t.once(req, request, attempt)
		if err == nil || !ended || tries == maxKeptEnded || req.Context().Err() != nil {
			return resp, err
		}
		if req, err = again(req, err); err != nil {
			return nil, err
		}
	}
}

// maxKeptEnded bounds the connections that one call is given. Where a server closes all
// kept ones at once, the next may end alike.
const maxKeptEnded = 3

// again returns the request with its body from the start, or cause if that can't be had.
func again(req *http.Request, cause error) (*http.Request, error) {
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

// once gives the call to one connection. ended tells that this was a kept one, which
// took no byte of the call and takes none any more.
func (t *Transport) once(req *http.Request, request ident.Request, attempt uint32) (resp *http.Response, ended bool, err error) {
	watch := &connWatch{}
	trace := &httptrace.ClientTrace{GotConn: watch.gotConn}
	traced := req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	traced.Header = req.Header.Clone()
	if traced.Header == nil {
		traced.Header = make(http.Header)
	}
	traced.Header.Set(HeaderRequest, request.String())
	traced.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))

	resp, err = t.RoundTrip(traced)
	if err != nil {
		evidence := watch.evidence(req.Context(), err)
		return nil, watch.keptUnwritten(evidence), retry.Classify(evidence)
	}
	evidence := judge(resp.Header, request, attempt)
	if evidence.Refused || evidence.Mismatched {
		resp.Body.Close()
		return nil, false, retry.Classify(evidence)
	}
	return resp, false, nil
}

// judge reads what an answer's header says about whose answer it is.
func judge(header http.Header, request ident.Request, attempt uint32) retry.Evidence {
	e := retry.Evidence{Wrote: true, Answered: true}
	if id := header.Get(HeaderRequest); id != "" && id != request.String() {
		e.Mismatched = true
	}
	if n := header.Get(HeaderAttempt); n != "" && n != strconv.FormatUint(uint64(attempt), 10) {
		e.Mismatched = true
	}
	e.Refused = !e.Mismatched && header.Get(HeaderNotRun) == RefusalValue(request, attempt)
	return e
}

// connWatch learns which connection a request was given.
type connWatch struct {
	mu    sync.Mutex
	conn  *countedConn
	start uint64
	// kept tells that the connection had carried a request before.
	kept  bool
	other bool
}

func (w *connWatch) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	conn, ok := info.Conn.(*countedConn)
	if !ok || w.conn != nil {
		w.other = true
		return
	}
	w.conn = conn
	w.start = conn.count()
	w.kept = info.Reused
}

// keptUnwritten reports whether the request was given a kept connection only, which is
// sealed without a byte of it.
func (w *connWatch) keptUnwritten(e retry.Evidence) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kept && !w.other && !e.Wrote
}

// evidence describes a request that ended with err and without an answer.
func (w *connWatch) evidence(ctx context.Context, err error) retry.Evidence {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := retry.Evidence{
		Cause:      err,
		TimedOut:   errors.Is(err, context.DeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded),
		CallerGone: errors.Is(ctx.Err(), context.Canceled),
	}
	switch {
	case w.other:
		e.Wrote = true
	case w.conn == nil:
		var dial *net.OpError
		e.DialFailed = errors.As(err, &dial) && dial.Op == "dial"
	default:
		e.Wrote = !w.conn.sealIfUnwritten(w.start)
	}
	return e
}

// Broken classifies an answer whose body ended with err before its end.
func Broken(err error) error {
	var timeout interface{ Timeout() bool }
	timedOut := errors.As(err, &timeout) && timeout.Timeout()
	return retry.Classify(retry.Evidence{Wrote: true, Answered: true, TimedOut: timedOut, Cause: err})
}
