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

// encoding begins the line of a head that names the encoding of the body.
const encoding = "transfer-encoding:"

// Lines finds in the lines of a head what net/http drops: lines that continue the line before, which it adds
// to that line's value, and the encoding of an answer of HTTP/1.0, which it ignores.
type Lines struct {
	// line is the number of bytes of the current line, without carriage returns, and matched that of
	// those at its begin that match encoding.
	line, matched          int
	folded, encoded, ended bool
}

// Scan takes the next bytes of a connection, from the first of a head on.
func (l *Lines) Scan(bytes []byte) {
	for _, b := range bytes {
		switch {
		case l.ended:
			return
		case b == '\n':
			l.ended, l.line, l.matched = l.line == 0, 0, 0
		case b != '\r':
			l.folded = l.folded || l.line == 0 && (b == ' ' || b == '\t')
			if l.matched == l.line && l.matched < len(encoding) && lower(b) == encoding[l.matched] {
				l.matched++
				l.encoded = l.encoded || l.matched == len(encoding)
			}
			l.line++
		}
	}
}

func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// CheckFolds returns an *Error if the head holds a line that continues the line before.
func (l *Lines) CheckFolds() error {
	if l.folded {
		return &Error{"an answer with a header field in several lines"}
	}
	return nil
}

// CheckEncoding returns an *Error if resp is of HTTP/1.0, which has no encodings of bodies, and names one.
func (l *Lines) CheckEncoding(resp *http.Response) error {
	if l.encoded && !resp.ProtoAtLeast(1, 1) {
		return &Error{"an answer of HTTP/1.0 with a Transfer-Encoding"}
	}
	return nil
}
