package upstreamapi

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

// readEvents returns the data of all events and the error that ended the stream.
func readEvents(r io.Reader) ([]string, error) {
	reader := NewEventReader(r)
	var events []string
	for {
		data, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(data))
	}
}

// A stream may break at any byte. Only an end between two events is regular: if the
// reader reported io.EOF inside an event, missing tokens would go unnoticed.
func TestEventReader(t *testing.T) {
	long := strings.Repeat("x", 3*eventBuffer)
	tooLong := strings.Repeat("x", MaxEventBytes+1)
	cases := map[string]struct {
		in   string
		want []string
		err  error
	}{
		"empty":                {"", nil, io.EOF},
		"two":                  {"data: a\n\ndata: b\n\n", []string{"a", "b"}, io.EOF},
		"no space":             {"data:a\n\n", []string{"a"}, io.EOF},
		"carriage returns":     {"data: a\r\n\r\n", []string{"a"}, io.EOF},
		"two lines":            {"data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		"comments and names":   {": hi\nevent: x\nid: 1\ndata: a\n\n: bye\n\n", []string{"a"}, io.EOF},
		"empty data":           {"data:\n\n", []string{""}, io.EOF},
		"longer than a buffer": {"data: " + long + "\n\n", []string{long}, io.EOF},
		"cut in a line":        {"data: a\n\ndata: b", []string{"a"}, ErrTruncated},
		"cut before the end":   {"data: a\n\ndata: b\n", []string{"a"}, ErrTruncated},
		"line too long":        {"data: " + tooLong + "\n\n", nil, ErrTooLong},
		"event too long":       {strings.Repeat("data: "+long+"\n", MaxEventBytes/len(long)+1), nil, ErrTooLong},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in))} {
				events, err := readEvents(r)
				if !slices.Equal(events, c.want) || !errors.Is(err, c.err) {
					t.Errorf("got %d events, %v; want %d, %v", len(events), err, len(c.want), c.err)
				}
			}
		})
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: b\r\n\r\n"))
	f.Add([]byte(": c\ndata:\ndata: x\n\nda"))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, wholeErr := readEvents(bytes.NewReader(in))
		parts, partsErr := readEvents(iotest.OneByteReader(bytes.NewReader(in)))
		if !slices.Equal(whole, parts) || !errors.Is(partsErr, wholeErr) {
			t.Errorf("read byte by byte: %q, %v; read in one piece: %q, %v", parts, partsErr, whole, wholeErr)
		}
		var written []byte
		for _, event := range whole {
			if strings.ContainsAny(event, "\n\r") {
				return
			}
			written = AppendEvent(written, []byte(event))
		}
		again, err := readEvents(bytes.NewReader(written))
		if !slices.Equal(again, whole) || err != io.EOF {
			t.Errorf("written and read again: %q, %v; want %q", again, err, whole)
		}
	})
}

func TestDecodeBounded(t *testing.T) {
	cases := map[string]struct {
		in    string
		limit int64
		ok    bool
	}{
		"fits":          {`{"a":1}`, 7, true},
		"over":          {`{"a":1} `, 7, false},
		"cut":           {`{"a":`, 100, false},
		"twice":         {`{"a":1}{"a":2}`, 100, false},
		"nothing":       {``, 100, false},
		"another shape": {`[1]`, 100, false},
	}
	for name, c := range cases {
		var into struct{ A int }
		if err := DecodeBounded(strings.NewReader(c.in), c.limit, &into); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}
