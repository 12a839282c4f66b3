package upstreamapi

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// ErrTruncated reports a stream that ended inside an event or before EndOfStream.
var ErrTruncated = errors.New("event stream ended early")

// EventReader reads the data of server-sent events. Lines and events are
// bounded by MaxEventBytes.
type EventReader struct {
	lines *bufio.Reader
	line  []byte
	data  []byte
}

// eventBuffer is the size in bytes of a stream's read buffer, in which most events fit.
const eventBuffer = 2 << 10

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{lines: bufio.NewReaderSize(r, eventBuffer)}
}

// Next returns the data of the next event, valid until the next call. It
// returns io.EOF when the stream ends between events and ErrTruncated when it
// ends inside one. Event names, ids and comments are ignored.
func (e *EventReader) Next() ([]byte, error) {
	e.data = e.data[:0]
	hasData := false
	for {
		line, err := e.readLine()
		if err != nil {
			if err == io.EOF && (hasData || len(line) > 0) {
				return nil, ErrTruncated
			}
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return e.data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		if hasData {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		hasData = true
		if len(e.data) > MaxEventBytes {
			return nil, fmt.Errorf("event: %w of %d bytes", ErrTooLong, MaxEventBytes)
		}
	}
}

// readLine returns a line without its line end. With io.EOF it returns the bytes after
// the last line end.
func (e *EventReader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.lines.ReadSlice('\n')
		if err == nil && len(e.line) == 0 {
			return trimLine(part), nil
		}
		e.line = append(e.line, part...)
		if len(e.line) > MaxEventBytes {
			return nil, fmt.Errorf("line: %w of %d bytes", ErrTooLong, MaxEventBytes)
		}
		if err == nil {
			return trimLine(e.line), nil
		}
		if err != bufio.ErrBufferFull {
			return e.line, err
		}
	}
}

func trimLine(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// EventStart and EventEnd enclose the data of an event of one line.
const (
	EventStart = "data: "
	EventEnd   = "\n\n"
)

// AppendEvent appends one event to buf.
func AppendEvent(buf, data []byte) []byte {
	buf = append(buf, EventStart...)
	buf = append(buf, data...)
	return append(buf, EventEnd...)
}
