// Package service is the HTTP client of plain services. It implements port.Service by
// forwarding a call to one replica, at most once.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/unframed"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

// Client is the client of one replica of a plain service.
type Client struct {
	transport *httpsend.Transport
	base      string
}

var _ port.Service = (*Client)(nil)

// New returns a client of the replica at address, an IP address and port. If transport is
// nil, New creates one for the client.
func New(address string, transport *httpsend.Transport) *Client {
	if transport == nil {
		transport = httpsend.NoRetryTransport()
	}
	return &Client{transport: transport, base: "http://" + address}
}

// Forward implements port.Service. It returns any answer that has the request ID and
// attempt of the call, whatever its status. An answer with other IDs belongs to another
// call and is reported as an error, as is a 2xx that ends with its connection before its body.
func (c *Client) Forward(ctx context.Context, call port.ServiceCall) (port.ServiceAnswer, error) {
	req, err := c.request(ctx, call)
	if err != nil {
		return port.ServiceAnswer{}, err
	}
	resp, err := c.transport.Do(req, call.Request, call.Attempt)
	if err != nil {
		return port.ServiceAnswer{}, err
	}
	if err := check(resp, call); err != nil {
		resp.Body.Close()
		return port.ServiceAnswer{}, err
	}
	endsWithConnection := unframed.Is(resp)
	if endsWithConnection && resp.StatusCode/100 == 2 {
		if err := awaitBody(resp); err != nil {
			resp.Body.Close()
			return port.ServiceAnswer{}, err
		}
	}
	// These headers are internal; callers identify the request by the headers of the
	// entry.
	resp.Header.Del(httpsend.HeaderRequest)
	resp.Header.Del(httpsend.HeaderAttempt)
	return port.ServiceAnswer{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Body:     resp.Body,
		Length:   resp.ContentLength,
		Unframed: endsWithConnection,
	}, nil
}

// awaitBody waits for the first byte of a body that ends with its connection. An empty one can't be told
// from one that broke off after the head.
func awaitBody(resp *http.Response) error {
	first := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		return httpsend.Broken(err)
	}
	resp.Body = begunBody{Reader: io.MultiReader(bytes.NewReader(first), resp.Body), Closer: resp.Body}
	return nil
}

// begunBody is a body of which a part was read.
type begunBody struct {
	io.Reader
	io.Closer
}

func (c *Client) request(ctx context.Context, call port.ServiceCall) (*http.Request, error) {
	path := call.Path
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, eris.Wrap(err, "build service request")
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	if call.Key != "" {
		req.Header.Set(upstreamapi.HeaderIdempotencyKey, call.Key)
	}
	return req, nil
}

// check verifies the request ID and attempt of an answer. Without them, an error page of
// an intermediary could be mistaken for the answer of the service.
func check(resp *http.Response, call port.ServiceCall) error {
	request, attempt, err := upstreamapi.ReadAttempt(resp.Header)
	if err != nil || request != call.Request || attempt != call.Attempt {
		return &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: "answer does not carry the call's identity"}
	}
	return nil
}
