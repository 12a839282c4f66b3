package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/outcome"
)

var testRequest = port.GenerateRequest{Request: ident.Request{7}, Attempt: 2, MaxTokens: 3}

// testStream returns a stream that reads body as the answer to testRequest.
func testStream(ctx context.Context, body io.Reader, resumeAt int) (*stream, *Counters) {
	req := testRequest
	req.ResumeAt = resumeAt
	counters := &Counters{}
	_, cancel := context.WithCancel(ctx)
	control := streamControl{cancel: cancel, idle: time.AfterFunc(time.Hour, cancel), idleTimeout: time.Hour}
	return newStream(ctx, req, io.NopCloser(body), control, counters), counters
}

// token returns a token event of the request with the given first ID byte and of the
// given attempt.
func token(request byte, attempt, index int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"attempt\":%d,\"choices\":[{\"token_index\":%d,\"text\":\"t%d\"}]}\n\n",
		ident.Request{request}, attempt, index, index)
}

// last returns the final event of testRequest with the given token count.
func last(tokens int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"attempt\":2,\"choices\":[{\"finish_reason\":\"length\"}],\"usage\":{\"completion_tokens\":%d}}\n\n",
		ident.Request{7}, tokens)
}

const done = "data: [DONE]\n\n"

func readAll(s *stream) (string, error) {
	var text strings.Builder
	for {
		event, err := s.Next(context.Background())
		if err != nil || event.Done {
			return text.String(), err
		}
		text.WriteString(event.Text)
	}
}

// An engine sends events that are late, repeated, out of order, truncated, or that belong
// to another request or attempt. The caller must get each of its tokens once and in order,
// or an error, but never a shortened answer that looks complete.
func TestStream(t *testing.T) {
	own := func(index int) string { return token(7, 2, index) }
	cases := map[string]struct {
		body       string
		resumeAt   int
		want       string
		kind       outcome.Kind
		crossed    uint64
		duplicated uint64
	}{
		"complete":               {body: own(0) + own(1) + last(2) + done, want: "t0t1", kind: outcome.KindDone},
		"resumed":                {body: own(1) + last(2) + done, resumeAt: 1, want: "t1", kind: outcome.KindDone},
		"resumed from the start": {body: own(0) + own(1) + last(2) + done, resumeAt: 1, want: "t1", kind: outcome.KindDone, duplicated: 1},
		"other request":          {body: token(8, 2, 0) + own(0) + last(1) + done, want: "t0", kind: outcome.KindDone, crossed: 1},
		"older attempt":          {body: token(7, 1, 0) + own(0) + last(1) + done, want: "t0", kind: outcome.KindDone, crossed: 1},
		"twice":                  {body: own(0) + own(0) + own(1) + last(2) + done, want: "t0t1", kind: outcome.KindDone, duplicated: 1},
		"gap":                    {body: own(0) + own(2) + last(3) + done, want: "t0", kind: outcome.KindUnknown},
		"no end":                 {body: own(0) + own(1), want: "t0t1", kind: outcome.KindUnknown},
		"end without usage":      {body: own(0) + done, want: "t0", kind: outcome.KindUnknown},
		"usage without end":      {body: own(0) + last(1), want: "t0", kind: outcome.KindUnknown},
		"engine counts more":     {body: own(0) + last(2) + done, want: "t0", kind: outcome.KindUnknown},
		"token after the last":   {body: own(0) + last(1) + own(1) + done, want: "t0", kind: outcome.KindUnknown},
		"only another's end":     {body: token(8, 2, 0) + done, kind: outcome.KindUnknown, crossed: 1},
		"half an event":          {body: own(0) + `data: {"id`, want: "t0", kind: outcome.KindUnknown},
		"not JSON":               {body: own(0) + "data: <html>\n\n", want: "t0", kind: outcome.KindUnknown},
		"negative token":         {body: own(0) + own(-1) + own(1) + last(2) + done, want: "t0", kind: outcome.KindUnknown},
		"repeated after the end": {body: own(0) + last(1) + own(0) + done, want: "t0", kind: outcome.KindUnknown},
		"engine counts below 0":  {body: own(0) + last(-1) + done, want: "t0", kind: outcome.KindUnknown},
		"end twice":              {body: own(0) + last(1) + last(1) + done, want: "t0", kind: outcome.KindDone},
		"another count after it": {body: own(0) + last(1) + last(2) + done, want: "t0", kind: outcome.KindUnknown},
		"comments and names":     {body: ": x\n\nevent: x\nid: 1\n" + own(0) + ":\n\n" + last(1) + done, want: "t0", kind: outcome.KindDone},
		"a line of no event":     {body: own(0) + "junk\n" + own(1) + last(2) + done, want: "t0", kind: outcome.KindUnknown},
		"lines of no event":      {body: own(0) + "junk\n\n" + own(1) + last(2) + done, want: "t0", kind: outcome.KindUnknown},
		"an unknown field":       {body: own(0) + "junk: 1\n" + own(1) + last(2) + done, want: "t0", kind: outcome.KindUnknown},
		"an event without data":  {body: own(0) + "id: 1\n\n" + own(1) + last(2) + done, want: "t0", kind: outcome.KindUnknown},
		"a zero byte":            {body: own(0) + ": \x00\n" + own(1) + last(2) + done, want: "t0", kind: outcome.KindUnknown},
		"half a character":       {body: own(0) + ": \xe4\xb8\n" + own(1) + last(2) + done, want: "t0", kind: outcome.KindUnknown},
		"error event": {
			body: own(0) + fmt.Sprintf("data: {\"id\":%q,\"attempt\":2,\"error\":{\"message\":\"no\"}}\n\n", ident.Request{7}),
			want: "t0", kind: outcome.KindFailed,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, counters := testStream(t.Context(), strings.NewReader(c.body), c.resumeAt)
			text, err := readAll(s)
			if text != c.want || outcome.KindOf(err) != c.kind {
				t.Errorf("got %q, %v; want %q, %v", text, err, c.want, c.kind)
			}
			if counters.Crossed.Load() != c.crossed || counters.Duplicated.Load() != c.duplicated {
				t.Errorf("crossed %d, duplicated %d; want %d, %d", counters.Crossed.Load(), counters.Duplicated.Load(), c.crossed, c.duplicated)
			}
			if _, err := s.Next(t.Context()); err == nil {
				t.Error("a stream returned another event after its end")
			}
		})
	}
}

// silentBody blocks until the stream's context is cancelled, like the body of a
// connection on which no data arrives.
type silentBody struct{ cancelled <-chan struct{} }

func (b silentBody) Read([]byte) (int, error) {
	<-b.cancelled
	return 0, context.Canceled
}

// An engine stops sending in the middle of an answer and keeps the connection open. Next
// must fail after the idle timeout or when the caller's context is done, whichever is
// first, with the matching reason.
func TestStreamFailsOnIdleTimeout(t *testing.T) {
	cases := map[string]struct {
		own    time.Duration
		cancel bool
		want   outcome.Reason
		after  time.Duration
	}{
		"idle time":       {own: time.Hour, want: outcome.ReasonTimeout, after: 5 * time.Second},
		"caller's time":   {own: time.Second, want: outcome.ReasonTimeout, after: time.Second},
		"caller has left": {own: time.Second, cancel: true, want: outcome.ReasonCallerGone, after: time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				streamCtx, stop := context.WithCancel(t.Context())
				defer stop()
				bodyCtx, cancelBody := context.WithCancel(streamCtx)
				control := streamControl{cancel: cancelBody, idle: time.AfterFunc(time.Hour, cancelBody), idleTimeout: 5 * time.Second}
				s := newStream(streamCtx, testRequest, io.NopCloser(silentBody{bodyCtx.Done()}), control, &Counters{})
				own, cancelOwn := context.WithTimeout(t.Context(), c.own)
				if c.cancel {
					own, cancelOwn = context.WithCancel(t.Context())
					time.AfterFunc(c.own, cancelOwn)
				}
				defer cancelOwn()
				begin := time.Now()
				_, err := s.Next(own)
				var unknown *outcome.Unknown
				if !errors.As(err, &unknown) || unknown.Reason != c.want {
					t.Errorf("error %v, want reason %s", err, c.want)
				}
				if waited := time.Since(begin); waited != c.after {
					t.Errorf("waited %v, want %v", waited, c.after)
				}
			})
		})
	}
}

// A request waits in an engine's queue for longer than the idle timeout. The stream must
// stay open as long as comments arrive, and fail once they stop.
func TestCommentsResetIdleTimeout(t *testing.T) {
	for name, answered := range map[string]bool{"then an answer": true, "then silence": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bodyCtx, cancel := context.WithCancel(t.Context())
				defer cancel()
				reader, writer := io.Pipe()
				context.AfterFunc(bodyCtx, func() { reader.CloseWithError(context.Canceled) })
				go func() {
					for range 10 {
						time.Sleep(4 * time.Second)
						fmt.Fprint(writer, ": waiting\n\n")
					}
					if answered {
						fmt.Fprint(writer, token(7, 2, 0)+last(1)+done)
						writer.Close()
					}
				}()
				control := streamControl{cancel: cancel, idle: time.AfterFunc(time.Hour, cancel), idleTimeout: 5 * time.Second}
				s := newStream(t.Context(), testRequest, reader, control, &Counters{})
				begin := time.Now()
				text, err := readAll(s)
				if waited := time.Since(begin); answered && (text != "t0" || err != nil || waited != 40*time.Second) {
					t.Errorf("%q, %v after %v", text, err, waited)
				} else if !answered && (outcome.KindOf(err) != outcome.KindUnknown || waited != 45*time.Second) {
					t.Errorf("%v after %v", err, waited)
				}
			})
		})
	}
}

// An engine accepts a request and never starts its answer. The error must be a timeout,
// not a cancellation by the caller; an attempt that was never sent must stay not-run.
func TestClassifyTimeout(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	callerGone := &outcome.Unknown{Reason: outcome.ReasonCallerGone}
	notRun := &outcome.NotRun{Reason: outcome.ReasonDial}
	cases := map[string]struct {
		ctx, streamCtx context.Context
		err            error
		kind           outcome.Kind
		reason         outcome.Reason
	}{
		"idle time ran out": {context.Background(), cancelled, callerGone, outcome.KindUnknown, outcome.ReasonTimeout},
		"caller has gone":   {cancelled, cancelled, callerGone, outcome.KindUnknown, outcome.ReasonCallerGone},
		"connection lost":   {context.Background(), context.Background(), callerGone, outcome.KindUnknown, outcome.ReasonCallerGone},
		"never sent":        {context.Background(), cancelled, notRun, outcome.KindNotRun, outcome.ReasonDial},
	}
	for name, c := range cases {
		err := classifyTimeout(c.ctx, c.streamCtx, c.err)
		var unknown *outcome.Unknown
		if outcome.KindOf(err) != c.kind || (errors.As(err, &unknown) && unknown.Reason != c.reason) {
			t.Errorf("%s: %v, want %v with %s", name, err, c.kind, c.reason)
		}
	}
}

func FuzzStream(f *testing.F) {
	f.Add([]byte(token(7, 2, 0) + last(1) + done))
	f.Add([]byte(token(8, 2, 0) + token(7, 2, 0) + token(7, 2, 0) + "data: {"))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, _ := testStream(t.Context(), bytes.NewReader(body), 0)
		for index := 0; ; index++ {
			event, err := s.Next(t.Context())
			if err != nil {
				return
			}
			if event.Index != index {
				t.Fatalf("got token %d, want token %d", event.Index, index)
			}
			if event.Done {
				if event.Usage.OutputTokens != index {
					t.Fatalf("complete answer of %d tokens reports %d", index, event.Usage.OutputTokens)
				}
				return
			}
		}
	})
}
