package callers

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/httpbound"
	"github.com/lovagereach/lovagereach/outcome"
)

// errorBody is the usual JSON error format, extended by the outcome.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
	// Outcome indicates whether the request ran; see outcome.Kind.
	Outcome      string `json:"outcome"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Error types of the widely used format, known to client libraries.
const (
	typeInvalid  = "invalid_request_error"
	typeAuth     = "authentication_error"
	typeRate     = "rate_limit_error"
	typeConflict = "conflict_error"
	typeServer   = "server_error"
)

// reasonStatus maps reasons to status and error type where these differ from the defaults.
var reasonStatus = map[outcome.Reason]struct {
	status int
	kind   string
}{
	outcome.ReasonBadRequest:   {http.StatusBadRequest, typeInvalid},
	outcome.ReasonUnauthorized: {http.StatusUnauthorized, typeAuth},
	outcome.ReasonKeyRequired:  {http.StatusBadRequest, typeInvalid},
	outcome.ReasonKeyConflict:  {http.StatusUnprocessableEntity, typeConflict},
	outcome.ReasonKeyExpired:   {http.StatusConflict, typeConflict},
	outcome.ReasonTeamLimit:    {http.StatusTooManyRequests, typeRate},
	// The request may have run; clients don't retry after this status.
	outcome.ReasonCrashesUpstreams: {http.StatusBadRequest, typeInvalid},
	outcome.ReasonTimeout:          {http.StatusGatewayTimeout, typeServer},
	outcome.ReasonDeadline:         {http.StatusServiceUnavailable, typeServer},
}

// describe returns the HTTP status and the error detail for err.
func describe(err error, request ident.Request) (int, errorDetail) {
	detail := errorDetail{
		Type:      typeServer,
		Outcome:   outcome.KindOf(err).String(),
		RequestID: request.String(),
	}
	var bad *httpbound.BodyError
	var notRun *outcome.NotRun
	var failed *outcome.Failed
	var unknown *outcome.Unknown
	switch {
	case errors.As(err, &bad):
		// An invalid request is never forwarded, so it has not run.
		detail.Type, detail.Code, detail.Param = typeInvalid, string(outcome.ReasonBadRequest), bad.Field
		detail.Message, detail.Outcome = bad.Error(), outcome.KindNotRun.String()
		return bad.Status, detail
	case errors.As(err, &notRun):
		detail.Code, detail.Message = string(notRun.Reason), notRun.Detail
		detail.RetryAfterMS = notRun.RetryAfter.Milliseconds()
		return statusOf(notRun.Reason, http.StatusServiceUnavailable, &detail), detail
	case errors.As(err, &failed):
		detail.Code, detail.Message = string(failed.Reason), failed.Detail
		return failedStatus(failed), detail
	case errors.As(err, &unknown):
		detail.Code, detail.Message = string(unknown.Reason), unknown.Detail
		return statusOf(unknown.Reason, http.StatusBadGateway, &detail), detail
	default:
		// The text of an unclassified error may contain internal addresses, so
		// it isn't sent to the caller.
		detail.Code, detail.Message = "internal", "the request's outcome is not known"
		return http.StatusBadGateway, detail
	}
}

// statusOf returns the status of a reason, or fallback, and sets the error type.
func statusOf(reason outcome.Reason, fallback int, detail *errorDetail) int {
	if known, ok := reasonStatus[reason]; ok {
		detail.Type = known.kind
		return known.status
	}
	return fallback
}

// failedStatus returns the upstream's status if it is an error status, otherwise 502.
func failedStatus(failed *outcome.Failed) int {
	if failed.Status >= http.StatusBadRequest && failed.Status <= 599 {
		return failed.Status
	}
	return http.StatusBadGateway
}

// refuse sends an error response. Nothing may have been written before.
func (h *Handler) refuse(w http.ResponseWriter, request ident.Request, err error) {
	h.metrics.refused.Inc()
	status, detail := describe(err, request)
	writeError(w, status, detail)
}

// WriteError sends an error response in the format of this listener. It is used by
// handlers that wrap Handler and have written nothing yet. If status is zero, the status
// is derived from err.
func WriteError(w http.ResponseWriter, r *http.Request, status int, err error) {
	request, malformed := requestID(r)
	if malformed != nil {
		err, status = malformed, 0
	}
	own, detail := describe(err, request)
	writeError(w, cmp.Or(status, own), detail)
}

func writeError(w http.ResponseWriter, status int, detail errorDetail) {
	header := w.Header()
	header.Set(HeaderRequestID, detail.RequestID)
	header.Set(HeaderOutcome, detail.Outcome)
	header.Set(headerContentType, contentTypeJSON)
	if detail.RetryAfterMS > 0 {
		header.Set(headerRetryAfter, strconv.FormatInt(ceilSeconds(detail.RetryAfterMS), 10))
	}
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: detail})
}

// ceilSeconds converts milliseconds to seconds, rounded up: Retry-After is in seconds.
func ceilSeconds(milliseconds int64) int64 {
	const second = int64(time.Second / time.Millisecond)
	return (milliseconds + second - 1) / second
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	request, _ := requestID(r)
	h.refuse(w, request, &httpbound.BodyError{
		Status:  http.StatusNotFound,
		Message: "no such path or method: " + r.Method + " " + truncate(r.URL.Path, maxEchoBytes),
	})
}

// maxEchoBytes is the maximum length of caller input repeated in an error message.
const maxEchoBytes = 100

// truncate cuts text to limit bytes and marks the cut.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return text[:limit] + "…"
}
