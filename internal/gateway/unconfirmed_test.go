package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// plain returns a whole answer, with its length or without.
func plain(body string, unframed bool) *Answer {
	a := &Answer{Status: 200, Header: http.Header{}, Length: int64(len(body)), Unframed: unframed, Body: &events{end: io.EOF}}
	if body != "" {
		a.Body = &events{end: io.EOF, pieces: []Piece{{Data: []byte(body)}}}
	}
	if unframed {
		a.Length = -1
	}
	return a
}

// Guards against an answer that was cut off, without a length or chunks, and that its caller takes for
// whole, where another upstream can tell.
func TestEndWithoutFramingIsConfirmed(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		// framed indicates that the upstreams have sent answers with a length or chunks before.
		framed    bool
		answers   []*Answer
		end, body string
		sends     int
	}{
		"empty, safe":                       {"/safe/x", false, []*Answer{plain("", true), plain("whole", false)}, "done", "whole", 2},
		"empty, unsafe":                     {"/unsafe/x", false, []*Answer{plain("", true)}, "refused", "", 1},
		"empty with a length":               {"/safe/x", false, []*Answer{plain("", false)}, "done", "", 1},
		"unsafe":                            {"/unsafe/x", true, []*Answer{plain("who", true)}, "done", "who", 1},
		"an upstream that frames none":      {"/safe/x", false, []*Answer{plain("whole", true)}, "done", "whole", 1},
		"cut, safe":                         {"/safe/x", true, []*Answer{plain("who", true), plain("whole", false)}, "done", "whole", 2},
		"whole, then cut":                   {"/safe/x", true, []*Answer{plain("whole", true), plain("who", true)}, "done", "whole", 2},
		"whole, then a failure":             {"/safe/x", true, []*Answer{plain("whole", true), status(500)}, "done", "whole", 2},
		"whole, then a refusal":             {"/safe/x", true, []*Answer{plain("whole", true), refusal(Full)}, "done", "whole", 2},
		"stream, whole":                     {"/resume/x", true, []*Answer{unframed("1", "2"), stream(io.EOF)}, "done", "id: 1\n\nid: 2\n\n", 2},
		"stream, cut":                       {"/resume/x", true, []*Answer{unframed("1", "2"), stream(io.EOF, "3")}, "done", "id: 1\n\nid: 2\n\nid: 3\n\n", 2},
		"stream, cut, and the rest too":     {"/resume/x", true, []*Answer{unframed("1"), stream(connectionLost(), "2")}, "broken", "id: 1\n\nid: 2\n\n", 2},
		"stream, then a failure":            {"/resume/x", true, []*Answer{unframed("1"), status(500)}, "done", "id: 1\n\n", 2},
		"stream that may not be repeated":   {"/stream/x", true, []*Answer{unframed("1")}, "done", "id: 1\n\n", 1},
		"stream in chunks, the rest is not": {"/resume/x", false, []*Answer{stream(connectionLost(), "1"), unframed("2")}, "broken", "id: 1\n\nid: 2\n\n", 2},
		"stream without events":             {"/resume/x", false, []*Answer{stream(io.EOF), stream(io.EOF, "1")}, "done", "id: 1\n\n", 2},
	} {
		t.Run(name, func(t *testing.T) {
			g, sender := testGateway(t, func(n int, _ *Send) (*Answer, error) { return c.answers[n-1], nil })
			for _, u := range g.state.upstreams {
				u.framing.framed = c.framed
			}
			r := request(c.path)
			if c.path == "/resume/x" {
				r.Prompt = prompt()
			}
			rec := serve(g, r)
			if rec.end != c.end || rec.body != c.body || sender.count() != c.sends {
				t.Errorf("ends %q (%v) with %q after %d sends", rec.end, rec.cause, rec.body, sender.count())
			}
		})
	}
}

// Guards against the end of a stream that is believed of an upstream which has just sent bytes that are no
// event.
func TestEndOfUpstreamWithInvalidAnswersIsConfirmed(t *testing.T) {
	answers := []*Answer{stream(io.EOF, "1"), stream(io.EOF, "2"), stream(io.EOF, "1")}
	g, sender := testGateway(t, func(n int, _ *Send) (*Answer, error) { return answers[n-1], nil })
	for i, want := range []string{"id: 1\n\nid: 2\n\n", "id: 1\n\n"} {
		for _, u := range g.state.upstreams {
			u.framing.invalidAt = time.Now().Add(-time.Duration(i) * doubtFor)
		}
		r := request("/resume/x")
		r.Prompt = prompt()
		if rec := serve(g, r); rec.end != "done" || rec.body != want {
			t.Errorf("ends %q (%v) with %q after %d sends, want %q", rec.end, rec.cause, rec.body, sender.count(), want)
		}
	}
}

// Guards against the rest of a stream that was cut early being cut again, because the first part took
// little time.
func TestRestOfCutStreamHasTime(t *testing.T) {
	var left time.Duration
	answers := []*Answer{unframed("1"), stream(io.EOF, "2")}
	g, _ := testGateway(t, func(n int, s *Send) (*Answer, error) {
		left = s.Wait
		return answers[n-1], nil
	})
	for _, u := range g.state.upstreams {
		u.framing.framed = true
	}
	r := request("/resume/x")
	r.Prompt = prompt()
	if rec := serve(g, r); rec.end != "done" || left < r.Wait/2 {
		t.Errorf("ends %q (%v), the second send has %v", rec.end, rec.cause, left)
	}
}
