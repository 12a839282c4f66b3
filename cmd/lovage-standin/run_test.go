package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/process"
	"github.com/lovagereach/lovagereach/internal/settings"
	"github.com/lovagereach/lovagereach/internal/standin"
)

func TestSettingsNameTheFault(t *testing.T) {
	example, err := os.ReadFile("../../examples/standin.yaml")
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct{ from, to, want string }{
		"example":        {"", "", ""},
		"name missing":   {"name: prompt-cellar", "name:", "stores[0].name: is missing"},
		"no models":      {"models: [{model: appraiser-llm, version: v1}]", "models: []", "engines[0].models: is missing"},
		"bytes unit":     {"link_bytes_per_second: 50MiB", "link_bytes_per_second: 50", "link_bytes_per_second"},
		"no data centre": {"data_centre: hall-north", "data_centre:", "engines[0].data_centre: is missing"},
		"no service":     {"    service: clock-app\n", "", "services[0].service: is missing"},
		"host name":      {"127.0.0.1:7301", "localhost:7301", "listen"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(string(example), c.from, c.to, 1)
			var s Settings
			err := settings.Parse("standin.yaml", []byte(text), &s)
			if c.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v lacks %q", err, c.want)
			}
		})
	}
}

// lockedBuffer is a buffer for the log of a running process that is safe for
// concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

var listening = regexp.MustCompile(`kind=service upstream=\S+ address=(\S+)`)

// A service may be killed after it has answered, and its runs must still be counted.
// Each run is therefore in the run log before its answer is sent.
func TestRunIsLoggedBeforeAnswer(t *testing.T) {
	file := filepath.Join(t.TempDir(), "runs")
	s := &Settings{RunLog: file, DataCentre: "hall-north", Services: []ServiceSettings{{
		Common:  Common{Name: "clock-1", Listen: address(t, "127.0.0.1:0")},
		Service: "clock",
	}}}
	var output lockedBuffer
	drain := make(chan struct{})
	runErr := make(chan error, 1)
	env := &process.Env{Log: log.NewWithOptions(&output, log.Options{Formatter: log.LogfmtFormatter}), Drain: drain, Stdout: io.Discard}
	go func() { runErr <- run(context.Background(), env, s) }()
	limit := time.Now().Add(20 * time.Second)
	for !listening.MatchString(output.String()) {
		if time.Now().After(limit) {
			t.Fatalf("service isn't listening after 20 s: %s", output.String())
		}
		time.Sleep(time.Millisecond)
	}
	base := "http://" + listening.FindStringSubmatch(output.String())[1]
	req, err := http.NewRequest(http.MethodPost, base+"/bids", strings.NewReader("7"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Lovage-Request-Id", strings.Repeat("ab", 16))
	req.Header.Set("Lovage-Attempt", "1")
	req.Header.Set("Idempotency-Key", "k1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var answer standin.ServiceAnswer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || answer.Run != 1 {
		t.Errorf("answer %+v, %v", answer, err)
	}
	if runs, err := os.ReadFile(file); err != nil || string(runs) != "key \"k1\"\n" {
		t.Errorf("run log %q, %v", runs, err)
	}
	close(drain)
	if err := <-runErr; err != nil {
		t.Error(err)
	}
}

func address(t *testing.T, text string) settings.Address {
	t.Helper()
	var a settings.Address
	if err := a.Set(text); err != nil {
		t.Fatal(err)
	}
	return a
}
