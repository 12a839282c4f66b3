package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/lovagereach/lovagereach/internal/process"
)

// check runs lovage-entry -check on a copy of the example in which old is replaced
// by new, and returns the exit code and the output.
func check(t *testing.T, old, new string) (int, string) {
	t.Helper()
	// Paths in the examples are relative to the root of the repository.
	t.Chdir("../..")
	data, err := os.ReadFile("examples/entry.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(data), old) {
		t.Fatalf("the example lacks %q", old)
	}
	file := filepath.Join(t.TempDir(), "entry.yaml")
	if err := os.WriteFile(file, []byte(strings.Replace(string(data), old, new, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	code := process.Execute(spec(), []string{"-config", file, "-check"}, &output, &output)
	return code, output.String()
}

func TestSettings(t *testing.T) {
	cases := map[string]struct {
		old, new string
		code     int
		want     string
	}{
		"example":           {"host: entry-1", "host: entry-1", process.ExitOK, "valid"},
		"unknown key":       {"cluster: example", "clutser: example", process.ExitUsage, "clutser"},
		"no unit":           {"token_gap: 30s", "token_gap: 30", process.ExitUsage, "token_gap"},
		"name for address":  {"127.0.0.1:7101", "localhost:7101", process.ExitUsage, "callers"},
		"no control hosts":  {"control:\n  - {host: control-1, peer: 127.0.0.1:7410}", "control: []", process.ExitUsage, "control"},
		"host listed twice": {"peer: 127.0.0.1:7410}", "peer: 127.0.0.1:7410}\n  - {host: control-1, peer: 127.0.0.1:7411}", process.ExitUsage, "listed twice"},
		"zero limit":        {"open_requests: 8192", "open_requests: 0", process.ExitUsage, "open_requests"},
		"short drain":       {"drain_timeout: 10m", "drain_timeout: 5s", process.ExitUsage, "drain_timeout"},
		"no block key":      {"block_key_file: ./examples/block.key", "block_key_file: ./no/such", process.ExitUsage, "entry.yaml:14: block_key_file: "},
		"short peer key":    {"peer_key_file: ./examples/peer.key", "peer_key_file: ./examples/operator.token", process.ExitUsage, "of at least 32 bytes"},
		"address twice":     {"announce: 127.0.0.1:7102", "announce: 127.0.0.1:7101", process.ExitUsage, "the address of listen.callers too"},
		"two kinds of key":  {"peer_key_file: ./examples/peer.key", "peer_key_file: k\npeer_tls: {certificate: c, key: k, authority: a}", process.ExitUsage, "exactly one"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			code, output := check(t, test.old, test.new)
			if code != test.code || !strings.Contains(output, test.want) {
				t.Fatalf("code %d, output %q; want %d with %q", code, output, test.code, test.want)
			}
		})
	}
}

func TestExamplesForThreeHosts(t *testing.T) {
	t.Chdir("../..")
	for _, name := range []string{"entry-1", "entry-2"} {
		var output bytes.Buffer
		file := filepath.Join("examples", "three-hosts", name+".yaml")
		if code := process.Execute(spec(), []string{"-config", file, "-check"}, &output, &output); code != process.ExitOK {
			t.Errorf("%s: exit %d: %s", file, code, &output)
		}
	}
}
