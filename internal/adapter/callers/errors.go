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

// errorBody is the usual JSON error shape with the outcome added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
	// Outcome tells whether the request ran; see outcome.Kind.
	Outcome      string `json:"outcome"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// The types of error that callers' libraries know.
const (
	typeInvalid  = "invalid_request_error"
	typeAuth     = "authentication_error"
	typeRate     = "rate_limit_error"
	typeConflict = "conflict_error"
	typeServer   = "server_error"
)

// reasonStatus gives status and type of the reasons that have their own.
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
	// No promise that it has not run; callers repeat nothing after this status.
	outcome.ReasonCrashesUpstreams: {http.StatusBadRequest, typeInvalid},
	outcome.ReasonTimeout:          {http.StatusGatewayTimeout, typeServer},
	outcome.ReasonDeadline:         {http.StatusServiceUnavailable, typeServer},
}

// describe turns an error into a status and the body's detail.
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
		// Nothing of a request that was not understood has been sent on.
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
		// The text of an unclassified error may name addresses; it goes to
		// the log, not to the caller.
		detail.Code, detail.Message = "internal", "the request's outcome is not known"
		return http.StatusBadGateway, detail
	}
}

func statusOf(reason outcome.Reason, usual int, detail *errorDetail) int {
	if known, ok := reasonStatus[reason]; ok {
		detail.Type = known.kind
		return known.status
	}
	return usual
}

func failedStatus(failed *outcome.Failed) int {
	if failed.Status >= http.StatusBadRequest && failed.Status <= 599 {
		return failed.Status
	}
	return http.StatusBadGateway
}

// refuse answers with an error before anything else was written.
func (h *Handler) refuse(w http.ResponseWriter, request ident.Request, err error) {
	h.metrics.refused.Inc()
	status, detail := describe(err, request)
	writeError(w, status, detail)
}

// WriteError answers with an error in the shape of this listener, for handlers
// that stand before it and have sent nothing yet. A status of zero means the
// one that belongs to err.
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
		header.Set(headerRetryAfter, strconv.FormatInt(wholeSeconds(detail.RetryAfterMS), 10))
	}
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: detail})
}

// wholeSeconds rounds up, as Retry-After has no smaller unit.
func wholeSeconds(milliseconds int64) int64 {
	const second = int64(time.Second / time.Millisecond)
	return (milliseconds + second - 1) / second
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	request, _ := requestID(r)
	h.refuse(w, request, &httpbound.BodyError{
		Status:  http.StatusNotFound,
		Message: "no such path or method: " + r.Method + " " + limited(r.URL.Path, maxNameEcho),
	})
}

// maxNameEcho bounds how much of a caller's own text an error repeats.
const maxNameEcho = 100

func limited(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return text[:limit] + "…"
}
