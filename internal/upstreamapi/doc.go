// Package upstreamapi is the HTTP interface between the system and its
// upstreams: paths, headers and JSON bodies of engines, store hosts and plain
// services, and of the announcement listener. docs/UPSTREAMS.md documents it.
// The size of all input is bounded.
package upstreamapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Paths of an engine.
const (
	PathCompletions = "/v1/completions"
	PathImport      = "/v1/kv/import"
	PathExport      = "/v1/kv/export"
	PathOrders      = "/v1/orders"
	PathState       = "/v1/state"
)

// PathBlocks is the path of the list of blocks of an engine or a store host.
const PathBlocks = "/v1/kv/blocks"

// Paths of a store host. A slot's content is at PathSlots plus its name.
const (
	PathReserve = "/v1/store/reserve"
	PathCommit  = "/v1/store/commit"
	PathStat    = "/v1/store/stat"
	PathFree    = "/v1/store/free"
	PathStatus  = "/v1/store/status"
	PathSlots   = "/v1/store/slots/"
)

// Headers in addition to those of package httpsend, which identify an attempt.
const (
	// HeaderIdempotencyKey is the caller's idempotency key, sent to plain services.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderGeneration and HeaderChecksum describe a slot's content.
	HeaderGeneration = "Lovage-Slot-Generation"
	HeaderChecksum   = "Lovage-Slot-Checksum"
)

// Bounds on input in bytes.
const (
	// MaxAnswerBytes bounds a JSON answer other than a snapshot.
	MaxAnswerBytes = 4 << 20
	// MaxSnapshotBytes bounds a snapshot of blocks.
	MaxSnapshotBytes = 64 << 20
	// MaxErrorBytes bounds the body of an error answer.
	MaxErrorBytes = 64 << 10
	// MaxEventBytes bounds one server-sent event and each of its lines.
	MaxEventBytes = 256 << 10
	// MaxRequestBytes bounds a request to an upstream.
	MaxRequestBytes = 32 << 20
)

// ErrTooLong reports input that exceeds its bound.
var ErrTooLong = errors.New("input is longer than its bound")

// ReadBounded reads all of r and fails with ErrTooLong beyond limit bytes.
func ReadBounded(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLong, limit)
	}
	return data, nil
}

// DecodeBounded reads exactly one JSON value of at most limit bytes.
func DecodeBounded(r io.Reader, limit int64, v any) error {
	data, err := ReadBounded(r, limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// ErrorBody is the JSON body of an error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an error answer or error event.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code,omitempty"`
}

// WriteJSON writes an answer with v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // a failed write means that the peer has disconnected
}

// WriteError writes an answer with an ErrorBody.
func WriteError(w http.ResponseWriter, status int, kind, message string) {
	WriteJSON(w, status, ErrorBody{Error: ErrorDetail{Message: message, Type: kind}})
}
