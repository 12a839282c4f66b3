package gateway

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/lovagereach/lovagereach/internal/eventstream"
	"github.com/lovagereach/lovagereach/outcome"
)

// Guards against events out of order, without a number or with other bytes that reach a caller, count as
// the beginning of an answer, or leave the upstream its trust; where only the caller's word tells, it keeps it.
func TestEventsThatAreNotDueReachNoCaller(t *testing.T) {
	syntax := &eventstream.SyntaxError{Reason: "a line without a field"}
	for name, c := range map[string]struct {
		first, second *Answer
		after         string
		end, body     string
		sends         int
		reason        string
	}{
		"no event first":                        {stream(syntax), stream(io.EOF, "1"), "", "done", "id: 1\n\n", 2, invalidSyntax},
		"no event after the first":              {stream(syntax, "1"), stream(io.EOF, "2"), "", "done", "id: 1\n\nid: 2\n\n", 2, invalidSyntax},
		"an event that is too long":             {stream(eventstream.ErrTooLong, "1"), stream(io.EOF, "2"), "", "done", "id: 1\n\nid: 2\n\n", 2, invalidSyntax},
		"no id":                                 {stream(io.EOF, "1", ""), stream(io.EOF, "2"), "", "done", "id: 1\n\nid: 2\n\n", 2, invalidID},
		"an id that is no number":               {stream(io.EOF, "1", "x2"), stream(io.EOF, "2"), "", "done", "id: 1\n\nid: 2\n\n", 2, invalidID},
		"an id with a leading zero":             {stream(io.EOF, "01"), stream(io.EOF, "1"), "", "done", "id: 1\n\n", 2, invalidID},
		"the first left out":                    {stream(io.EOF, "2"), stream(io.EOF, "1"), "", "done", "id: 1\n\n", 2, invalidPosition},
		"one left out":                          {stream(io.EOF, "1", "3"), stream(io.EOF, "2", "3"), "", "done", "id: 1\n\nid: 2\n\nid: 3\n\n", 2, invalidPosition},
		"one twice":                             {stream(io.EOF, "1", "1"), stream(io.EOF, "2"), "", "done", "id: 1\n\nid: 2\n\n", 2, invalidPosition},
		"the answer that resumes it":            {stream(connectionLost(), "1"), stream(io.EOF, "1"), "", "broken", "id: 1\n\n", 2, invalidPosition},
		"resumed by its caller":                 {stream(io.EOF, "1"), stream(io.EOF, "4"), "3", "done", "id: 4\n\n", 2, invalidPosition},
		"resumed after an event that never was": {stream(io.EOF, "3"), stream(io.EOF, "4"), "999", "refused", "", 2, invalidPosition},
		"resumed after no number":               {stream(io.EOF, "8", "9"), nil, "x", "done", "id: 8\n\nid: 9\n\n", 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var bad string
			g, sender := testGateway(t, func(n int, s *Send) (*Answer, error) {
				if n == 1 {
					bad = s.Upstream
					return c.first, nil
				}
				return c.second, nil
			})
			r := request("/resume/x")
			r.ResumeAfter, r.Prompt = c.after, prompt()
			rec := serve(g, r)
			if rec.end != c.end || rec.body != c.body || sender.count() != c.sends {
				t.Errorf("ends %q (%v) with %q after %d sends", rec.end, rec.cause, rec.body, sender.count())
			}
			if c.reason == "" {
				return
			}
			if g.meter.invalid[c.reason].Get() == 0 {
				t.Errorf("not counted under %q", c.reason)
			}
			if c.first.Body.(*events).end == io.EOF && (g.state.upstreams[bad].health.consecutive == 0) != (c.after != "") {
				t.Errorf("its upstream has %d failures", g.state.upstreams[bad].health.consecutive)
			}
		})
	}
}

// Guards against invalid events on a stream that may not be repeated: it must break off, and not run again.
func TestInvalidEventEndsStreamThatMayNotBeRepeated(t *testing.T) {
	for _, c := range []struct {
		answer *Answer
		end    string
	}{{stream(io.EOF, "2"), "refused"}, {stream(io.EOF, "1", "3"), "broken"}} {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return c.answer, nil })
		rec := serve(g, request("/stream/x"))
		var unknown *outcome.Unknown
		if rec.end != c.end || sender.count() != 1 || rec.cause != nil && !errors.As(rec.cause, &unknown) {
			t.Errorf("ends %q (%v) after %d sends, want %q", rec.end, rec.cause, sender.count(), c.end)
		}
	}
}

// Guards against a sound stream that is refused because its caller names an event, where streams needn't be
// resumed.
func TestStreamThatIsNotResumableBeginsAnywhere(t *testing.T) {
	g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1", "2"), nil })
	r := request("/stream/x")
	r.ResumeAfter = "7"
	if rec := serve(g, r); rec.end != "done" || rec.body != "id: 1\n\nid: 2\n\n" {
		t.Errorf("ends %q (%v) with %q", rec.end, rec.cause, rec.body)
	}
}

// Guards against a comment that counts as the beginning of an answer, and against its loss within one.
func TestCommentsBetweenEventsAreNoEvents(t *testing.T) {
	comment := Piece{Data: []byte(": wait\n\n"), Comment: true}
	for name, c := range map[string]struct {
		pieces []Piece
		end    string
		body   string
	}{
		"alone":      {[]Piece{comment}, "refused", ""},
		"at the end": {[]Piece{{Data: []byte("id: 1\n\n"), ID: "1"}, comment}, "done", "id: 1\n\n: wait\n\n"},
	} {
		g, _ := testGateway(t, func(int, *Send) (*Answer, error) {
			a := stream(io.EOF)
			a.Body.(*events).pieces = append([]Piece(nil), c.pieces...)
			return a, nil
		})
		if rec := serve(g, request("/stream/x")); rec.end != c.end || rec.body != c.body || strings.Contains(metricsOf(g), `reason="id"} 1`) {
			t.Errorf("%s: ends %q with %q", name, rec.end, rec.body)
		}
	}
}

// Guards against comments that count as the beginning of an answer, or as an event, in what is learned.
func TestNothingIsLearnedFromComments(t *testing.T) {
	comment := Piece{Data: []byte(": wait\n\n"), Comment: true}
	for name, c := range map[string]struct {
		pieces []Piece
		events int
	}{
		"alone":      {[]Piece{comment}, 0},
		"at the end": {[]Piece{{Data: []byte("id: 1\n\n"), ID: "1"}, comment}, 1},
	} {
		g, sender := testGateway(t, nil)
		r, err := g.admit(t.Context(), request("/stream/x"))
		if err != nil {
			t.Fatal(err)
		}
		sender.script = func(int, *Send) (*Answer, error) {
			return &Answer{Status: 200, Header: http.Header{}, Length: -1, Body: &events{pieces: c.pieces, end: io.EOF}}, nil
		}
		r.serve(t.Context(), &recorder{})
		if r.last.events != c.events || r.last.answerStarted != (c.events > 0) || r.pinned != (c.events > 0) {
			t.Errorf("%s: %d events, begun %t, pinned %t", name, r.last.events, r.last.answerStarted, r.pinned)
		}
	}
}
