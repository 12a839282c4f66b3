// Package eventstream reads streams of server-sent events from upstreams. It checks that all bytes are
// those of events: what a consumer of the standard would ignore may be the rest of an event that was
// cut, or bytes of another answer.
package eventstream

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Errors of a stream. SyntaxError is one more.
var (
	// ErrTruncated reports a stream that ended inside an event.
	ErrTruncated = errors.New("the event stream ended within an event")
	// ErrTooLong reports an event over the reader's limit.
	ErrTooLong = errors.New("an event is too long")
)

// SyntaxError reports bytes that are no event.
type SyntaxError struct {
	Reason string
	// Line is the beginning of the line.
	Line []byte
}

// maxShown is the maximum number of bytes of a line in an error.
const maxShown = 24

func syntaxError(reason string, line []byte) error {
	return &SyntaxError{Reason: reason, Line: bytes.Clone(line[:min(len(line), maxShown)])}
}

// Error implements error.
func (e *SyntaxError) Error() string { return fmt.Sprintf("no event: %s: %q", e.Reason, e.Line) }

// Event is one event of a stream.
type Event struct {
	// Raw holds the event's bytes as they came, after those of comments and empty lines before it.
	Raw []byte
	// ID is the value of its id field, empty without one.
	ID string
	// Data holds the values of its data fields, joined by line feeds.
	Data []byte
}

// Fields that an event may have besides id and data.
const (
	fieldEvent = "event"
	fieldRetry = "retry"
)

// block is the state of the lines since the latest event.
type block struct {
	id, data   []byte
	hasID      bool
	hasData    bool
	hasEvent   bool
	hasFields  bool
	extraField string
}

func (b *block) reset() { *b = block{id: b.id[:0], data: b.data[:0], extraField: b.extraField} }

// add adds a line with its line end. It reports whether the line ends an event.
func (b *block) add(raw []byte) (ends bool, err error) {
	line := bytes.TrimSuffix(bytes.TrimSuffix(raw, []byte("\n")), []byte("\r"))
	switch {
	case len(line) == 0:
		return b.end()
	case bytes.IndexByte(line, 0) >= 0:
		return false, syntaxError("a line with a zero byte", line)
	case bytes.IndexByte(line, '\r') >= 0:
		// Consumers of the standard end a line there.
		return false, syntaxError("a line with a carriage return", line)
	case !utf8.Valid(line):
		return false, syntaxError("a line that is not UTF-8", line)
	case line[0] == ':':
		return false, nil
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return false, syntaxError("a line without a field", line)
	}
	return false, b.addField(string(name), bytes.TrimPrefix(value, []byte(" ")), line)
}

func (b *block) addField(name string, value, line []byte) error {
	first := !b.hasFields
	switch {
	case name == "data":
		if b.hasData {
			b.data = append(b.data, '\n')
		}
		b.data, b.hasData = append(b.data, value...), true
	case name == "id" && !b.hasID:
		b.id, b.hasID = append(b.id, value...), true
	case name == fieldEvent && !b.hasEvent:
		b.hasEvent = true
	case name == fieldRetry && isNumber(value):
		// It states nothing about an event.
		return nil
	case name == b.extraField && name != "" && first && isNumber(value):
	case name == "id" || name == fieldEvent || name == fieldRetry || name == b.extraField:
		return syntaxError("a field twice, or with an invalid value", line)
	default:
		return syntaxError("a field that no event has", line)
	}
	b.hasFields = true
	return nil
}

// end handles an empty line.
func (b *block) end() (bool, error) {
	switch {
	case b.hasData:
		return true, nil
	case b.hasFields:
		return false, syntaxError("an event without data", nil)
	}
	return false, nil
}

func isNumber(text []byte) bool {
	_, err := strconv.ParseUint(string(text), 10, 64)
	return err == nil
}

// ParseID returns the number that an ID states. Only the shortest decimal form counts.
func ParseID(id string) (number uint64, valid bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil && strconv.FormatUint(number, 10) == id
}
