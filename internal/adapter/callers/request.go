package callers

import (
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/internal/httpbound"
	"github.com/lovagereach/lovagereach/outcome"
)

// maxBearer is the maximum length of a bearer token in bytes.
const maxBearer = 512

// maxDeadline is the maximum deadline that a caller may request.
const maxDeadline = 24 * time.Hour

// requestID returns the caller's request ID, or a new one if the request has none. A
// malformed ID is an error, because the caller could not find its request by it later.
func requestID(r *http.Request) (ident.Request, error) {
	generated, err := ident.NewRequest(rand.Reader)
	if err != nil {
		return generated, &outcome.NotRun{Reason: outcome.ReasonOverloaded, Detail: "no randomness for a request id"}
	}
	text := r.Header.Get(HeaderRequestID)
	if text == "" {
		return generated, nil
	}
	given, err := ident.ParseRequest(text)
	if err != nil {
		return generated, badHeader(HeaderRequestID, err.Error())
	}
	return given, nil
}

func badHeader(name, reason string) error {
	return &httpbound.BodyError{Status: http.StatusBadRequest, Field: name, Message: reason}
}

// authorize returns the caller that the bearer token belongs to. It runs before the body
// is read, so that an unauthenticated client can't make the entry read or parse a body.
func (h *Handler) authorize(r *http.Request) (entry.Caller, error) {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || token == "" || len(token) > maxBearer {
		return entry.Caller{}, &outcome.NotRun{
			Reason: outcome.ReasonUnauthorized,
			Detail: "an Authorization header with a bearer token is required",
		}
	}
	return h.entry.Authorize(config.TokenDigest(sha256.Sum256([]byte(token))))
}

// deadline returns the caller's deadline from the header, zero if there is none.
func deadline(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait <= 0 || wait > maxDeadline {
		return 0, badHeader(HeaderDeadline,
			fmt.Sprintf("%q is not a duration between 1ms and %v, such as 1.5s", truncate(text, maxEchoBytes), maxDeadline))
	}
	return wait, nil
}

// admitted is a request that has passed the checks before its body is read.
type admitted struct {
	request  ident.Request
	caller   entry.Caller
	class    ident.Class
	deadline time.Duration
}

// admit checks request ID, token, deadline and the limits of open requests. The returned
// function must be called at the end of the request. It is nil if the request was refused,
// in which case the response has been sent.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request) (admitted, func()) {
	var in admitted
	var err error
	if in.request, err = requestID(r); err != nil {
		h.refuse(w, in.request, err)
		return in, nil
	}
	if in.caller, err = h.authorize(r); err != nil {
		h.refuse(w, in.request, err)
		return in, nil
	}
	if in.deadline, err = deadline(r); err != nil {
		h.refuse(w, in.request, err)
		return in, nil
	}
	in.class = ident.Class(r.Header.Get(HeaderClass))
	team := in.caller.Team()
	if err = h.open.acquire(team); err != nil {
		h.refuse(w, in.request, err)
		return in, nil
	}
	return in, func() { h.open.release(team) }
}
