// Package httpcall makes the short JSON calls of the engine and store adapters. A call
// is sent at most once, its errors are classified as outcomes, and its answer is limited
// in size and matched by the request ID.
package httpcall

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

// Caller sends calls to one upstream.
type Caller struct {
	transport *httpsend.Transport
	base      string
}

// NewCaller returns a Caller for the upstream at address, an IP address and port.
func NewCaller(transport *httpsend.Transport, address string) *Caller {
	return &Caller{transport: transport, base: "http://" + address}
}

// Base returns the URL of the upstream, without a path.
func (c *Caller) Base() string { return c.base }

// Post sends body as JSON and decodes a response of at most limit bytes into answer. If
// answer is nil, only the status is checked.
func (c *Caller) Post(ctx context.Context, path string, body any, limit int64, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrapf(err, "encode request to %s", path)
	}
	builder := sling.New().Base(c.base).Post(path).
		Set("Content-Type", "application/json").
		Body(bytes.NewReader(data))
	return c.do(ctx, builder, limit, answer)
}

// Get requests a path and decodes a response of at most limit bytes into answer.
func (c *Caller) Get(ctx context.Context, path string, limit int64, answer any) error {
	return c.do(ctx, sling.New().Base(c.base).Get(path), limit, answer)
}

func (c *Caller) do(ctx context.Context, builder *sling.Sling, limit int64, answer any) error {
	req, err := builder.Request()
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	// Each call has a request ID of its own, so that the answer to another call isn't
	// accepted for this one.
	id, err := ident.NewRequest(rand.Reader)
	if err != nil {
		return eris.Wrap(err, "create request ID")
	}
	resp, err := c.transport.Do(req.WithContext(ctx), id, 1)
	if err != nil {
		return eris.Wrap(err, req.URL.Path)
	}
	defer resp.Body.Close()
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return eris.Wrap(Failure(resp, id, 1), req.URL.Path)
	}
	if err := c.read(ctx, resp, limit, answer); err != nil {
		return &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: req.URL.Path + ": " + err.Error()}
	}
	return nil
}

// read reads a response completely, even if only the status is needed: a truncated
// response proves nothing, and a connection can be reused only after its response was
// read.
func (c *Caller) read(ctx context.Context, resp *http.Response, limit int64, answer any) error {
	return c.transport.Answers.Read(ctx, resp.Body, limit, func(data []byte) error {
		if answer == nil || resp.StatusCode == http.StatusNoContent {
			return nil
		}
		return json.Unmarshal(data, answer)
	})
}

// Failure converts an error response into *outcome.Failed, with the upstream's message
// if the body is an upstreamapi.ErrorBody. An error response without the request ID and
// attempt may come from an intermediary instead of the upstream; for it, Failure returns
// *outcome.Unknown.
func Failure(resp *http.Response, request ident.Request, attempt uint32) error {
	detail := http.StatusText(resp.StatusCode)
	var body upstreamapi.ErrorBody
	if err := upstreamapi.DecodeBounded(resp.Body, upstreamapi.MaxErrorBytes, &body); err == nil {
		detail = body.Error.Message
	}
	gotRequest, gotAttempt, err := upstreamapi.ReadAttempt(resp.Header)
	if err != nil || gotRequest != request || gotAttempt != attempt {
		return &outcome.Unknown{Reason: outcome.ReasonUpstreamError, Detail: detail}
	}
	return &outcome.Failed{Reason: outcome.ReasonUpstreamError, Status: resp.StatusCode, Detail: detail}
}
