package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/lovagereach/lovagereach/internal/configdoc"
	"github.com/lovagereach/lovagereach/internal/process"
)

const examples = "examples/"

func TestSettings(t *testing.T) {
	// Paths in the examples are relative to the root of the repository.
	t.Chdir("../..")
	data, err := os.ReadFile(examples + "control.yaml")
	if err != nil {
		t.Fatal(err)
	}
	example := string(data)
	cases := []struct {
		name, old, new string
		code           int
		want           string
	}{
		{"example", "", "", process.ExitOK, "settings are valid"},
		{"not in its own list", "host: control-1\ndata", "host: control-9\ndata", process.ExitUsage, "doesn't list this host"},
		{"even number", "operators:\n  #", "  - {host: control-2, peer: 127.0.0.1:7411}\noperators:\n  #", process.ExitUsage, "an odd number"},
		{"no secret", "peer_key_file: ./examples/peer.key", "", process.ExitUsage, "exactly one of peer_key_file and peer_tls"},
		{"host name for an address", "peer: 127.0.0.1:7410\n", "peer: control-1:7410\n", process.ExitUsage, "not an IP number"},
		{"no such secret", "./examples/peer.key", "./no/such", process.ExitUsage, "control.yaml:17: peer_key_file: "},
		{"broken digest", "token_digest: e2", "token_digest: zz", process.ExitUsage, "control.yaml:15: operators[0].token_digest: not the 64"},
		{"negative time", "ledger_groups: 4", "stop_timeout: -5s", process.ExitUsage, "stop_timeout: is negative"},
		{"address twice", "operators: 127.0.0.1:7420", "operators: 127.0.0.1:7410", process.ExitUsage, "the address of listen.peer too"},
		{"no operators", "operators:\n  # ", "operators: []\nother:\n  # ", process.ExitUsage, "other"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(example, c.old, c.new, 1)
			file := filepath.Join(t.TempDir(), "control.yaml")
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			var output bytes.Buffer
			code := process.Execute(spec(), []string{"-config", file, "-check"}, &output, &output)
			if code != c.code || !strings.Contains(output.String(), c.want) {
				t.Errorf("exit %d, want %d with %q in %s", code, c.code, c.want, output.String())
			}
		})
	}
}

func TestExampleConfiguration(t *testing.T) {
	t.Chdir("../..")
	data, err := os.ReadFile(examples + "config.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := configdoc.Parse("config.yaml", data); err != nil {
		t.Error(err)
	}
}

func TestExamplesForThreeHosts(t *testing.T) {
	t.Chdir("../..")
	for _, name := range []string{"control-1", "control-2", "control-3"} {
		var output bytes.Buffer
		file := filepath.Join(examples, "three-hosts", name+".yaml")
		if code := process.Execute(spec(), []string{"-config", file, "-check"}, &output, &output); code != process.ExitOK {
			t.Errorf("%s: exit %d: %s", file, code, &output)
		}
	}
}
