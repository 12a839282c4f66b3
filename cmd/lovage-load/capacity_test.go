package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/lovagereach/lovagereach/internal/process"
)

func TestCapacityPrintsSelectedRows(t *testing.T) {
	var out, log bytes.Buffer
	if code := capacityCommand([]string{"-only", "message for a change"}, &out, &log); code != process.ExitOK {
		t.Fatalf("exit %d: %s", code, log.String())
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 || !strings.Contains(lines[2], "27000") {
		t.Errorf("printed\n%s", out.String())
	}
}

// A -only text that matches no probe is refused instead of printing a table without
// rows.
func TestCapacityRefusesUnknownProbe(t *testing.T) {
	var out, log bytes.Buffer
	if code := capacityCommand([]string{"-only", "no such probe"}, &out, &log); code != process.ExitUsage {
		t.Errorf("exit %d, printed %q", code, out.String())
	}
}
