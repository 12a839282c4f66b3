package port

import (
	"context"
	"io"
	"net/http"

	"github.com/lovagereach/lovagereach/ident"
)

// Service is one replica of a plain service.
type Service interface {
	// Forward sends one call, at most once, on a connection whose transport
	// does not retry. The caller closes the answer's body.
	Forward(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// ServiceCall is one attempt at a caller's call.
type ServiceCall struct {
	Request ident.Request
	Attempt uint32
	Method  string
	// Path is the part of the URL after the service's name, query included.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the caller's idempotency key, empty for repeatable calls.
	Key string
}

// ServiceAnswer is a replica's answer.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes, -1 if the replica did not state it.
	Length int64
	// Unframed indicates that the body has neither a length nor chunks: it ends with its
	// connection, as it also does if the replica crashes.
	Unframed bool
}
