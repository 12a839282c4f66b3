package eventstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

const (
	testLimit  = 4 * bufferBytes
	extraField = "weight-versions"
)

// read is what a reader returned for a stream.
type read struct {
	events   []Event
	trailing []byte
	err      error
}

func readAll(r *Reader) read {
	var all read
	for {
		event, err := r.Next()
		if err != nil {
			all.trailing, all.err = r.Trailing(), err
			return all
		}
		all.events = append(all.events, Event{Raw: bytes.Clone(event.Raw), ID: event.ID, Data: bytes.Clone(event.Data)})
	}
}

// values returns the events as "id=data".
func (a read) values() []string {
	var values []string
	for _, event := range a.events {
		values = append(values, event.ID+"="+string(event.Data))
	}
	return values
}

// bytes returns the bytes of the events, followed by those after the last one.
func (a read) bytes() []byte {
	var all []byte
	for _, event := range a.events {
		all = append(all, event.Raw...)
	}
	return append(all, a.trailing...)
}

// readers returns readers of a stream that comes whole and byte by byte.
func readers(in []byte, limit int) map[string]*Reader {
	return map[string]*Reader{
		"whole":        NewReader(bytes.NewReader(in), limit, extraField),
		"byte by byte": NewReader(iotest.OneByteReader(bytes.NewReader(in)), limit, extraField),
	}
}

// errSyntax stands for any SyntaxError.
var errSyntax = errors.New("syntax error")

func isError(err, want error) bool {
	var syntax *SyntaxError
	if want == errSyntax {
		return errors.As(err, &syntax)
	}
	return errors.Is(err, want)
}

// Guards against bytes that are no event being passed on as one, or skipped, and against an end within an
// event that looks regular.
func TestReader(t *testing.T) {
	const good = "id: 1\ndata: a\n\n"
	long := strings.Repeat("x", 3*bufferBytes)
	tooLong := strings.Repeat("x", testLimit+1)
	for name, c := range map[string]struct {
		in   string
		want []string
		err  error
	}{
		"nothing":                    {"", nil, io.EOF},
		"two":                        {good + "id: 2\ndata: b\n\n", []string{"1=a", "2=b"}, io.EOF},
		"no space":                   {"id:1\ndata:a\n\n", []string{"1=a"}, io.EOF},
		"two spaces":                 {"data:  a\n\n", []string{"= a"}, io.EOF},
		"no id":                      {"data: a\n\n", []string{"=a"}, io.EOF},
		"id last":                    {"data: a\nid: 1\n\n", []string{"1=a"}, io.EOF},
		"carriage returns":           {"id: 1\r\ndata: a\r\n\r\n", []string{"1=a"}, io.EOF},
		"line ends mixed":            {"id: 1\r\ndata: a\n\r\n", []string{"1=a"}, io.EOF},
		"two data lines":             {"data: a\ndata: b\n\n", []string{"=a\nb"}, io.EOF},
		"colons in data":             {"data: a: b:\n\n", []string{"=a: b:"}, io.EOF},
		"empty data":                 {"data:\n\n", []string{"="}, io.EOF},
		"characters of several":      {"data: é世😀\n\n", []string{"=é世😀"}, io.EOF},
		"longer than a buffer":       {"data: " + long + "\n\n", []string{"=" + long}, io.EOF},
		"as long as the limit":       {"data: " + tooLong[:testLimit-len("data: \n\n")] + "\n\n", []string{"=" + tooLong[:testLimit-len("data: \n\n")]}, io.EOF},
		"a name":                     {"event: x\nid: 1\ndata: a\n\n", []string{"1=a"}, io.EOF},
		"comments and names":         {": hi\nevent: x\nid: 1\ndata: a\n\n: bye\n\n", []string{"1=a"}, io.EOF},
		"a comment within":           {"id: 1\n:\ndata: a\n\n", []string{"1=a"}, io.EOF},
		"a comment block before":     {good + ": x\n\n\nid: 2\ndata: b\n\n", []string{"1=a", "2=b"}, io.EOF},
		"only comments":              {": x\n\n: y\n\n", nil, io.EOF},
		"a comment at the end":       {good + ": x\n", []string{"1=a"}, io.EOF},
		"empty lines":                {"\n\r\n" + good + "\n\n", []string{"1=a"}, io.EOF},
		"a retry block":              {"retry: 10\n\n" + good, []string{"1=a"}, io.EOF},
		"retry in an event":          {"retry: 10\nid: 1\ndata: a\n\n", []string{"1=a"}, io.EOF},
		"the extra field first":      {extraField + ": 7\nid: 1\ndata: a\n\n", []string{"1=a"}, io.EOF},
		"retry, the extra field":     {"retry: 10\n" + extraField + ": 7\nid: 1\ndata: a\n\n", []string{"1=a"}, io.EOF},
		"cut in a line":              {good + "data: b", []string{"1=a"}, ErrTruncated},
		"cut after a line":           {good + "data: b\n", []string{"1=a"}, ErrTruncated},
		"cut after the id":           {good + "id: 2\n", []string{"1=a"}, ErrTruncated},
		"cut in the empty line":      {good + "data: b\n\r", []string{"1=a"}, ErrTruncated},
		"cut in a comment":           {good + ": x", []string{"1=a"}, ErrTruncated},
		"line too long":              {"data: " + tooLong + "\n\n", nil, ErrTooLong},
		"event too long":             {strings.Repeat("data: "+long+"\n", testLimit/len(long)+1), nil, ErrTooLong},
		"one byte over the limit":    {"data: " + tooLong[:testLimit+1-len("data: \n\n")] + "\n\n", nil, ErrTooLong},
		"a line without end":         {good + tooLong, []string{"1=a"}, ErrTooLong},
		"comments without end":       {good + strings.Repeat(": x\n", testLimit), []string{"1=a"}, ErrTooLong},
		"empty lines without end":    {good + strings.Repeat("\n", testLimit+1), []string{"1=a"}, ErrTooLong},
		"a line without a field":     {good + "junk\nid: 2\ndata: b\n\n", []string{"1=a"}, errSyntax},
		"a field without a colon":    {"data\n\n", nil, errSyntax},
		"an unknown field":           {good + "junk: 1\nid: 2\ndata: b\n\n", []string{"1=a"}, errSyntax},
		"an unknown field within":    {"id: 1\njunk: 1\ndata: a\n\n", nil, errSyntax},
		"a field in capitals":        {"Data: a\n\n", nil, errSyntax},
		"a field after a space":      {" data: a\n\n", nil, errSyntax},
		"a field before a space":     {"data : a\n\n", nil, errSyntax},
		"a byte order mark":          {"\ufeffdata: a\n\n", nil, errSyntax},
		"a zero byte in data":        {"data: a\x00\n\n", nil, errSyntax},
		"a zero byte in a comment":   {": a\x00\n" + good, nil, errSyntax},
		"a zero byte as a line":      {"\x00\n" + good, nil, errSyntax},
		"a lone carriage return":     {"data: a\rdata: b\n\n", nil, errSyntax},
		"a carriage return at first": {"\rdata: a\n\n", nil, errSyntax},
		"two carriage returns":       {"data: a\r\r\n\n", nil, errSyntax},
		"half a character":           {"data: \xe4\xb8\n\n", nil, errSyntax},
		"half a character, comment":  {": \xe4\xb8\n" + good, nil, errSyntax},
		"not UTF-8":                  {"data: \xff\n\n", nil, errSyntax},
		"id twice":                   {"id: 1\nid: 2\ndata: a\n\n", nil, errSyntax},
		"the same id twice":          {"id: 1\nid: 1\ndata: a\n\n", nil, errSyntax},
		"name twice":                 {"event: x\nevent: x\ndata: a\n\n", nil, errSyntax},
		"an event without data":      {good + "id: 2\n\n", []string{"1=a"}, errSyntax},
		"a name without data":        {"event: x\n\n", nil, errSyntax},
		"retry without a number":     {"retry: soon\n\n", nil, errSyntax},
		"the extra field later":      {"id: 1\n" + extraField + ": 7\ndata: a\n\n", nil, errSyntax},
		"the extra field last":       {"data: a\n" + extraField + ": 7\n\n", nil, errSyntax},
		"the extra field twice":      {extraField + ": 7\n" + extraField + ": 7\ndata: a\n\n", nil, errSyntax},
		"the extra field alone":      {extraField + ": 7\n\n" + good, nil, errSyntax},
		"the extra field no number":  {extraField + ": x\ndata: a\n\n", nil, errSyntax},
		"the extra field empty":      {extraField + ":\ndata: a\n\n", nil, errSyntax},
		"the extra field below zero": {extraField + ": -7\ndata: a\n\n", nil, errSyntax},
		"the extra field too large":  {extraField + ": 18446744073709551616\ndata: a\n\n", nil, errSyntax},
	} {
		t.Run(name, func(t *testing.T) {
			for pace, r := range readers([]byte(c.in), testLimit) {
				got := readAll(r)
				if !slices.Equal(got.values(), c.want) || !isError(got.err, c.err) {
					t.Errorf("%s: got %.80q, %v; want %.80q, %v", pace, got.values(), got.err, c.want, c.err)
				}
				if all := got.bytes(); !strings.HasPrefix(c.in, string(all)) || c.err == io.EOF && len(all) != len(c.in) {
					t.Errorf("%s: the raw bytes are %.80q", pace, all)
				}
				if _, err := r.Next(); err != got.err {
					t.Errorf("%s: after %v, Next returns %v", pace, got.err, err)
				}
			}
		})
	}
}

// Guards against an event that lacks a part, or a stream without it, counting as whole, wherever it ends.
func TestStreamCutAnywhere(t *testing.T) {
	stream := ": x\n\nretry: 5\n" + extraField + ": 7\nid: 1\ndata: é\n\n:\r\nid: 2\r\ndata: b\r\n\r\n: bye\n\n"
	begin, second := strings.Index(stream, "\n\n:\r\n")+len("\n\n"), strings.Index(stream, "\r\n\r\n")+len("\r\n\r\n")
	// Places between events, where an end is regular: after a line that is no part of an event.
	regular := []int{0, len(": x\n"), len(": x\n\n"), len(": x\n\nretry: 5\n"), begin, begin + len(":\r\n"),
		second, second + len(": bye\n"), len(stream)}
	for cut := range len(stream) + 1 {
		for pace, r := range readers([]byte(stream[:cut]), testLimit) {
			got := readAll(r)
			want, events := ErrTruncated, 0
			if slices.Contains(regular, cut) {
				want = io.EOF
			}
			if cut >= begin {
				events++
			}
			if cut >= second {
				events++
			}
			if !errors.Is(got.err, want) || len(got.events) != events {
				t.Errorf("%s, cut to %q: %d events, %v; want %d, %v", pace, stream[:cut], len(got.events), got.err, events, want)
			}
		}
	}
}

// Guards against comments that vanish, or come again, where a stream is passed on event by event.
func TestRawHoldsCommentsBefore(t *testing.T) {
	in := ": a\n\n\nid: 1\n: b\ndata: x\n\n\r\n: c\n\n"
	for pace, r := range readers([]byte(in), testLimit) {
		got := readAll(r)
		if len(got.events) != 1 || string(got.events[0].Raw) != ": a\n\n\nid: 1\n: b\ndata: x\n\n" || string(got.trailing) != "\r\n: c\n\n" {
			t.Errorf("%s: %q, then %q", pace, got.events, got.trailing)
		}
	}
}

// Guards against a request that waits for long being given up for the number of comments meanwhile, and
// against an event over the limit where comments don't count.
func TestDroppedComments(t *testing.T) {
	comments := strings.Repeat(": x\n\nretry: 1\n\n", testLimit)
	for name, c := range map[string]struct {
		in   string
		want []string
		err  error
	}{
		"comments before":   {comments + "id: 1\n: b\ndata: a\n\n" + comments, []string{"1=a"}, io.EOF},
		"a long comment":    {":" + strings.Repeat("x", testLimit), nil, ErrTooLong},
		"comments within":   {"id: 1\n" + strings.Repeat(": x\n", testLimit), nil, ErrTooLong},
		"cut in a comment":  {comments + ":", nil, ErrTruncated},
		"junk in a comment": {comments + ": \xff\n", nil, errSyntax},
	} {
		for pace, r := range readers([]byte(c.in), testLimit) {
			r.DropComments()
			got := readAll(r)
			if !slices.Equal(got.values(), c.want) || !isError(got.err, c.err) {
				t.Errorf("%s, %s: got %q, %v; want %q, %v", name, pace, got.values(), got.err, c.want, c.err)
			}
			if len(got.events) > 0 && string(got.events[0].Raw) != "id: 1\n: b\ndata: a\n\n" {
				t.Errorf("%s, %s: the raw bytes are %q", name, pace, got.events[0].Raw)
			}
		}
	}
}

// Guards against an error of the connection that looks like the end of the stream.
func TestReaderReturnsErrorOfConnection(t *testing.T) {
	lost := errors.New("connection lost")
	for _, in := range []string{"", "data: a\n\n", "data: a\n\ndata: b", "data: a\n\ndata: b\n"} {
		r := NewReader(io.MultiReader(strings.NewReader(in), iotest.ErrReader(lost)), testLimit, "")
		if got := readAll(r); !errors.Is(got.err, lost) || len(got.events) != strings.Count(in, "\n\n") {
			t.Errorf("%q: %q, %v", in, got.values(), got.err)
		}
	}
}

// Guards against an id that passes as a number in more than one form.
func TestParseID(t *testing.T) {
	for id, want := range map[string]uint64{"0": 0, "7": 7, "18446744073709551615": 1<<64 - 1} {
		if got, valid := ParseID(id); got != want || !valid {
			t.Errorf("%q is %d, %t", id, got, valid)
		}
	}
	for _, id := range []string{"", " 1", "1 ", "01", "+1", "-1", "1.0", "1e3", "0x1", "1_0", "١", "1id: 2", "18446744073709551616"} {
		if got, valid := ParseID(id); valid {
			t.Errorf("%q counts as %d", id, got)
		}
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: b\r\n\r\n"), uint64(1))
	f.Add([]byte(": c\ndata:\ndata: x\n\nda"), uint64(2))
	f.Add([]byte("retry: 5\n\n"+extraField+": 3\nid: 1\nevent: x\ndata: é\n\n: bye\n\n"), uint64(3))
	f.Add([]byte("id: 1\ndata: a\n\nid: 1\n\n"), uint64(4))
	f.Add([]byte("id: 1\rdata: a\n\n\x00"), uint64(5))
	f.Fuzz(func(t *testing.T, in []byte, seed uint64) {
		paces := readers(in, testLimit)
		whole, parts := readAll(paces["whole"]), readAll(paces["byte by byte"])
		if !slices.EqualFunc(whole.events, parts.events, sameEvent) || fmt.Sprint(whole.err) != fmt.Sprint(parts.err) || !bytes.Equal(whole.trailing, parts.trailing) {
			t.Fatalf("read byte by byte: %q, %v; read in one piece: %q, %v", parts.events, parts.err, whole.events, whole.err)
		}
		all := whole.bytes()
		if !bytes.HasPrefix(in, all) || whole.err == io.EOF && len(all) != len(in) {
			t.Fatalf("the raw bytes are %q", all)
		}
		for _, event := range whole.events {
			again := readAll(NewReader(bytes.NewReader(event.Raw), testLimit, extraField))
			if len(again.events) != 1 || !sameEvent(again.events[0], event) || again.err != io.EOF || len(again.trailing) != 0 {
				t.Fatalf("%q read again: %q, %v", event.Raw, again.events, again.err)
			}
		}
		checkDropped(t, in, whole)
		checkRewritten(t, whole)
		checkJunk(t, rand.New(rand.NewPCG(seed, 0)))
	})
}

func sameEvent(a, b Event) bool {
	return a.ID == b.ID && bytes.Equal(a.Raw, b.Raw) && bytes.Equal(a.Data, b.Data)
}

// checkDropped reports a reader without comments that reads another stream than one with them.
func checkDropped(t *testing.T, in []byte, whole read) {
	t.Helper()
	r := NewReader(bytes.NewReader(in), testLimit, extraField)
	r.DropComments()
	dropped := readAll(r)
	if errors.Is(whole.err, ErrTooLong) {
		return
	}
	if !slices.Equal(dropped.values(), whole.values()) || fmt.Sprint(dropped.err) != fmt.Sprint(whole.err) {
		t.Fatalf("without comments: %q, %v; with them: %q, %v", dropped.events, dropped.err, whole.events, whole.err)
	}
	for i, event := range dropped.events {
		if !bytes.HasSuffix(whole.events[i].Raw, event.Raw) {
			t.Fatalf("%q is %q without comments", whole.events[i].Raw, event.Raw)
		}
	}
}

// checkRewritten reports events that are others once they are written and read again.
func checkRewritten(t *testing.T, whole read) {
	t.Helper()
	var written []byte
	var data []string
	for _, event := range whole.events {
		if bytes.ContainsAny(event.Data, "\n") {
			return
		}
		written = upstreamapi.AppendEvent(written, event.Data)
		data = append(data, "="+string(event.Data))
	}
	again := readAll(NewReader(bytes.NewReader(written), testLimit+len("data: "), ""))
	if !slices.Equal(again.values(), data) || again.err != io.EOF {
		t.Fatalf("written and read again: %q, %v; want %q", again.values(), again.err, data)
	}
}

// checkJunk reports an event that wasn't written, in a stream of events with junk before one of them.
// A number in the id of each event is part of what a consumer checks.
func checkJunk(t *testing.T, random *rand.Rand) {
	t.Helper()
	var stream []byte
	written := make(map[string]bool)
	count := 1 + random.IntN(5)
	at := random.IntN(count + 1)
	for i := range count + 1 {
		if i == at {
			stream = append(stream, junk(random)...)
		}
		event := randomEvent(random, 10*(i+1))
		if i < count {
			stream = append(stream, event...)
			read := readAll(NewReader(strings.NewReader(event), testLimit, extraField))
			written[read.values()[0]] = true
		}
	}
	for pace, r := range readers(stream, testLimit) {
		got := readAll(r)
		for i, event := range got.events {
			if _, valid := ParseID(event.ID); !valid {
				break
			}
			if !written[got.values()[i]] {
				t.Fatalf("%s: %q was not written; the stream is %q", pace, event.Raw, stream)
			}
		}
	}
}

// randomEvent returns an event with an id, as upstreams write it.
func randomEvent(random *rand.Rand, id int) string {
	lineEnd := pick(random, "\n", "\n", "\n", "\r\n")
	event := pick(random, "", "", "", ": waiting"+lineEnd+lineEnd, extraField+": 3"+lineEnd)
	event += fmt.Sprint("id: ", id, lineEnd)
	for range 1 + random.IntN(8)/7 {
		event += "data: " + pick(random, "", " token", "é", `{"index":1}`, "id: 1", ":") + lineEnd
	}
	return event + lineEnd
}

// junk returns bytes that are neither an event nor the beginning of one up to its data.
func junk(random *rand.Rand) string {
	event := randomEvent(random, 1)
	line := pick(random, "junk", "<html>", "HTTP/1.1 200 OK", "data", "id", "junk: 1", "Data: x", "data: \x00", ": \x00", "data: a\rb",
		"data: \xe4\xb8", ": \xff", "id: 1\nid: 2", extraField+": x", "\x00", "\xff", "id: 1\n", " ", "}")
	switch random.IntN(5) {
	case 0: // half an event
		return event[:random.IntN(strings.Index(event, "data:"))]
	case 1: // lines
		return line + pick(random, "\n", "\r\n", "\n\n", "\r\n\r\n")
	case 2: // lines between events
		return pick(random, "\n", ": x\n", ": x\n\n") + line + "\n\n"
	case 3: // a line that isn't ended
		return pick(random, "junk", "<html", "data", "id", "\x00", "\xff", ":", ": x", "\r", "}")
	default: // bytes without a field
		bytes := make([]byte, random.IntN(20))
		for i := range bytes {
			if bytes[i] = byte(random.Uint32()); bytes[i] == ':' {
				bytes[i] = '\n'
			}
		}
		return string(bytes)
	}
}

func pick(random *rand.Rand, from ...string) string { return from[random.IntN(len(from))] }
