package entryhost

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/prefix"
)

// testHost runs an entry whose only control host never answers.
func testHost(t *testing.T, peerKey []byte, blockKey prefix.Key) (host *Host, drain chan struct{}, ended chan error) {
	t.Helper()
	silent := benchListener(t)
	t.Cleanup(func() { _ = silent.Close() })
	host, err := New(Options{
		Host: "entry-1", DataCentre: "hall-north", Cluster: "test",
		Listeners: Listeners{Callers: benchListener(t), Announce: benchListener(t), Peer: benchListener(t)},
		Operators: "127.0.0.1:0",
		Control:   map[ident.Host]string{"control-1": silent.Addr().String()},
		PeerKey:   peerKey,
		BlockKey:  blockKey,
		Log:       log.New(io.Discard),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	drain, ended = make(chan struct{}), make(chan error, 1)
	go func() { ended <- host.Run(ctx, drain) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return host, drain, ended
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// The operators' dump must contain the whole state and no secret, and must not
// be served at the callers' address.
func TestDumpIsCompleteWithoutSecrets(t *testing.T) {
	peerKey := []byte("the-peer-key-that-nobody-may-see")
	blockKey := prefix.Key([]byte("the-block-key-nobody-may-see-now"))
	host, _, _ := testHost(t, peerKey, blockKey)
	for _, format := range []string{"json", "cbor"} {
		status, body := get(t, "http://"+host.Operators()+"/debug/dump?format="+format)
		if status != http.StatusOK {
			t.Fatalf("%s: status %d: %s", format, status, body)
		}
		if format == "cbor" {
			var decoded map[string]any
			if err := wire.Unmarshal([]byte(body), &decoded); err != nil {
				t.Errorf("cbor: %v", err)
			}
		}
		for _, part := range []string{"entry", "control", "audit", "upstreams", "pools", "kept", "registry", "in_flight"} {
			if !strings.Contains(body, part) {
				t.Errorf("%s: the dump lacks %q", format, part)
			}
		}
		for _, secret := range [][]byte{peerKey, blockKey[:]} {
			if strings.Contains(body, string(secret)) || strings.Contains(body, hex.EncodeToString(secret)) {
				t.Errorf("%s: the dump contains a secret", format)
			}
		}
	}
	if status, body := get(t, "http://"+host.Operators()+"/v1/audit?open=true"); status != http.StatusOK || !strings.Contains(body, "records") {
		t.Errorf("audit: %d %s", status, body)
	}
	if status, body := get(t, "http://"+host.Operators()+"/metrics"); status != http.StatusOK || !strings.Contains(body, "lovagereach_entry_outcomes_total") {
		t.Errorf("metrics: %d", status)
	}
	for _, path := range []string{"/debug/dump", "/metrics", "/debug/pprof/", "/v1/audit"} {
		if status, _ := get(t, "http://"+host.Callers()+path); status != http.StatusNotFound {
			t.Errorf("callers get %d for %s", status, path)
		}
	}
}

// No control host answers, so the entry has no serving lease. It must report
// that it is alive but not ready, and that a request was not run.
func TestEntryWithoutControlIsNotReady(t *testing.T) {
	host, _, _ := testHost(t, []byte("a-peer-key-of-thirty-two-bytes-x"), prefix.Key{})
	if status, _ := get(t, "http://"+host.Callers()+"/healthz"); status != http.StatusOK {
		t.Errorf("healthz: %d", status)
	}
	for _, address := range []string{host.Callers(), host.Operators()} {
		if status, body := get(t, "http://"+address+"/readyz"); status != http.StatusServiceUnavailable || !strings.Contains(body, "lease") {
			t.Errorf("readyz at %s: %d %s", address, status, body)
		}
	}
	if status, body := get(t, "http://"+host.Callers()+"/v1/address"); status != http.StatusUnauthorized {
		t.Errorf("address: %d %s", status, body)
	}
	for _, path := range []string{"/v1/address", "/v1/batches/night-1"} {
		request, err := http.NewRequest(http.MethodGet, "http://"+host.Callers()+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer perhaps-valid")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" ||
			response.Header.Get("Lovage-Outcome") != "not-run" || !strings.Contains(string(body), `"code":"no-serving-lease"`) {
			t.Errorf("%s: %d %s", path, response.StatusCode, body)
		}
	}
}
