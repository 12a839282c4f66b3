package callers

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/outcome"
)

// Each invalid request must get one error in the usual JSON format with the outcome
// not-run, must not reach the entry, and must leave no request open.
func TestInvalidRequestsAreRefused(t *testing.T) {
	small := Options{MaxBody: 300, MaxPromptTokens: 8, MaxAnswerTokens: 16}
	cases := map[string]struct {
		request request
		status  int
		code    string
		param   string
	}{
		"no token":              {request{path: PathCompletions, token: "Basic x"}, 401, "unauthorized", ""},
		"empty token":           {request{path: PathCompletions, token: "Bearer "}, 401, "unauthorized", ""},
		"wrong token":           {request{path: PathCompletions, token: "Bearer other"}, 401, "unauthorized", ""},
		"huge token":            {request{path: PathCompletions, token: "Bearer " + strings.Repeat("x", 9999)}, 401, "unauthorized", ""},
		"unknown path":          {request{path: "/v2/" + strings.Repeat("x", 500)}, 404, "bad-request", ""},
		"wrong method":          {request{method: "GET", path: PathCompletions}, 404, "bad-request", ""},
		"bad request id":        {request{path: PathCompletions, body: goodBody, header: map[string]string{HeaderRequestID: "zz"}}, 400, "bad-request", HeaderRequestID},
		"bad deadline":          {request{path: PathCompletions, body: goodBody, header: map[string]string{HeaderDeadline: "-3s"}}, 400, "bad-request", HeaderDeadline},
		"empty body":            {request{path: PathCompletions}, 400, "bad-request", ""},
		"not JSON":              {request{path: PathCompletions, body: "\x00\xff"}, 400, "bad-request", ""},
		"cut off":               {request{path: PathCompletions, body: goodBody[:30]}, 400, "bad-request", ""},
		"deep":                  {request{path: PathCompletions, body: strings.Repeat("[", 200)}, 400, "bad-request", ""},
		"large":                 {request{path: PathCompletions, body: strings.Repeat(" ", 301)}, 413, "bad-request", ""},
		"lies about its length": {request{path: PathCompletions, body: strings.Repeat(" ", 301), length: -1}, 413, "bad-request", ""},
		"no model":              {request{path: PathCompletions, body: `{"prompt":"x"}`}, 400, "bad-request", "model"},
		"no prompt":             {request{path: PathCompletions, body: `{"model":"m"}`}, 400, "bad-request", "prompt"},
		"empty prompt":          {request{path: PathCompletions, body: `{"model":"m","prompt":" "}`}, 400, "bad-request", "prompt"},
		"long prompt":           {request{path: PathCompletions, body: `{"model":"m","prompt":"a b c d e f g h i"}`}, 400, "bad-request", "prompt"},
		"long token array":      {request{path: PathCompletions, body: `{"model":"m","prompt":[1,2,3,4,5,6,7,8,9]}`}, 400, "bad-request", "prompt"},
		"negative token":        {request{path: PathCompletions, body: `{"model":"m","prompt":[-1]}`}, 400, "bad-request", "prompt"},
		"two prompts":           {request{path: PathCompletions, body: `{"model":"m","prompt":["a","b"]}`}, 400, "bad-request", "prompt"},
		"long answer":           {request{path: PathCompletions, body: `{"model":"m","prompt":"a","max_tokens":17}`}, 400, "bad-request", "max_tokens"},
		"two answers":           {request{path: PathCompletions, body: `{"model":"m","prompt":"a","n":2}`}, 400, "bad-request", "n"},
		"mistyped":              {request{path: PathCompletions, body: `{"model":5}`}, 400, "bad-request", "model"},
		"no messages":           {request{path: PathChat, body: `{"model":"m"}`}, 400, "bad-request", "messages"},
		"no role":               {request{path: PathChat, body: `{"model":"m","messages":[{"content":"a"}]}`}, 400, "bad-request", "messages[0].role"},
		"image":                 {request{path: PathChat, body: `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`}, 400, "bad-request", "messages[0].content"},
		"long messages":         {request{path: PathChat, body: `{"model":"m","messages":[{"role":"user","content":"a b c d e f g h"}]}`}, 400, "bad-request", "messages[0]"},
		"no service":            {request{path: PathServices}, 400, "bad-request", "service"},
		"path upwards":          {request{path: PathServices + "app/lots/%2e%2e/bids"}, 400, "bad-request", "path"},
		"long key":              {request{path: PathServices + "app/bids", header: map[string]string{HeaderIdempotency: strings.Repeat("k", 300)}}, 400, "bad-request", HeaderIdempotency},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fake := newFakeEntry(t)
			h := newHandler(t, fake, small)
			got := test.request.do(h)
			var body errorBody
			if err := json.Unmarshal(got.Body.Bytes(), &body); err != nil {
				t.Fatalf("%v in %q", err, got.Body)
			}
			if got.Code != test.status || body.Error.Code != test.code || body.Error.Param != test.param {
				t.Errorf("got %d %+v", got.Code, body.Error)
			}
			if body.Error.Outcome != "not-run" || got.Header().Get(HeaderOutcome) != "not-run" || body.Error.Message == "" {
				t.Errorf("got %+v", body.Error)
			}
			if len(fake.prompts)+len(fake.calls) != 0 || h.open.total() != 0 || len(h.open.teams) != 0 {
				t.Errorf("%d prompts, %d calls, %d open", len(fake.prompts), len(fake.calls), h.open.total())
			}
		})
	}
}

func TestCompleteAnswer(t *testing.T) {
	fake := newFakeEntry(t)
	got := request{path: PathCompletions, body: goodBody, header: map[string]string{
		HeaderRequestID: "000102030405060708090a0b0c0d0e0f", HeaderClass: "clock", HeaderDeadline: "1.5s",
	}}.do(newHandler(t, fake, Options{}))
	var body completeBody
	if err := json.Unmarshal(got.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	if got.Code != 200 || *body.Choices[0].Text != "é\"0é\"1" || body.Usage.CompletionTokens != 2 || body.Model != "m:clock-tuned" {
		t.Fatalf("got %d %s", got.Code, got.Body)
	}
	want := map[string]string{
		HeaderRequestID: "000102030405060708090a0b0c0d0e0f", HeaderOutcome: "done", HeaderClass: "clock",
		HeaderUpstream: "runner-1", HeaderVersion: "v1", HeaderReused: "1000",
		HeaderKeptPrompt: "01" + strings.Repeat("00", 15), HeaderKeptFrom: "store",
	}
	for name, value := range want {
		if got.Header().Get(name) != value {
			t.Errorf("%s: got %q, want %q", name, got.Header().Get(name), value)
		}
	}
	prompt := fake.prompts[0]
	if prompt.Model != "m" || prompt.Adapter != "clock-tuned" || prompt.Class != "clock" || prompt.Seed != 9 ||
		prompt.MaxTokens != 4 || prompt.Deadline != 1500*time.Millisecond || len(prompt.Tokens) != 2 {
		t.Errorf("got %+v", prompt)
	}
	if fake.closed != 1 {
		t.Errorf("the answer was closed %d times", fake.closed)
	}
}

// events returns the data fields of the events in body.
func events(body string) []string {
	var out []string
	for line := range strings.SplitSeq(body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			out = append(out, data)
		}
	}
	return out
}

func TestStreams(t *testing.T) {
	chat := `{"model":"m","stream":true,"messages":[{"role":"user","content":"lot 7"}]}`
	text := `{"model":"m","stream":true,"prompt":"lot 7"}`
	cases := map[string]struct{ path, body, first string }{
		"text": {PathCompletions, text, `"choices":[{"index":0,"text":"é\"0","finish_reason":null}]`},
		"chat": {PathChat, chat, `"choices":[{"index":0,"delta":{"role":"assistant","content":"é\"0"},"finish_reason":null}]`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fake := newFakeEntry(t)
			got := request{path: test.path, body: test.body}.do(newHandler(t, fake, Options{}))
			data := events(got.Body.String())
			if len(data) != 4 || data[3] != "[DONE]" || !strings.Contains(data[0], test.first) {
				t.Fatalf("got %q", data)
			}
			for _, event := range data[:3] {
				if !json.Valid([]byte(event)) {
					t.Errorf("not JSON: %s", event)
				}
			}
			if !strings.Contains(data[2], `"tokens_reused":1000`) || !strings.Contains(data[2], `"finish_reason":"stop"`) {
				t.Errorf("last event %s", data[2])
			}
			if got.Header().Get(headerContentType) != contentTypeEvents || got.Header().Get(HeaderUpstream) != "runner-1" {
				t.Errorf("headers %v", got.Header())
			}
		})
	}
}

// An answer fails after two tokens. A streaming caller must get an error event and no
// [DONE]; a caller without streaming must get an error status and no text. Otherwise a
// shortened answer could be mistaken for a complete one.
func TestBrokenAnswerNeverLooksComplete(t *testing.T) {
	fake := newFakeEntry(t)
	fake.err = &outcome.Unknown{Reason: outcome.ReasonStreamBroken, Detail: "the stream broke"}
	h := newHandler(t, fake, Options{})
	streamed := request{path: PathCompletions, body: `{"model":"m","stream":true,"prompt":"a"}`}.do(h)
	data := events(streamed.Body.String())
	last := data[len(data)-1]
	if !strings.Contains(last, `"code":"stream-broken"`) || !strings.Contains(last, `"outcome":"unknown"`) ||
		strings.Contains(streamed.Body.String(), "[DONE]") || !strings.Contains(streamed.Body.String(), "event: error") {
		t.Errorf("got %s", streamed.Body)
	}
	complete := request{path: PathCompletions, body: goodBody}.do(h)
	if complete.Code != http.StatusBadGateway || strings.Contains(complete.Body.String(), "choices") {
		t.Errorf("got %d %s", complete.Code, complete.Body)
	}
}

func TestOutcomesAsStatus(t *testing.T) {
	cases := map[string]struct {
		err        error
		status     int
		outcome    string
		retryAfter string
	}{
		"team limit":   {&outcome.NotRun{Reason: outcome.ReasonTeamLimit, RetryAfter: 1200 * time.Millisecond}, 429, "not-run", "2"},
		"lease":        {&outcome.NotRun{Reason: outcome.ReasonNoServingLease}, 503, "not-run", ""},
		"no key":       {&outcome.NotRun{Reason: outcome.ReasonKeyRequired}, 400, "not-run", ""},
		"key conflict": {&outcome.NotRun{Reason: outcome.ReasonKeyConflict}, 422, "not-run", ""},
		"key expired":  {&outcome.NotRun{Reason: outcome.ReasonKeyExpired}, 409, "not-run", ""},
		"timeout":      {&outcome.Unknown{Reason: outcome.ReasonTimeout}, 504, "unknown", ""},
		"lost":         {&outcome.Unknown{Reason: outcome.ReasonConnectionLost}, 502, "unknown", ""},
		"failed":       {&outcome.Failed{Reason: outcome.ReasonUpstreamError, Status: 507}, 507, "failed-by-upstream", ""},
		"unclassified": {errors.New("dial 10.0.0.1: secret"), 502, "unknown", ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fake := newFakeEntry(t)
			fake.refuse = test.err
			got := request{path: PathCompletions, body: goodBody}.do(newHandler(t, fake, Options{}))
			if got.Code != test.status || got.Header().Get(HeaderOutcome) != test.outcome || got.Header().Get(headerRetryAfter) != test.retryAfter {
				t.Errorf("got %d %v", got.Code, got.Header())
			}
			if strings.Contains(got.Body.String(), "secret") {
				t.Errorf("the error leaks: %s", got.Body)
			}
		})
	}
}

func TestServiceHeaders(t *testing.T) {
	fake := newFakeEntry(t)
	fake.service = entry.ServiceAnswer{
		Status: 201, Header: http.Header{"X-Lot": {"7"}, "Connection": {"close"}}, Length: 2,
		Body: io.NopCloser(strings.NewReader("ok")), Repeated: true,
		Provenance: entry.Provenance{Outcome: outcome.KindDone, Upstream: "app-1"},
	}
	got := request{path: PathServices + "app/bids/7?x=1", body: "b", header: map[string]string{
		HeaderIdempotency: "k", "X-Own": "1", "Connection": "X-Private", "X-Private": "1",
	}}.do(newHandler(t, fake, Options{}))
	if got.Code != 201 || got.Body.String() != "ok" || got.Header().Get("X-Lot") != "7" ||
		got.Header().Get(HeaderRepeated) != "true" || got.Header().Get("Connection") != "" {
		t.Errorf("got %d %q %v", got.Code, got.Body, got.Header())
	}
	call := fake.calls[0]
	if call.Service != "app" || call.Path != "/bids/7?x=1" || call.Key != "k" || string(call.Body) != "b" || call.Header.Get("X-Own") != "1" {
		t.Errorf("got %+v", call)
	}
	for _, name := range []string{"Authorization", "X-Private", "Connection", HeaderIdempotency} {
		if call.Header.Get(name) != "" {
			t.Errorf("header %s was forwarded", name)
		}
	}
}

// A team opens more requests than allowed. The request over the limit must be refused as
// not-run, and other teams must not be affected.
func TestOpenRequestsAreBounded(t *testing.T) {
	open := newOpenRequests(3, 2)
	for range 2 {
		if err := open.acquire("florists"); err != nil {
			t.Fatal(err)
		}
	}
	var refused *outcome.NotRun
	if err := open.acquire("florists"); !errors.As(err, &refused) || refused.Reason != outcome.ReasonTeamLimit {
		t.Errorf("got %v", err)
	}
	if err := open.acquire("growers"); err != nil {
		t.Errorf("another team got %v", err)
	}
	if err := open.acquire("others"); !errors.As(err, &refused) || refused.Reason != outcome.ReasonOverloaded {
		t.Errorf("got %v", err)
	}
	open.release("growers")
	if len(open.teams) != 1 {
		t.Errorf("%d teams in the map, want 1", len(open.teams))
	}
}

// A caller opens a stream and stops reading. Without a timeout it would keep its open
// request and an engine's slot forever; the write deadline must end the request.
func TestSlowReaderIsDisconnected(t *testing.T) {
	fake := newFakeEntry(t)
	fake.endless = true
	h := newHandler(t, fake, Options{WriteTimeout: time.Second})
	server := httptest.NewServer(h)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := `{"model":"m","stream":true,"prompt":"a"}`
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		PathCompletions, goodToken, len(body), body)
	if _, err := bufio.NewReaderSize(conn, 16).ReadByte(); err != nil {
		t.Fatal(err)
	}
	for h.metrics.slowReaders.Get() == 0 {
		time.Sleep(time.Millisecond) // without a write deadline, the test times out here
	}
	for h.open.total() != 0 {
		time.Sleep(time.Millisecond)
	}
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.closed != 1 {
		t.Errorf("the answer was closed %d times", fake.closed)
	}
}

// Encoding a plain-text token must not allocate: at the target size, an allocation would
// happen 20 million times a second.
func TestTokenEventCostsNoAllocation(t *testing.T) {
	for _, form := range []answerFormat{textFormat, chatFormat} {
		events := newChunkEncoder(form, entry.Prompt{Model: "m"})
		events.token(entry.Token{Index: 1, Text: strings.Repeat("x", 64)})
		count := testing.AllocsPerRun(100, func() { events.token(entry.Token{Index: 1, Text: " word"}) })
		if count != 0 {
			t.Errorf("shape %d: %.0f allocations", form, count)
		}
	}
}
