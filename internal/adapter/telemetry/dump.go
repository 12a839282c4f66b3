package telemetry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/lovagereach/lovagereach/internal/wire"
)

// Secret is a string that is redacted in dumps and logs: only its presence is shown.
type Secret string

// RedactedText replaces a secret in dumps and logs.
const RedactedText = "[redacted]"

// redacted returns RedactedText, or an empty string for an empty secret.
func (s Secret) redacted() string {
	if s == "" {
		return ""
	}
	return RedactedText
}

// String implements fmt.Stringer, so that the secret is redacted in logs too.
func (s Secret) String() string { return s.redacted() }

// GoString implements fmt.GoStringer for the %#v verb.
func (s Secret) GoString() string { return s.redacted() }

// MarshalJSON implements json.Marshaler.
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(s.redacted()) }

// MarshalCBOR implements cbor.Marshaler.
func (s Secret) MarshalCBOR() ([]byte, error) { return wire.Marshal(s.redacted()) }

// Registry holds the functions that return the parts of a process's dump. It is safe for
// concurrent use.
type Registry struct {
	mu    sync.Mutex
	parts map[string]func() any
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{parts: make(map[string]func() any)}
}

// Register adds a part. The dump function must return a value that can be encoded as JSON
// and CBOR and shares no memory with state that changes concurrently. Register panics if
// the name is already registered.
func (r *Registry) Register(name string, dump func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, exists := r.parts[name]; exists {
		panic(fmt.Sprintf("telemetry: dump part %q registered twice", name))
	}
	r.parts[name] = dump
}

// Collect returns all parts by name.
func (r *Registry) Collect() map[string]any {
	r.mu.Lock()
	parts := make(map[string]func() any, len(r.parts))
	for name, dump := range r.parts {
		parts[name] = dump
	}
	r.mu.Unlock()
	all := make(map[string]any, len(parts))
	for name, dump := range parts {
		all[name] = dump()
	}
	return all
}

const (
	typeJSON = "application/json"
	typeCBOR = "application/cbor"
)

// ServeHTTP sends the dump as JSON, or as CBOR if the Accept header or the query
// format=cbor requests it.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	asCBOR := req.URL.Query().Get("format") == "cbor" || strings.Contains(req.Header.Get("Accept"), typeCBOR)
	encode, contentType := marshalIndented, typeJSON
	if asCBOR {
		encode, contentType = wire.Marshal, typeCBOR
	}
	body, err := encode(r.Collect())
	if err != nil {
		writeText(w, http.StatusInternalServerError, "dump: "+err.Error())
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(body)
}

func marshalIndented(v any) ([]byte, error) { return json.MarshalIndent(v, "", "  ") }
