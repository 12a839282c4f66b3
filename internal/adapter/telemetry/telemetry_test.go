package telemetry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/wire"
)

type samplePart struct {
	Open  int    `json:"open" cbor:"open"`
	Token Secret `json:"token" cbor:"token"`
}

func get(t *testing.T, opts Options, path string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	Handler(opts).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}

func TestDumpRedactsSecretsInBothEncodings(t *testing.T) {
	registry := NewRegistry()
	registry.Register("entry", func() any { return samplePart{Open: 3, Token: "hunter2"} })
	for _, path := range []string{"/debug/dump", "/debug/dump?format=cbor"} {
		body := get(t, Options{Dump: registry}, path).Body.String()
		if strings.Contains(body, "hunter2") || !strings.Contains(body, RedactedText) {
			t.Errorf("%s: secret not redacted in %q", path, body)
		}
	}
	var decoded map[string]samplePart
	body := get(t, Options{Dump: registry}, "/debug/dump?format=cbor").Body.Bytes()
	if err := wire.Unmarshal(body, &decoded); err != nil || decoded["entry"].Open != 3 {
		t.Errorf("decode CBOR dump: got %+v, %v", decoded, err)
	}
}

func TestReadyReportsReason(t *testing.T) {
	opts := Options{Ready: func() error { return errors.New("no serving lease") }}
	answer := get(t, opts, "/readyz")
	if answer.Code != http.StatusServiceUnavailable || !strings.Contains(answer.Body.String(), "no serving lease") {
		t.Errorf("answer %d %q", answer.Code, answer.Body)
	}
	if code := get(t, opts, "/healthz").Code; code != http.StatusOK {
		t.Errorf("/healthz of a process that is not ready: got %d, want 200", code)
	}
}

// Guards against a process that ends past its time to stop, since connections without a request are open to
// its listener for metrics: they are waited for after everything else has stopped.
func TestOpenConnectionsDoNotDelayTheEnd(t *testing.T) {
	server, err := Listen(Options{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	for _, sent := range []string{"", "GET /met"} {
		c, err := net.Dial("tcp", server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte(sent)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > 700*time.Millisecond {
		t.Errorf("the server ended after %v; a process that stops has 0.7 s left for it", took)
	}
}
