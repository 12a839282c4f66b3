package operators

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/httpbound"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// decode decodes a JSON or CBOR body and rejects unknown JSON fields.
func decode(w http.ResponseWriter, r *http.Request, into any) error {
	data, err := httpbound.ReadBody(w, r, MaxBody)
	if err != nil {
		return err
	}
	if strings.HasPrefix(r.Header.Get("Content-Type"), api.TypeCBOR) {
		return wire.Unmarshal(data, into)
	}
	return httpbound.DecodeJSON(data, into, false)
}

// answer sends value as JSON, or as CBOR if the Accept header contains it.
func (s *server) answer(w http.ResponseWriter, r *http.Request, status int, value any) {
	contentType, encode := api.TypeJSON, json.Marshal
	if strings.Contains(r.Header.Get("Accept"), api.TypeCBOR) {
		contentType, encode = api.TypeCBOR, wire.Marshal
	}
	data, err := encode(value)
	if err != nil {
		s.opts.Log.Error("cannot encode answer", "path", r.URL.Path, "err", err)
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// A write fails only if the operator has disconnected; a change is committed anyway.
	_, _ = w.Write(data)
}

// fail logs a failure and sends it.
func (s *server) fail(w http.ResponseWriter, r *http.Request, status int, failure *api.Error) {
	s.opts.Log.Info("operator refused", "path", r.URL.Path, "operator", operatorOf(r), "code", failure.Code, "err", failure.Message)
	s.answer(w, r, status, failure)
}
