package gateway

import (
	"context"
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

// hangingSender gets no answer to any send but the first.
type hangingSender struct{ *scriptedSender }

func (h hangingSender) Send(ctx context.Context, s *Send) (*Answer, error) {
	if h.count() == 0 {
		return h.scriptedSender.Send(ctx, s)
	}
	<-ctx.Done()
	return nil, connectionLost()
}

// Guards against a whole answer that its caller gets only at its deadline, because the upstream that is to
// confirm its end says nothing.
func TestConfirmationIsNotAwaitedForLong(t *testing.T) {
	for path, answer := range map[string]*Answer{"/safe/x": plain("whole", true), "/resume/x": unframed("1")} {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return answer, nil })
		for _, u := range g.state.upstreams {
			u.framing.framed = true
		}
		g.options.Sender = hangingSender{sender}
		r := request(path)
		if path == "/resume/x" {
			r.Prompt = prompt()
		}
		rec := serve(g, r)
		if took := time.Since(r.Arrived); rec.end != "done" || took > r.Wait/2 {
			t.Errorf("%s ends %q (%v) after %v", path, rec.end, rec.cause, took)
		}
		for _, u := range g.state.upstreams {
			if u.health.consecutive > 0 || u.own.Requests > 0 {
				t.Errorf("%s: %+v, %d requests", path, u.health, u.own.Requests)
			}
		}
	}
}

// Guards against a stream that goes on after a doubted end, and that may no longer be resumed because little
// time was left to confirm that end.
func TestStreamThatGoesOnKeepsItsDeadline(t *testing.T) {
	g, sender := testGateway(t, nil)
	for _, u := range g.state.upstreams {
		u.framing.framed = true
	}
	r := request("/resume/x")
	r.Prompt = prompt()
	sender.script = func(n int, _ *Send) (*Answer, error) {
		if n == 1 {
			return unframed("1"), nil
		}
		return stream(io.EOF, "2"), nil
	}
	run, err := g.admit(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	want, rec := run.deadline, &recorder{}
	run.serve(t.Context(), rec)
	if !run.deadline.Equal(want) || rec.end != "done" || sender.count() != 2 {
		t.Errorf("ends %q, deadline %v earlier", rec.end, want.Sub(run.deadline))
	}
}
