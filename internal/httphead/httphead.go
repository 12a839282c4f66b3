// Package httphead checks heads of HTTP answers that net/http accepts though they are none.
package httphead

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	minStatus = 100
	maxStatus = 599
)

// Error is the reason why a head is none of an answer.
type Error struct{ reason string }

// Error implements error.
func (e *Error) Error() string { return e.reason }

// Check returns an *Error if the head of resp is none of an HTTP answer to a request that asked for no other
// protocol. net/http keeps fields whose names hold blanks, under those names: a length or an encoding among them
// would be ignored, and the body be taken for another one.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &Error{fmt.Sprintf("an answer of version %q", resp.Proto)}
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols {
		return &Error{fmt.Sprintf("an answer with status %03d", resp.StatusCode)}
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &Error{fmt.Sprintf("an answer with a header field named %q", name)}
		}
	}
	return nil
}

// Folds finds lines of a head that continue the line before. net/http adds them to that line's value.
type Folds struct {
	// line is the number of bytes of the current line, without carriage returns.
	line         int
	found, ended bool
}

// Scan takes the next bytes of a connection, from the first of a head on.
func (f *Folds) Scan(bytes []byte) {
	for _, b := range bytes {
		switch {
		case f.ended:
			return
		case b == '\n':
			f.ended, f.line = f.line == 0, 0
		case b != '\r':
			f.found = f.found || f.line == 0 && (b == ' ' || b == '\t')
			f.line++
		}
	}
}

// Check returns an *Error if the head holds such a line.
func (f *Folds) Check() error {
	if f.found {
		return &Error{"an answer with a header field in several lines"}
	}
	return nil
}
