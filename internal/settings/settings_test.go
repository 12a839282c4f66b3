package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

type sample struct {
	Listen struct {
		Callers Address `yaml:"callers"`
	} `yaml:"listen"`
	Limits struct {
		Body Bytes    `yaml:"body"`
		Idle Duration `yaml:"idle"`
		Open int      `yaml:"open"`
	} `yaml:"limits"`
}

func (s *sample) Check(r *Report) {
	r.Listen("listen.callers", s.Listen.Callers)
	r.Positive("limits.open", int64(s.Limits.Open))
}

func TestParse(t *testing.T) {
	const text = "listen:\n  callers: 127.0.0.1:0\nlimits:\n  body: 64KiB\n  idle: 1.5s\n  open: 3\n"
	var got sample
	if err := Parse("a.yaml", []byte(text), &got); err != nil {
		t.Fatal(err)
	}
	if got.Limits.Body != 64<<10 || got.Limits.Idle.Std() != 1500*time.Millisecond {
		t.Fatalf("decoded %+v", got)
	}
}

func TestProblemFields(t *testing.T) {
	cases := []struct {
		name, text string
		line       int
		key, want  string
	}{
		{"unknown key", "listen:\n  caller: 127.0.0.1:0\n", 2, "listen.caller", "unknown field \"caller\"; accepted: one of callers"},
		{"unknown key at the top", "limit:\n  idle: 1s\n", 1, "limit", "unknown field \"limit\"; accepted: one of listen, limits"},
		{"missing unit of a duration", "limits:\n  idle: 5\n", 2, "limits.idle", "with a unit"},
		{"missing unit of a size", "limits:\n  body: 5\n", 2, "limits.body", "with a unit"},
		{"host name", "listen:\n  callers: entry:80\n", 2, "listen.callers", "not an IP number"},
		{"wrong type", "limits:\n  open: many\n", 2, "limits.open", "wrong type; accepted: a whole number"},
		{"overflow", "limits:\n  open: 99999999999999999999\n", 2, "limits.open", "overflow"},
		{"impossible value", "listen:\n  callers: 127.0.0.1:0\nlimits:\n  open: -1\n", 4, "limits.open", "not above zero"},
		{"absent key", "limits:\n  open: 1\n", 0, "listen.callers", "missing"},
		{"broken YAML", "limits: [\n", 1, "", "not found"},
		{"list for a value", "limits:\n  idle: [1s]\n", 2, "limits.idle", "expected one value"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got sample
			err := Parse("a.yaml", []byte(c.text), &got)
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("error is %v", err)
			}
			first := problems[0]
			if first.File != "a.yaml" || first.Line != c.line || first.Key != c.key {
				t.Errorf("problem at %s:%d %q, want a.yaml:%d %q", first.File, first.Line, first.Key, c.line, c.key)
			}
			if !strings.Contains(first.Error(), c.want) {
				t.Errorf("problem %q lacks %q", first, c.want)
			}
			if c.key != "" && first.Accepted == "" {
				t.Error("problem has no accepted values")
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("listen:\n  callers: 127.0.0.1:0\n"))
	f.Add([]byte("limits:\n  body: 1e300TiB\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got sample
		err := Parse("a.yaml", data, &got)
		if err == nil && got.Limits.Open <= 0 {
			t.Fatalf("accepted %q as %+v", data, got)
		}
	})
}

// A key file is missing, truncated or empty. The process must refuse to start with an
// error that names the setting, instead of running with a secret that is easy to
// guess.
func TestReadSecret(t *testing.T) {
	const least = 8
	cases := []struct {
		name, contents, want, problem string
	}{
		{"line end", "  12345678\n", "12345678", ""},
		{"short", "1234567 \n", "", "peer_key_file: FILE holds 7 bytes, at least 8 are needed"},
		{"empty", "", "", "peer_key_file: FILE holds 0 bytes, at least 8 are needed"},
	}
	for _, c := range cases {
		file := filepath.Join(t.TempDir(), "key")
		if err := os.WriteFile(file, []byte(c.contents), 0o600); err != nil {
			t.Fatal(err)
		}
		secret, err := ReadSecret("peer_key_file", file, least)
		if string(secret) != c.want || (err == nil) != (c.problem == "") {
			t.Errorf("%s: %q, %v", c.name, secret, err)
		}
		if want := strings.Replace(c.problem, "FILE", file, 1); err != nil && err.Error() != want {
			t.Errorf("%s: error %q, want %q", c.name, err, want)
		}
	}
	if _, err := ReadSecret("peer_key_file", filepath.Join(t.TempDir(), "none"), least); err == nil || !strings.HasPrefix(err.Error(), "peer_key_file: ") {
		t.Errorf("missing file: %v", err)
	}
}
