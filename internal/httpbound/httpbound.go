// Package httpbound reads the bodies of HTTP requests within bounds. Each
// listener of the system uses it, so that a hostile body takes the same bounded
// amount of memory and results in the same error at all of them.
package httpbound

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/lovagereach/lovagereach/internal/ingress"
)

// MaxJSONDepth is the maximum nesting depth of objects and arrays in a body.
const MaxJSONDepth = 16

// BodyError is the reason why a body was not accepted.
type BodyError struct {
	// Status is the HTTP status to answer with.
	Status int
	// Field is the faulty JSON field, empty if the fault concerns the entire body.
	Field   string
	Message string
}

// Error implements error.
func (e *BodyError) Error() string {
	if e.Field == "" {
		return e.Message
	}
	return e.Field + ": " + e.Message
}

// ReadBody reads the complete body of r. A body of more than limit bytes is a
// BodyError, as is one for which there is no memory; it may be sent again.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	body, err := ingress.ReadBody(r.Context(), http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if errors.Is(err, ingress.ErrMemory) {
		w.Header().Set("Retry-After", memoryRetryAfter)
		return nil, &BodyError{Status: http.StatusServiceUnavailable, Message: err.Error()}
	}
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, tooLarge(limit)
	}
	if err != nil {
		return nil, &BodyError{Status: http.StatusBadRequest, Message: "the body ended early: " + err.Error()}
	}
	return body, nil
}

// memoryRetryAfter is the Retry-After value of requests refused for lack of memory, in seconds.
const memoryRetryAfter = "1"

func tooLarge(limit int64) error {
	return &BodyError{
		Status:  http.StatusRequestEntityTooLarge,
		Message: fmt.Sprintf("the body is larger than %d bytes", limit),
	}
}

// DecodeJSON decodes exactly one JSON value into v. Unknown fields are
// accepted if lenient is set, since callers' libraries send additional fields.
func DecodeJSON(body []byte, v any, lenient bool) error {
	if depth(body) > MaxJSONDepth {
		return &BodyError{
			Status:  http.StatusBadRequest,
			Message: fmt.Sprintf("JSON nested deeper than %d", MaxJSONDepth),
		}
	}
	if lenient {
		return decodeLenient(body, v)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return jsonError(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &BodyError{Status: http.StatusBadRequest, Message: "bytes follow the JSON value"}
	}
	return nil
}

// decodeLenient decodes one JSON value with json.Unmarshal, which doesn't copy the body
// as a json.Decoder does.
func decodeLenient(body []byte, v any) error {
	err := json.Unmarshal(body, v)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && syntax.Offset >= int64(len(body)) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return jsonError(err)
	}
	return nil
}

func jsonError(err error) error {
	bad := &BodyError{Status: http.StatusBadRequest, Message: err.Error()}
	var mistyped *json.UnmarshalTypeError
	if errors.As(err, &mistyped) {
		bad.Field = mistyped.Field
		bad.Message = fmt.Sprintf("a %s can't be a %s", mistyped.Value, mistyped.Type)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		bad.Message = "the JSON value is cut off or missing"
	}
	bad.Message = strings.TrimPrefix(bad.Message, "json: ")
	return bad
}

// depth returns the maximum nesting depth of brackets outside strings.
func depth(body []byte) int {
	deepest, current := 0, 0
	inString, escaped := false, false
	for _, char := range body {
		switch {
		case escaped:
			escaped = false
		case inString && char == '\\':
			escaped = true
		case char == '"':
			inString = !inString
		case inString:
		case char == '{' || char == '[':
			current++
			deepest = max(deepest, current)
		case char == '}' || char == ']':
			current--
		}
	}
	return deepest
}
