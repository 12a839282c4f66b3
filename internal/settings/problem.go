package settings

import (
	"fmt"
	"strings"
)

// Problem is one fault in a settings file.
type Problem struct {
	File string
	// Line is the line number from one, or zero if the key is absent.
	Line int
	// Key is the path of the setting, separated by dots.
	Key    string
	Reason string
	// Accepted describes the valid values.
	Accepted string
}

// Error implements error.
func (p *Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, ": %s", p.Key)
	}
	fmt.Fprintf(&b, ": %s", p.Reason)
	if p.Accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", p.Accepted)
	}
	return b.String()
}

// Problems are all faults found in one file.
type Problems []*Problem

// Error implements error with one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
