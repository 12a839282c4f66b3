package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestPolicyCommandRefuses(t *testing.T) {
	tests := []struct {
		args     []string
		code     int
		wantText string
	}{
		{[]string{"-nope"}, 2, "flag provided but not defined"},
		{[]string{"-workload", "nowhere"}, 1, `unknown workload "nowhere"`},
		{[]string{"-workload", "adomako", "-faults", "quiet", "-policy", "chance"}, 1, `unknown policy "chance"`},
	}
	for _, tt := range tests {
		t.Run(strings.Join(tt.args, " "), func(t *testing.T) {
			var out, errs bytes.Buffer
			if code := policyCommand(tt.args, &out, &errs); code != tt.code {
				t.Errorf("exit code %d, want %d", code, tt.code)
			}
			if !strings.Contains(errs.String(), tt.wantText) {
				t.Errorf("standard error is %q, want %q in it", errs.String(), tt.wantText)
			}
		})
	}
}
