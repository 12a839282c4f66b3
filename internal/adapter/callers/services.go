package callers

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/internal/httpbound"
	"github.com/lovagereach/lovagereach/internal/unframed"
)

// maxKey is the maximum length of an idempotency key in bytes.
const maxKey = 256

// copyBuffer is the size of the buffer for copying an answer, in bytes.
const copyBuffer = 16 << 10

// services forwards a call to a plain service.
func (h *Handler) services(w http.ResponseWriter, r *http.Request) {
	in, release := h.admit(w, r)
	if release == nil {
		return
	}
	defer release()
	service, path, err := splitService(r)
	if err != nil {
		h.refuse(w, in.request, err)
		return
	}
	key, err := idempotencyKey(r)
	if err != nil {
		h.refuse(w, in.request, err)
		return
	}
	body, err := httpbound.ReadBody(w, r, h.options.MaxBody)
	if err != nil {
		h.refuse(w, in.request, err)
		return
	}
	answer, err := h.entry.Call(r.Context(), entry.ServiceCall{
		Request:  in.request,
		Caller:   in.caller,
		Service:  service,
		Method:   r.Method,
		Path:     path,
		Header:   forwardedHeader(r.Header),
		Body:     body,
		Key:      key,
		Deadline: in.deadline,
	})
	if err != nil {
		h.refuse(w, in.request, err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	conn, _ := r.Context().Value(callerConn{}).(net.Conn)
	h.relay(w, conn, answer)
}

// splitService splits /v1/services/{service}/{path}?{query} into the service and the rest.
func splitService(r *http.Request) (ident.Service, string, error) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), PathServices)
	service, path, _ := strings.Cut(rest, "/")
	if service == "" || len(service) > maxModelName {
		return "", "", invalid("service", "the path must name a service of 1 to %d bytes", maxModelName)
	}
	path = "/" + path
	// A path with dot segments could resolve to another path than the one that was
	// checked, and be treated as a repeatable call by mistake.
	for segment := range strings.SplitSeq(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return "", "", invalid("path", "must not hold . or .. segments")
		}
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return ident.Service(service), path, nil
}

// idempotencyKey returns the idempotency key, empty if there is none.
func idempotencyKey(r *http.Request) (string, error) {
	keys := r.Header.Values(HeaderIdempotency)
	if len(keys) == 0 {
		return "", nil
	}
	if len(keys) > 1 {
		return "", badHeader(HeaderIdempotency, "is given more than once")
	}
	if keys[0] == "" || len(keys[0]) > maxKey {
		return "", badHeader(HeaderIdempotency, fmt.Sprintf("must have 1 to %d bytes, has %d", maxKey, len(keys[0])))
	}
	return keys[0], nil
}

// droppedHeaders lists the headers that aren't forwarded in either direction: hop-by-hop
// headers and headers of this system.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length", "Authorization", HeaderRequestID, HeaderClass, HeaderDeadline,
	HeaderIdempotency, headerXRequestID, "Accept-Encoding",
}

// forwardedHeader returns the headers to forward to the service. The caller's token is not
// among them.
func forwardedHeader(header http.Header) http.Header {
	out := header.Clone()
	for listed := range strings.SplitSeq(strings.Join(header.Values("Connection"), ","), ",") {
		out.Del(strings.TrimSpace(listed))
	}
	for _, name := range droppedHeaders {
		out.Del(name)
	}
	return out
}

// relay sends a service's answer to the caller.
func (h *Handler) relay(w http.ResponseWriter, conn net.Conn, answer entry.ServiceAnswer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	for _, name := range droppedHeaders {
		header.Del(name)
	}
	setProvenance(header, answer.Provenance)
	header.Set(HeaderOutcome, answer.Provenance.Outcome.String())
	if answer.Repeated {
		header.Set(HeaderRepeated, "true")
	}
	switch {
	case answer.Unframed:
		unframed.Begin(header, conn)
	case answer.Length >= 0:
		header.Set("Content-Length", fmt.Sprint(answer.Length))
	}
	h.extendWrite(w)
	w.WriteHeader(answer.Status)
	if err := h.copyBody(w, answer.Body); err != nil {
		h.writeFailed(err)
		// The status has been sent, so resetting the connection is the only way to
		// signal that the answer is incomplete.
		resetConnection(w)
		panic(http.ErrAbortHandler)
	}
	if answer.Unframed && http.NewResponseController(w).Flush() == nil {
		unframed.End(conn)
	}
}

// resetConnection closes the connection of an answer by a reset: a regular close would be the end of a
// body without length or chunks.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // as in tests, without a connection
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // an error means that the connection is closed
	}
	_ = conn.Close()
}

// copyBody copies body to w and extends the write deadline before each write.
func (h *Handler) copyBody(w http.ResponseWriter, body io.Reader) error {
	buffer := make([]byte, copyBuffer)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			h.extendWrite(w)
			if _, writeErr := w.Write(buffer[:count]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
