package process

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/lovagereach/lovagereach/internal/settings"
)

type sample struct {
	Idle settings.Duration `yaml:"idle"`
	Open int               `yaml:"open"`
}

func (s *sample) Check(r *settings.Report) { r.Positive("open", int64(s.Open)) }

func sampleSpec(run func(*sample)) Spec[sample] {
	return Spec[sample]{
		Name:     "lovage-sample",
		Summary:  "a sample",
		Examples: []string{"lovage-sample -open 3"},
		Defaults: func() *sample { return &sample{Open: 1} },
		Flags:    func(f *flag.FlagSet, s *sample) { f.IntVar(&s.Open, "open", s.Open, "open streams") },
		Run: func(_ context.Context, env *Env, s *sample) error {
			run(s)
			env.Log.Info("ran", "open", s.Open)
			return nil
		},
	}
}

func TestExecute(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.yaml")
	if err := os.WriteFile(file, []byte("idle: 2s\nopen: 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		args   []string
		code   int
		open   int // value of Open in Run; zero if Run must not be called
		output string
	}{
		{"defaults", nil, ExitOK, 1, "msg=ran open=1"},
		{"file", []string{"-config", file}, ExitOK, 5, "open=5"},
		{"flag overrides file", []string{"-config", file, "-open", "7"}, ExitOK, 7, "open=7"},
		{"flag is checked too", []string{"-config", file, "-open", "-7"}, ExitUsage, 0, "open: -7 is not above zero"},
		{"check only", []string{"-config", file, "-check"}, ExitOK, 0, "settings are valid"},
		{"absent file", []string{"-config", file + "x"}, ExitUsage, 0, "can't be read"},
		{"unknown flag", []string{"-nope"}, ExitUsage, 0, "not defined"},
		{"stray argument", []string{"stray"}, ExitUsage, 0, "unexpected argument"},
		{"help", []string{"-help"}, ExitOK, 0, "lovage-sample -open 3"},
		{"version", []string{"-version"}, ExitOK, 0, "lovage-sample"},
		{"bad level", []string{"-log-level", "loud"}, ExitUsage, 0, "accepted: debug"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			open := 0
			var output bytes.Buffer
			code := Execute(sampleSpec(func(s *sample) { open = s.Open }), c.args, &output, &output)
			if code != c.code || open != c.open {
				t.Errorf("code %d, open %d; want %d, %d", code, open, c.code, c.open)
			}
			if !strings.Contains(output.String(), c.output) {
				t.Errorf("output %q lacks %q", output.String(), c.output)
			}
		})
	}
}
