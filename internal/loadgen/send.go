package loadgen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/callers"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

// errStatus is an error for an unexpected HTTP status.
type errStatus int

// Error implements error.
func (s errStatus) Error() string { return fmt.Sprintf("status %d", int(s)) }

// sender sends requests to entries. It never retries a request itself.
type sender struct{ client *http.Client }

// do sends a request. It returns *outcome.NotRun only if no connection was
// established, otherwise *outcome.Unknown.
func (s *sender) do(req *http.Request, id ident.Request) (*http.Response, error) {
	req.Header.Set(callers.HeaderRequestID, id.String())
	resp, err := s.client.Do(req)
	if err == nil {
		return resp, nil
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return nil, &outcome.NotRun{Reason: outcome.ReasonDial, Detail: err.Error()}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, &outcome.Unknown{Reason: outcome.ReasonTimeout, Detail: err.Error()}
	}
	return nil, &outcome.Unknown{Reason: outcome.ReasonConnectionLost, Detail: err.Error()}
}

// errorReason returns the reason of an error returned by do.
func errorReason(err error) string {
	var notRun *outcome.NotRun
	var unknown *outcome.Unknown
	switch {
	case errors.As(err, &notRun):
		return "client: " + string(notRun.Reason)
	case errors.As(err, &unknown):
		return "client: " + string(unknown.Reason)
	default:
		return "client: " + err.Error()
	}
}

// answerError is the error body of an entry's answer.
type answerError struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// parseRefusal returns the outcome and reason of an error answer, either of an
// entry or of a service behind it. Both have the outcome in a header.
func parseRefusal(resp *http.Response) (outcome.Kind, string) {
	var body struct {
		Error answerError `json:"error"`
	}
	if err := upstreamapi.DecodeBounded(resp.Body, upstreamapi.MaxErrorBytes, &body); err != nil {
		return outcome.KindUnknown, fmt.Sprintf("status %d: body not readable", resp.StatusCode)
	}
	kind, ok := outcome.ParseKind(resp.Header.Get(callers.HeaderOutcome))
	if !ok {
		return outcome.KindUnknown, fmt.Sprintf("status %d without an outcome", resp.StatusCode)
	}
	if body.Error.Code == "" {
		return kind, fmt.Sprintf("status %d of the service", resp.StatusCode)
	}
	return kind, body.Error.Code
}
