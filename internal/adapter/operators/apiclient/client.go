// Package apiclient is the HTTP client of the operators' API of control hosts.
package apiclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/wait"
)

const (
	// maxAnswer is the maximum number of bytes read of a response.
	maxAnswer = 256 << 20
	// retryInterval is the pause before all control hosts are tried again.
	retryInterval = 200 * time.Millisecond
	// attemptTimeout is the timeout of an attempt, in addition to the maximum wait
	// of a request.
	attemptTimeout = 15 * time.Second
)

// Client sends requests to the control hosts in turn until one answers. It is safe for
// concurrent use.
type Client struct {
	servers []string
	token   string
	http    *http.Client
}

// New returns a client for the given base URLs. If transport is nil,
// http.DefaultTransport is used.
func New(servers []string, token string, transport http.RoundTripper) (*Client, error) {
	if len(servers) == 0 {
		return nil, eris.New("no control host is named")
	}
	if transport == nil {
		transport = http.DefaultTransport
	}
	return &Client{servers: servers, token: token, http: &http.Client{Transport: boundedTransport{transport}}}, nil
}

// Servers returns the base URLs of the control hosts.
func (c *Client) Servers() []string { return slices.Clone(c.servers) }

// boundedTransport limits the size of responses.
type boundedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := b.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = struct {
		io.Reader
		io.Closer
	}{io.LimitReader(response.Body, maxAnswer), response.Body}
	return response, nil
}

// Request is a request to the API.
type Request struct {
	Method string
	Path   string
	// Query is a struct with url tags for the URL query, or nil.
	Query any
	// Body is the request body, sent as JSON, or nil.
	Body any
	// Into is the value into which the response is decoded.
	Into any
	// Repeatable is true if the request may safely be sent twice. Otherwise it is
	// not retried after an attempt with an unknown outcome.
	Repeatable bool
}

// Call tries the control hosts in turn until one answers or ctx is done. If a host names
// the leader, the leader is tried next. The error is an *api.Error if a host returned one.
func (c *Client) Call(ctx context.Context, request Request) error {
	targets := slices.Clone(c.servers)
	var last error
	for {
		for i := 0; i < len(targets); i++ {
			err := c.CallOne(ctx, targets[i], request)
			if err == nil || !c.shouldTryNext(request, err) {
				return err
			}
			last = err
			targets = leaderNext(targets, i, err)
		}
		targets = slices.Clone(c.servers)
		if !wait.For(ctx, retryInterval) {
			return last
		}
	}
}

// leaderNext moves the leader that an answer names directly behind the host tried last.
func leaderNext(targets []string, tried int, err error) []string {
	var failure *api.Error
	if !errors.As(err, &failure) || failure.Leader == "" || slices.Contains(targets[:tried+1], failure.Leader) {
		return targets
	}
	rest := slices.DeleteFunc(slices.Clone(targets[tried+1:]), func(url string) bool { return url == failure.Leader })
	return slices.Concat(targets[:tried+1], []string{failure.Leader}, rest)
}

// shouldTryNext reports whether another host may be tried after err.
func (c *Client) shouldTryNext(request Request, err error) bool {
	var failure *api.Error
	if !errors.As(err, &failure) {
		return request.Repeatable || isNotSent(err)
	}
	switch failure.Code {
	case api.CodeNotLeader:
		return true
	case api.CodeUncertain, api.CodeUnavailable:
		return request.Repeatable
	default:
		return false
	}
}

// isNotSent reports whether the system call connect failed, so that no byte of the
// request was sent. After other errors the request may have been sent.
func isNotSent(err error) bool {
	var call *os.SyscallError
	return errors.As(err, &call) && call.Syscall == "connect"
}

// CallOne sends the request to one control host.
func (c *Client) CallOne(ctx context.Context, server string, request Request) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+api.MaxWait)
	defer cancel()
	builder := sling.New().Client(c.http).Base(server).Path(request.Path).Set("Authorization", "Bearer "+c.token)
	if request.Method == http.MethodPost {
		builder = builder.Post("")
	}
	if request.Query != nil {
		builder = builder.QueryStruct(request.Query)
	}
	if request.Body != nil {
		builder = builder.BodyJSON(request.Body)
	}
	httpRequest, err := builder.Request()
	if err != nil {
		return eris.Wrapf(err, "build request to %s", server)
	}
	var failure struct {
		api.Error
		// Plain is the error message of handlers that don't use api.Error.
		Plain string `json:"error"`
	}
	response, err := builder.Do(httpRequest.WithContext(ctx), request.Into, &failure)
	if err != nil {
		return attemptError(request, server, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		if failure.Plain != "" {
			return &api.Error{Code: api.CodeRefused, Message: failure.Plain}
		}
		if failure.Code == "" {
			return eris.Errorf("ask %s: %s, which is not a control host's answer", server, response.Status)
		}
		return &failure.Error
	}
	return nil
}

// attemptError classifies an attempt without an answer. A change whose request may have
// been sent may have been made, so its outcome is uncertain.
func attemptError(request Request, server string, err error) error {
	if request.Method != http.MethodPost || isNotSent(err) {
		return eris.Wrapf(err, "ask %s", server)
	}
	return &api.Error{
		Code:    api.CodeUncertain,
		Message: "no answer from " + server + ": " + err.Error(),
		Next:    "run the same command again: the same request is applied at most once",
	}
}
