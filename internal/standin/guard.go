package standin

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

// guard wraps a handler with a short answer and applies faults to it. If any
// fault is active, the answer is buffered, so that a fault can alter it.
func guard(faults *Faults, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// net/http detects that a client has disconnected only after the body
		// is read; otherwise a handler under FaultHung would never return.
		body, err := upstreamapi.ReadBounded(r.Body, upstreamapi.MaxRequestBytes)
		if err != nil {
			upstreamapi.WriteError(w, http.StatusBadRequest, "invalid_request", err.Error())
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !faults.applyBeforeRun(w, r) {
			return
		}
		if request, attempt, err := upstreamapi.ReadAttempt(r.Header); err == nil {
			upstreamapi.SetAttempt(w.Header(), request, attempt)
		}
		if faults.active.Load() == 0 {
			next(w, r)
			return
		}
		buffered := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		next(buffered, r)
		faults.sendWithFaults(w, r, buffered)
	}
}

// bufferedResponse is an http.ResponseWriter that buffers the answer.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (h *bufferedResponse) Header() http.Header         { return h.header }
func (h *bufferedResponse) WriteHeader(status int)      { h.status = status }
func (h *bufferedResponse) Write(p []byte) (int, error) { return h.body.Write(p) }

// sendWithFaults sends a buffered answer and applies the faults that take effect
// after a request has run.
func (f *Faults) sendWithFaults(w http.ResponseWriter, r *http.Request, buffered *bufferedResponse) {
	path := r.URL.Path
	if _, ok := f.Take(FaultReset, path); ok {
		abortConnection()
	}
	if _, ok := f.Take(FaultError, path); ok {
		upstreamapi.WriteError(w, http.StatusInternalServerError, "error", "failed by a fault")
		return
	}
	if _, ok := f.Take(FaultCrossed, path); ok {
		replaceIdentity(w.Header())
	}
	if _, ok := f.Take(FaultDuplicated, path); ok {
		sendTwice(w, buffered)
		return
	}
	body := buffered.body.Bytes()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, ok := f.Take(FaultTruncated, path); ok {
		body = body[:len(body)/2]
	}
	w.WriteHeader(buffered.status)
	if _, ok := f.Take(FaultHalfWritten, path); ok {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
	_, _ = w.Write(body)
}

// replaceIdentity changes the request identity in an answer's header to that of
// another request.
func replaceIdentity(header http.Header) {
	request, attempt, err := upstreamapi.ReadAttempt(header)
	if err != nil {
		return
	}
	request[0] ^= 0xff
	upstreamapi.SetAttempt(header, request, attempt)
}

// sendTwice writes the complete answer twice on the connection. A client that
// reuses the connection could mistake the second one for the answer to its next
// request.
func sendTwice(w http.ResponseWriter, buffered *bufferedResponse) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		abortConnection()
	}
	defer conn.Close()
	for range 2 {
		resp := http.Response{
			StatusCode:    buffered.status,
			ProtoMajor:    1,
			ProtoMinor:    1,
			Header:        buffered.header,
			Body:          io.NopCloser(bytes.NewReader(buffered.body.Bytes())),
			ContentLength: int64(buffered.body.Len()),
		}
		if resp.Write(conn) != nil {
			return
		}
	}
}
